package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/gomega"
)

const (
	ms    = time.Millisecond
	start = Instant(time.Hour) // of the tests' clock
	pool  = "s"
)

// script drives a dispatcher by hand: it keeps the clock and what was asked for.
type script struct {
	*Dispatcher
	now      Instant
	sends    []Send
	refusals []Refusal
	wake     Instant
}

func newScript(receivers ...Receiver) *script {
	s := &script{Dispatcher: New(1, "here"), now: start}
	s.take(s.SetReceivers(s.now, receivers))
	return s
}

// take notes effects; what they hold is copied, as they are good until the next call only.
func (s *script) take(e Effects) {
	s.sends = append(s.sends, e.Sends...)
	s.refusals = append(s.refusals, e.Refusals...)
	if e.WakeAt > 0 {
		s.wake = e.WakeAt
	}
}

// pass lets time pass, with the ticks that were asked for.
func (s *script) pass(span time.Duration) {
	end := s.now.Add(span)
	for s.wake > s.now && s.wake <= end {
		s.now = s.wake
		s.take(s.Tick(s.now))
	}
	s.now = end
}

func (s *script) list(receivers ...Receiver) { s.take(s.SetReceivers(s.now, receivers)) }

func (s *script) told(id InstanceID, r Report) { s.take(s.ApplyReport(s.now, id, r)) }

// arrive hands requests in that wait for five seconds, changed as told.
func (s *script) arrive(id RequestID, change ...func(*Request)) {
	r := Request{ID: id, Service: pool, Deadline: s.now.Add(5 * time.Second), MaxAttempts: 1}
	for _, f := range change {
		f(&r)
	}
	s.take(s.Submit(s.now, r))
}

// end tells the end of the call that is out for a request.
func (s *script) end(id RequestID, o Outcome) {
	last := s.last(id)
	s.take(s.AttemptEnded(s.now, id, last.Attempt, o))
}

// serve answers a request's call after a span.
func (s *script) serve(id RequestID, took time.Duration) {
	s.pass(took)
	s.end(id, Outcome{Kind: Success, TimeToFirstByte: took / 2, Duration: took})
}

// last gives the last call of a request.
func (s *script) last(id RequestID) Send {
	for i := len(s.sends) - 1; i >= 0; i-- {
		if s.sends[i].Request == id {
			return s.sends[i]
		}
	}
	Expect(s.sends).To(ContainElement(HaveField("Request", id)))
	return Send{}
}

// order gives the requests in the order in which calls went out.
func (s *script) order() []RequestID {
	var all []RequestID
	for _, send := range s.sends {
		all = append(all, send.Request)
	}
	return all
}

// refusal gives how a request was refused; nil if it was not.
func (s *script) refusal(id RequestID) *Refusal {
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

// warm has each listed receiver answer one call in so much time, so that no bucket waits for a first answer.
func (s *script) warm(took time.Duration) *script {
	n := 0
	for range 20 * len(s.buckets) {
		cold := false
		for _, b := range s.buckets {
			cold = cold || !b.known
		}
		if !cold {
			break
		}
		var round []RequestID
		for range len(s.buckets) {
			n++
			id := RequestID(fmt.Sprintf("warm-%d", n))
			round = append(round, id)
			s.arrive(id)
		}
		s.pass(took)
		for _, id := range round {
			s.end(id, Outcome{Kind: Success, TimeToFirstByte: took / 2, Duration: took})
		}
	}
	s.pass(2 * time.Second)
	s.sends, s.refusals = nil, nil
	return s
}

func kind(k Kind, attempts int) func(*Request) {
	return func(r *Request) { r.Kind, r.MaxAttempts = k, attempts }
}

func resumable(r *Request) { r.Kind, r.Resumable, r.MaxAttempts = Streaming, true, 2 }

func objective(d time.Duration) func(*Request) { return func(r *Request) { r.TargetLatency = d } }

func priority(n int) func(*Request) { return func(r *Request) { r.Priority = n } }

func deadline(s *script, left time.Duration) func(*Request) {
	return func(r *Request) { r.Deadline = s.now.Add(left) }
}

func draining(r *Receiver) { r.Draining = true }

func silent(r *Receiver) { r.Silent = true }

func zone(name string) func(*Receiver) { return func(r *Receiver) { r.Zone = name } }

func full(wait time.Duration) Outcome { return Outcome{Kind: Full, RetryAfter: wait} }
