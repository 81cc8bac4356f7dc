package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

type chg struct {
	base, version int
	body          []byte
	status        int // final clear
	ackAt         time.Time
}

func stormBody(version int, tag string) []byte {
	var m map[string]any
	_ = json.Unmarshal(configuration(version, 60), &m)
	m["routes"].([]any)[2].(map[string]any)["timeout_ms"] = 1200
	m["tag"] = tag
	if pad, _ := strconv.Atoi(os.Getenv("PAD")); pad > 0 {
		m["pad"] = strings.Repeat("x", pad)
	}
	raw, _ := json.Marshal(m)
	return raw
}

// configStorm races operators against kills and freezes of control planes.
func configStorm(record *Record, trouble bool) ([]string, error) {
	w, err := NewWorld(record)
	if err != nil {
		return nil, err
	}
	controls := w.ControlAddresses()
	var mu sync.Mutex
	var broken []string
	bad := func(f string, a ...any) {
		mu.Lock()
		broken = append(broken, fmt.Sprintf(f, a...))
		mu.Unlock()
		record.Printf("BAD "+f, a...)
	}
	var all []*chg
	newestAck, newestAckAt := 1, time.Now()
	acks := map[int]string{} // base -> tag
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	read := func(at int) (int, string, bool) {
		response, err := client.Get("http://" + controls[at%4] + "/api/Config.Read")
		if err != nil {
			return 0, "", false
		}
		defer response.Body.Close()
		raw, err := io.ReadAll(response.Body)
		if err != nil || response.StatusCode != 200 {
			return 0, "", false
		}
		var m struct {
			Version int
			Tag     string
		}
		_ = json.Unmarshal(raw, &m)
		return m.Version, m.Tag, true
	}
	refusedTags := map[string]string{}
	seen := map[int]string{1: ""}
	checkRead := func(sent time.Time, before int, v int, tag string) {
		mu.Lock()
		defer mu.Unlock()
		if v < before {
			broken = append(broken, fmt.Sprintf("read sent with %d acked gave %d", before, v))
			record.Printf("BAD read sent with %d acked gave %d", before, v)
		}
		if old, ok := seen[v]; ok && old != tag {
			broken = append(broken, fmt.Sprintf("version %d read as %q and %q", v, old, tag))
		}
		seen[v] = tag
		if why, ok := refusedTags[tag]; ok && tag != "" {
			broken = append(broken, fmt.Sprintf("refused (%s) but in force: %d %s", why, v, tag))
			record.Printf("BAD refused (%s) but in force: %d %s", why, v, tag)
		}
	}
	end := time.Now().Add(80 * time.Second)
	var group sync.WaitGroup
	for writer := range 8 {
		group.Add(1)
		go func() {
			defer group.Done()
			for n := 0; time.Now().Before(end); n++ {
				mu.Lock()
				before := newestAck
				mu.Unlock()
				sent := time.Now()
				v, tag, ok := read(rand.IntN(4))
				if !ok {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				checkRead(sent, before, v, tag)
				c := &chg{base: v, version: v + 1 + rand.IntN(3)}
				if rand.IntN(12) == 0 { // ahead of time
					c.base, c.version = v+rand.IntN(3), v+6
				}
				myTag := fmt.Sprintf("w%d-%d", writer, n)
				c.body = stormBody(c.version, myTag)
				for try := 0; time.Now().Before(end.Add(10 * time.Second)); try++ {
					request, _ := http.NewRequest("POST", "http://"+controls[rand.IntN(4)]+"/api/Config.Replace", bytes.NewReader(c.body))
					request.Header.Set("Emberquay-Base-Version", fmt.Sprint(c.base))
					timeout := time.Second
					if os.Getenv("PAD") != "" {
						timeout = 4 * time.Second
					}
					if rand.IntN(10) == 0 {
						timeout = 15 * time.Millisecond // the answer is lost
					}
					cl := &http.Client{Timeout: timeout, Transport: client.Transport}
					response, err := cl.Do(request)
					if err != nil {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					io.Copy(io.Discard, response.Body)
					response.Body.Close()
					if response.StatusCode >= 500 {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					c.status = response.StatusCode
					break
				}
				mu.Lock()
				all = append(all, c)
				switch {
				case c.status == 200:
					if other, ok := acks[c.base]; ok && other != myTag {
						broken = append(broken, fmt.Sprintf("two acks on base %d: %s %s", c.base, other, myTag))
						record.Printf("BAD two acks on base %d: %s %s", c.base, other, myTag)
					}
					acks[c.base] = myTag
					if c.version > newestAck {
						newestAck, newestAckAt = c.version, time.Now()
					}
				case c.status >= 400:
					refusedTags[myTag] = fmt.Sprint(c.status)
				}
				mu.Unlock()
			}
		}()
	}
	if trouble {
		group.Add(1)
		go func() {
			defer group.Done()
			for time.Now().Before(end.Add(-5 * time.Second)) {
				p := w.Controls[rand.IntN(4)]
				switch k := rand.IntN(7); {
				case k < 2:
					w.Tier.Kill(p)
					time.Sleep(time.Duration(rand.IntN(2500)) * time.Millisecond)
					_ = w.Tier.Start(p)
				case k < 4:
					w.Tier.Signal(p, syscall.SIGSTOP)
					time.Sleep(time.Duration(200+rand.IntN(3000)) * time.Millisecond)
					w.Tier.Signal(p, syscall.SIGCONT)
				case k < 5:
					for _, q := range w.Controls {
						w.Tier.Kill(q)
					}
					time.Sleep(time.Duration(rand.IntN(900)) * time.Millisecond)
					for _, q := range w.Controls {
						_ = w.Tier.Start(q)
					}
				case k < 6:
					w.Tier.Signal(p, syscall.SIGTERM)
					<-p.done
					_ = w.Tier.Start(p)
				default:
					w.Tier.Kill(p)
					if os.Getenv("WIPE") != "0" {
						_ = w.Tier.LoseDisk(p)
					}
					time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
					_ = w.Tier.Start(p)
					time.Sleep(catchUp)
				}
				time.Sleep(time.Duration(300+rand.IntN(2500)) * time.Millisecond)
			}
		}()
	}
	group.Wait()
	time.Sleep(3 * time.Second)
	counts := map[int]int{}
	for _, c := range all {
		counts[c.status]++
	}
	for at := range 4 {
		v, tag, ok := read(at)
		record.Printf("final read at %d: %d %s %v; newest ack %d", at, v, tag, ok, newestAck)
		if !ok {
			bad("no final read at %d", at)
		} else {
			checkRead(time.Now(), newestAck, v, tag)
		}
	}
	_ = newestAckAt
	fmt.Println("outcomes", counts, "newest", newestAck)
	return broken, nil
}
