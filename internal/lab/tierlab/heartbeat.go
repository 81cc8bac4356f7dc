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
	// acknowledgementWithin and acknowledgementBytes bound what a receiver takes as one.
	acknowledgementWithin = time.Second
	acknowledgementBytes  = 4 << 10
	// leaveTries is how often a receiver asks to leave before it ends regardless.
	leaveTries = 6
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

// beat sends heartbeats until the receiver ends.
func (r *receiver) beat(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		if !r.leaving.Load() {
			r.tell(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// tell sends one heartbeat and says whether it was acknowledged.
func (r *receiver) tell(ctx context.Context) bool {
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
	return r.order(ctx, "/api/Instances.Heartbeat/"+r.id, raw)
}

// order sends a call to the address it has, then to the next ones, until one acknowledges.
func (r *receiver) order(ctx context.Context, path string, body []byte) bool {
	addresses := r.lab.controlAddresses()
	first := int(r.sequence.Load())
	if target := r.target.Load(); target != nil {
		if r.call(ctx, *target, path, body) {
			return true
		}
		r.target.Store(nil)
	}
	for i := range addresses {
		if r.call(ctx, addresses[(first+i)%len(addresses)], path, body) {
			return true
		}
	}
	return false
}

func (r *receiver) call(ctx context.Context, address, path string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, acknowledgementWithin)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	q.Header.Set("Content-Type", "application/json")
	resp, err := r.lab.controlClient.Do(q)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, acknowledgementBytes+1))
	if err != nil || resp.StatusCode/100 != 2 || len(raw) > acknowledgementBytes {
		return false
	}
	machine := r.lab.machineAt(address)
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

// drain takes the receiver out as planned: draining, acknowledged; it serves for the bound and somewhat longer, leaves and
// ends.
func (r *receiver) drain(ctx context.Context) {
	r.draining.Store(true)
	for !r.tell(ctx) {
		if ctx.Err() != nil { // not acknowledged: the referee must hear of no end
			r.end()
			return
		}
		sleep(ctx, heartbeatInterval/4)
	}
	r.acknowledged()
	sleep(ctx, r.lab.bounds.Drain+r.lab.bounds.Drain/3)
	for range leaveTries {
		if ctx.Err() != nil || r.order(ctx, "/api/Instances.Leave/"+r.id, []byte("{}")) {
			break
		}
		sleep(ctx, heartbeatInterval)
	}
	r.leaving.Store(true)
	sleep(ctx, heartbeatInterval/4)
	r.end()
}

func (r *receiver) acknowledged() {
	machine := ""
	if m := r.machine.Load(); m != nil {
		machine = *m
	}
	r.lab.record.see(func(now time.Duration, h *tierrules.History) {
		h.Departures = append(h.Departures, tierrules.Departure{Instance: r.id, AckedAt: now, AckedBy: machine})
	})
}

// crash ends it without a word: connections are reset.
func (r *receiver) crash() {
	r.lab.record.see(func(now time.Duration, h *tierrules.History) {
		h.Crashes = append(h.Crashes, tierrules.Crash{Instance: r.id, At: now})
		for _, run := range h.Runs {
			if run.Instance == r.id && run.Ended == 0 {
				run.Aborted = true
			}
		}
	})
	r.end()
}

// sleep waits, or until ctx ends.
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
