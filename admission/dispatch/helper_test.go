package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/gomega"
)

const (
	ms    = time.Millisecond
	start = Instant(time.Hour) // the tests' clock starts here
	pool  = "s"
)

// driver drives a dispatcher by hand: it keeps the clock and collects the effects.
type driver struct {
	*Dispatcher
	now      Instant
	sends    []Send
	refusals []Refusal
	wakeAt   Instant
}

func newDriver(receivers ...Receiver) *driver {
	s := &driver{Dispatcher: New(1, "here"), now: start}
	s.collect(s.SetReceivers(s.now, receivers))
	return s
}

// collect copies the effects, whose slices are valid only until the next call.
func (s *driver) collect(e Effects) {
	s.sends = append(s.sends, e.Sends...)
	s.refusals = append(s.refusals, e.Refusals...)
	if e.WakeAt > 0 {
		s.wakeAt = e.WakeAt
	}
}

// advance moves the clock, with a Tick at each requested wake-up.
func (s *driver) advance(span time.Duration) {
	end := s.now.Add(span)
	for s.wakeAt > s.now && s.wakeAt <= end {
		s.now = s.wakeAt
		s.collect(s.Tick(s.now))
	}
	s.now = end
}

func (s *driver) setReceivers(receivers ...Receiver) { s.collect(s.SetReceivers(s.now, receivers)) }

func (s *driver) report(id InstanceID, r Report) { s.collect(s.ApplyReport(s.now, id, r)) }

// submit submits a request with a deadline of five seconds, modified by the given functions.
func (s *driver) submit(id RequestID, change ...func(*Request)) {
	r := Request{ID: id, Service: pool, Deadline: s.now.Add(5 * time.Second), MaxAttempts: 1}
	for _, f := range change {
		f(&r)
	}
	s.collect(s.Submit(s.now, r))
}

// endAttempt reports the end of the request's call in flight.
func (s *driver) endAttempt(id RequestID, o Outcome) {
	last := s.lastSend(id)
	s.collect(s.AttemptEnded(s.now, id, last.Attempt, o))
}

// complete ends a request's call successfully after a duration.
func (s *driver) complete(id RequestID, duration time.Duration) {
	s.advance(duration)
	s.endAttempt(id, Outcome{Kind: Success, TimeToFirstByte: duration / 2, Duration: duration})
}

// lastSend returns the last send of a request.
func (s *driver) lastSend(id RequestID) Send {
	for i := len(s.sends) - 1; i >= 0; i-- {
		if s.sends[i].Request == id {
			return s.sends[i]
		}
	}
	Expect(s.sends).To(ContainElement(HaveField("Request", id)))
	return Send{}
}

// sendOrder returns the requests in the order of their sends.
func (s *driver) sendOrder() []RequestID {
	var ids []RequestID
	for _, send := range s.sends {
		ids = append(ids, send.Request)
	}
	return ids
}

// refusal returns how a request was refused, or nil.
func (s *driver) refusal(id RequestID) *Refusal {
	for _, r := range s.refusals {
		if r.Request == id {
			return &r
		}
	}
	return nil
}

func plain(id InstanceID, slots int, change ...func(*Receiver)) Receiver {
	r := Receiver{ID: id, Service: pool, Address: "10.0.0.1:" + string(id), Zone: "here", Slots: slots}
	for _, f := range change {
		f(&r)
	}
	return r
}

func engine(id InstanceID, change ...func(*Receiver)) Receiver {
	r := plain(id, 24, change...)
	r.Engine = &EngineInfo{KVCapacityTokens: 200_000, ChunkTokens: 3}
	return r
}

// warmUp has each listed receiver answer a call of the given duration, so that no endpoint is limited to one call
// before its first response.
func (s *driver) warmUp(duration time.Duration) *driver {
	n := 0
	for range 20 * len(s.endpoints) {
		unprobed := false
		for _, e := range s.endpoints {
			unprobed = unprobed || !e.probed
		}
		if !unprobed {
			break
		}
		var round []RequestID
		for range len(s.endpoints) {
			n++
			id := RequestID(fmt.Sprintf("warm-%d", n))
			round = append(round, id)
			s.submit(id)
		}
		s.advance(duration)
		for _, id := range round {
			s.endAttempt(id, Outcome{Kind: Success, TimeToFirstByte: duration / 2, Duration: duration})
		}
	}
	s.advance(2 * time.Second)
	s.sends, s.refusals = nil, nil
	return s
}

func kind(k Kind, attempts int) func(*Request) {
	return func(r *Request) { r.Kind, r.MaxAttempts = k, attempts }
}

func resumable(r *Request) { r.Kind, r.Resumable, r.MaxAttempts = Streaming, true, 2 }

func objective(d time.Duration) func(*Request) { return func(r *Request) { r.TargetLatency = d } }

func priority(n int) func(*Request) { return func(r *Request) { r.Priority = n } }

func deadline(s *driver, left time.Duration) func(*Request) {
	return func(r *Request) { r.Deadline = s.now.Add(left) }
}

func draining(r *Receiver) { r.Draining = true }

func silent(r *Receiver) { r.Silent = true }

func zone(name string) func(*Receiver) { return func(r *Receiver) { r.Zone = name } }

func full(wait time.Duration) Outcome { return Outcome{Kind: Full, RetryAfter: wait} }
