package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"
)

// largeConfiguration returns a configuration of about size bytes: the usual one with many more routes.
func largeConfiguration(version, size int) []byte {
	var document map[string]any
	_ = json.Unmarshal(configuration(version, 60), &document)
	routes := document["routes"].([]any)
	pattern, _ := json.Marshal(routes[1])
	for number := 0; number*(len(pattern)+14) < size; number++ {
		var route map[string]any
		_ = json.Unmarshal(pattern, &route)
		route["name"] = fmt.Sprintf("r-order-%06d", number)
		route["path_prefix"] = fmt.Sprintf("/orders-%06d/%d/", number, version)
		routes = append(routes, route)
	}
	document["routes"] = routes
	raw, _ := json.Marshal(document)
	return raw
}

// readConfiguration reads the version of the newest configuration.
func readConfiguration(control string) (version int, err error) {
	client := &http.Client{Timeout: 4 * time.Second}
	response, err := client.Get("http://" + control + "/api/Config.Read")
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if response.StatusCode != 200 {
		return 0, fmt.Errorf("status %d %.80s", response.StatusCode, raw)
	}
	var document struct{ Version int }
	return document.Version, json.Unmarshal(raw, &document)
}

// order sends a change until it gets a clear answer, and returns its status; 0 where none came in time.
func order(controls []string, base int, body []byte, record *Record, until time.Time) (status int) {
	client := &http.Client{Timeout: 4 * time.Second}
	for at := 0; time.Now().Before(until); at++ {
		request, _ := http.NewRequest("POST", "http://"+controls[at%len(controls)]+"/api/Config.Replace", bytes.NewReader(body))
		request.Header.Set("Emberquay-Base-Version", fmt.Sprint(base))
		started := time.Now()
		response, err := client.Do(request)
		if err != nil {
			record.Printf("operator: Config.Replace to %s: %v", controls[at%len(controls)], err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		answer, _ := io.ReadAll(response.Body)
		response.Body.Close()
		record.Printf("operator: Config.Replace on %d, %d bytes, to %s: %d after %d ms %.80s", base, len(body), controls[at%len(controls)],
			response.StatusCode, time.Since(started).Milliseconds(), answer)
		if response.StatusCode < 500 {
			return response.StatusCode
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0
}

const (
	// largeBytes is about the size of the configurations: the tier takes 4 MiB on a disk of 64 MB (docs/notes/control-side.md).
	largeBytes = 3_600_000
	// largeChanges is the number of changes before the kill.
	largeChanges = 5
)

// largeConfig changes a large configuration some times and then kills all control planes at the same moment; they return
// within a second with their disks. Then one more change is sent, and the newest acknowledged configuration is read back.
func largeConfig(record *Record, trouble bool) ([]string, error) {
	w, err := NewWorld(record)
	if err != nil {
		return nil, err
	}
	controls := w.ControlAddresses()
	acknowledged := 1
	for range largeChanges {
		version := acknowledged + 1
		if status := order(controls, acknowledged, largeConfiguration(version, largeBytes), record, time.Now().Add(15*time.Second)); status != 200 {
			return nil, fmt.Errorf("change %d got status %d before any disruption", version, status)
		}
		acknowledged = version
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		if err := w.restartControls(); err != nil {
			return nil, err
		}
	}
	next := acknowledged + 1
	if order(controls, acknowledged, largeConfiguration(next, largeBytes), record, time.Now().Add(12*time.Second)) == 200 {
		acknowledged = next
	}
	// contact_ms is 3 s, recovery_s is 12 s: the operator asks for longer than both together.
	version, came := readFromAny(controls, record, 25*time.Second)
	switch {
	case came && version < acknowledged:
		return []string{fmt.Sprintf("CONFIG: version %d was acknowledged, %d is read back", acknowledged, version)}, nil
	case came:
		return nil, nil
	}
	// What a restart by hand brings is no part of the verdict.
	if err := w.restartControls(); err != nil {
		return nil, err
	}
	version, came = readFromAny(controls, record, 8*time.Second)
	record.Printf("after one more restart: version %d, read back %v", version, came)
	status := order(controls, acknowledged, largeConfiguration(acknowledged+1, largeBytes), record, time.Now().Add(6*time.Second))
	version, came = readFromAny(controls, record, 6*time.Second)
	record.Printf("after one more change (status %d): version %d, read back %v", status, version, came)
	return []string{fmt.Sprintf("CONFIG: version %d was acknowledged; its read-back doesn't come within 25 s", acknowledged)}, nil
}

// restartControls kills all control planes at the same moment and starts them again 0.7 s later.
func (w *World) restartControls() error {
	for _, p := range w.Controls {
		w.Tier.Signal(p, syscall.SIGKILL)
	}
	for _, p := range w.Controls {
		<-p.done
	}
	time.Sleep(700 * time.Millisecond)
	for _, p := range w.Controls {
		if err := w.Tier.Start(p); err != nil {
			return err
		}
	}
	return nil
}

// readFromAny asks all control planes for the configuration until one answers.
func readFromAny(controls []string, record *Record, limit time.Duration) (version int, came bool) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		for _, control := range controls {
			version, err := readConfiguration(control)
			record.Printf("operator: Config.Read from %s: version %d, error %v", control, version, err)
			if err == nil {
				return version, true
			}
		}
	}
	return 0, false
}
