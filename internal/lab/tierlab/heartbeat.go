package tierlab

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"emberquay/internal/lab/referee/tierrules"
)

const (
	// acknowledgementTimeout and maxAcknowledgementBytes bound an answer that a receiver accepts as an acknowledgement.
	acknowledgementTimeout  = time.Second
	maxAcknowledgementBytes = 4 << 10
	// maxLeaveAttempts is how often a receiver asks to leave before it ends regardless.
	maxLeaveAttempts = 6
)

type heartbeat struct {
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Slots    int     `json:"slots"`
	State    string  `json:"state"`
	Cold     float64 `json:"cold_remaining_ms"`
	Stage    string  `json:"stage"`
	Models   []any   `json:"models"`
	Sequence int64   `json:"sequence"`
}

// sendHeartbeats sends heartbeats until the receiver ends.
func (r *receiver) sendHeartbeats(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		if !r.leaving.Load() {
			r.sendHeartbeat(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// sendHeartbeat sends one heartbeat and reports whether it was acknowledged.
func (r *receiver) sendHeartbeat(ctx context.Context) bool {
	state, models := "ready", []any{}
	if r.draining.Load() {
		state = "draining"
	}
	if r.model != nil {
		models = append(models, map[string]any{"name": modelName, "version": 1, "adapters": []string{}})
	}
	raw, err := json.Marshal(heartbeat{Service: r.service, Address: r.address, Zone: r.zone, Version: "v1", Slots: r.slotCount(), State: state,
		Stage: "both", Models: models, Sequence: r.sequence.Add(1)})
	if err != nil {
		return false
	}
	return r.callControlPlane(ctx, "/api/Instances.Heartbeat/"+r.id, raw)
}

// callControlPlane sends a call to the known heartbeat target, then to the control planes in turn, until one acknowledges.
func (r *receiver) callControlPlane(ctx context.Context, path string, body []byte) bool {
	addresses := r.lab.controlAddresses()
	first := int(r.sequence.Load())
	if target := r.target.Load(); target != nil {
		if r.post(ctx, *target, path, body) {
			return true
		}
		r.target.Store(nil)
	}
	for i := range addresses {
		if r.post(ctx, addresses[(first+i)%len(addresses)], path, body) {
			return true
		}
	}
	return false
}

func (r *receiver) post(ctx context.Context, address, path string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, acknowledgementTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := r.lab.controlClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAcknowledgementBytes+1))
	if err != nil || resp.StatusCode/100 != 2 || len(raw) > maxAcknowledgementBytes {
		return false
	}
	machine := r.lab.machineOf(address)
	r.machine.Store(&machine)
	var answer struct {
		Target string `json:"heartbeat_target"`
	}
	if json.Unmarshal(raw, &answer) == nil && answer.Target != "" {
		r.target.Store(&answer.Target)
	} else {
		r.target.Store(&address)
	}
	return true
}

// drain performs a planned removal: it announces draining until acknowledged, serves for the drain bound and a third more,
// leaves and ends.
func (r *receiver) drain(ctx context.Context) {
	r.draining.Store(true)
	for !r.sendHeartbeat(ctx) {
		if ctx.Err() != nil { // not acknowledged: no departure may be recorded
			r.close()
			return
		}
		sleep(ctx, heartbeatInterval/4)
	}
	r.recordDeparture()
	sleep(ctx, r.lab.bounds.Drain+r.lab.bounds.Drain/3)
	for range maxLeaveAttempts {
		if ctx.Err() != nil || r.callControlPlane(ctx, "/api/Instances.Leave/"+r.id, []byte("{}")) {
			break
		}
		sleep(ctx, heartbeatInterval)
	}
	r.leaving.Store(true)
	sleep(ctx, heartbeatInterval/4)
	r.close()
}

func (r *receiver) recordDeparture() {
	machine := ""
	if m := r.machine.Load(); m != nil {
		machine = *m
	}
	r.lab.record.update(func(now time.Duration, h *tierrules.History) {
		h.Departures = append(h.Departures, tierrules.Departure{Instance: r.id, AckedAt: now, AckedBy: machine})
	})
}

// crash ends the receiver without notice: connections are reset.
func (r *receiver) crash() {
	r.lab.record.update(func(now time.Duration, h *tierrules.History) {
		h.Crashes = append(h.Crashes, tierrules.Crash{Instance: r.id, At: now})
		for _, run := range h.Runs {
			if run.Instance == r.id && run.Ended == 0 {
				run.Aborted = true
			}
		}
	})
	r.close()
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}
