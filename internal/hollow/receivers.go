package hollow

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// beatPatience bounds one heartbeat: a receiver goes on to another control node after it.
const beatPatience = time.Second

// receiver sends heartbeats as the protocol has them.
type receiver struct {
	id, service, address, zone string

	mutex    sync.Mutex // one call at a time; sequences rise with the calls
	sequence uint64     // guarded by mutex
	target   string     // guarded by mutex; empty: the next of the controls
	turn     int        // guarded by mutex
	draining atomic.Bool
}

// fleetOfReceivers are all receivers and their heartbeats.
type fleetOfReceivers struct {
	controls []string
	client   *http.Client
	interval time.Duration
	all      []*receiver
	drained  int
	stop     context.CancelFunc
	ended    sync.WaitGroup
	failed   atomic.Int64
	beats    atomic.Int64
}

func newReceivers(l layout) *fleetOfReceivers {
	f := &fleetOfReceivers{
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxReceivers}},
		interval: l.options.Heartbeat,
	}
	for i := range l.options.Controls {
		f.controls = append(f.controls, l.controlAddress(i))
	}
	for i := range l.options.Receivers {
		f.all = append(f.all, &receiver{
			id: fmt.Sprintf("i-%08x", i), service: serviceName(i % services), zone: l.zone(i),
			address: fmt.Sprintf("10.9.%d.%d:9000", i/addressesPerNet, 1+i%addressesPerNet), turn: i,
		})
	}
	return f
}

func (f *fleetOfReceivers) start() {
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	for _, r := range f.all {
		f.ended.Go(func() { f.beat(ctx, r) })
	}
}

func (f *fleetOfReceivers) close() {
	if f.stop != nil {
		f.stop()
	}
	f.ended.Wait()
	f.client.CloseIdleConnections()
}

// beat sends a receiver's heartbeats until the end, from a moment of its own on.
func (f *fleetOfReceivers) beat(ctx context.Context, r *receiver) {
	wait := time.Duration(rand.Int64N(int64(f.interval)))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = f.interval
		if f.tell(ctx, r) != nil {
			f.failed.Add(1)
		}
		f.beats.Add(1)
	}
}

// drain has the next receiver say that it will end. It returns its id once that is acknowledged.
func (f *fleetOfReceivers) drain(ctx context.Context) (string, error) {
	r := f.all[f.drained]
	f.drained++
	r.draining.Store(true)
	for {
		err := f.tell(ctx, r)
		if err == nil || ctx.Err() != nil {
			return r.id, err
		}
	}
}

type beatModel struct {
	Name string `json:"name"`
}

type beat struct {
	Service  string      `json:"service"`
	Address  string      `json:"address"`
	Zone     string      `json:"zone"`
	Version  string      `json:"version"`
	Slots    int         `json:"slots"`
	State    string      `json:"state"`
	Stage    string      `json:"stage"`
	Models   []beatModel `json:"models"`
	Sequence uint64      `json:"sequence"`
}

type beatAnswer struct {
	Target string `json:"heartbeat_target"`
}

// tell sends one heartbeat. A target that fails is left for the next of the controls.
func (f *fleetOfReceivers) tell(ctx context.Context, r *receiver) error {
	ctx, cancel := context.WithTimeout(ctx, beatPatience)
	defer cancel()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sequence++
	if r.target == "" {
		r.target = f.controls[r.turn%len(f.controls)]
		r.turn++
	}
	body := beat{
		Service: r.service, Address: r.address, Zone: r.zone, Version: "v1", Slots: 24, State: "ready", Stage: "stable",
		Models: []beatModel{{Name: r.service}}, Sequence: r.sequence,
	}
	if r.draining.Load() {
		body.State = "draining"
	}
	target, err := f.post(ctx, r, body)
	if err != nil {
		r.target = ""
		return err
	}
	if target != "" {
		r.target = target
	}
	return nil
}

func (f *fleetOfReceivers) post(ctx context.Context, r *receiver, body beat) (target string, err error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return "", eris.Wrap(err, "heartbeat")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.target+"/api/Instances.Heartbeat/"+r.id, bytes.NewReader(raw))
	if err != nil {
		return "", eris.Wrap(err, "heartbeat")
	}
	response, err := f.client.Do(request)
	if err != nil {
		return "", eris.Wrap(err, "heartbeat")
	}
	defer response.Body.Close()
	var answer beatAnswer
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(&answer); err != nil {
		return "", eris.Wrap(err, "heartbeat")
	}
	if response.StatusCode != http.StatusOK {
		return "", eris.Errorf("heartbeat: status %d", response.StatusCode)
	}
	return answer.Target, nil
}

// maxAnswer bounds the answers that are read.
const maxAnswer = 64 << 10
