package standin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"emberquay/internal/lab/referee"
	"emberquay/internal/lab/world"
)

// handIn is one attempt of a client to hand a text in.
type handIn struct {
	id       string
	text     *world.Text
	attempt  int // counts from 0
	finished bool
}

// front is the load balancer: it distributes hand-ins to the senders that it considers up.
type front struct {
	playback *Playback
	clients  []*http.Client
	slots    chan struct{} // limits concurrent hand-ins
	ctx      context.Context
	work     sync.WaitGroup
}

// maxPendingHandIns limits the hand-ins that wait for their answers.
const maxPendingHandIns = 4096

func newFront(ctx context.Context, s *Playback) *front {
	f := &front{ctx: ctx, playback: s, slots: make(chan struct{}, maxPendingHandIns)}
	for range s.senders {
		most := s.day.World.Clients.Conns
		f.clients = append(f.clients, &http.Client{Transport: &http.Transport{
			MaxConnsPerHost: most, MaxIdleConnsPerHost: most, DisableCompression: true,
			DialContext: (&net.Dialer{KeepAlive: -1}).DialContext,
		}})
	}
	s.mu.Lock()
	s.front = f
	s.pendingHandIns = len(s.day.Texts)
	s.mu.Unlock()
	return f
}

func (f *front) close() {
	f.work.Wait()
	for _, c := range f.clients {
		c.CloseIdleConnections()
	}
}

// play hands in all texts of the day at their scheduled times, until the context ends.
func (f *front) play() {
	s := f.playback
	for _, t := range s.day.Texts {
		if !s.waitUntil(f.ctx, t.At) {
			return
		}
		f.startHandIn(t, 0, "")
	}
}

// startHandIn hands a text in on a new goroutine; it blocks while maxPendingHandIns are pending.
func (f *front) startHandIn(t *world.Text, attempt int, retryMark string) {
	select {
	case f.slots <- struct{}{}:
	case <-f.ctx.Done():
		return
	}
	f.work.Go(func() {
		defer func() { <-f.slots }()
		f.handIn(t, attempt, retryMark)
		f.playback.locked(func(time.Duration) { f.playback.pendingHandIns-- })
	})
}

// scheduleRetry schedules the client's next attempt, if it makes one. The caller holds the playback's lock.
func (f *front) scheduleRetry(now time.Duration, h *handIn, outcome world.ClientReply, retryAfter time.Duration) {
	if h.finished {
		return
	}
	h.finished = true
	next, ok := f.playback.day.NextHandIn(now, h.text, h.attempt, outcome, retryAfter)
	if !ok || next.At >= f.playback.day.End {
		return
	}
	f.playback.pendingHandIns++
	time.AfterFunc(next.At-now, func() {
		if f.ctx.Err() == nil {
			f.startHandIn(h.text, h.attempt+1, next.Mark)
		}
	})
}

// recordNotice reports a text's notice to the referee, and to the client if the text was handed back.
func (s *Playback) recordNotice(sender int, id string, handedBack bool, retryAfter time.Duration) {
	s.locked(func(now time.Duration) {
		s.referee.NoticeSent(now, sender, id, handedBack)
		s.logEvent("event=notice text=%s sender=%d handed_back=%v come_back=%s", id, sender, handedBack, retryAfter)
		if h := s.handInsByID[id]; h != nil && handedBack && s.front != nil {
			s.front.scheduleRetry(now, h, world.Nacked, retryAfter)
		}
	})
}

// handIn makes one hand-in and records its outcome.
func (f *front) handIn(t *world.Text, attempt int, retryMark string) {
	s := f.playback
	to := s.nextSender()
	if to == nil { // no sender is up: counts as no answer
		s.locked(func(now time.Duration) {
			if attempt == 0 {
				s.referee.SenderUnavailable(now, t)
			}
			f.scheduleRetry(now, &handIn{text: t, attempt: attempt}, world.NoAnswer, 0)
		})
		return
	}
	h := &handIn{id: s.day.ID(t, attempt), text: t, attempt: attempt}
	remaining := t.Validity() - s.now()
	s.locked(func(now time.Duration) {
		if attempt == 0 {
			s.maxHandInDelay = max(s.maxHandInDelay, now-t.At)
		}
		remaining = t.Validity() - now
		s.handInsByID[h.id] = h
		s.referee.HandedIn(now, referee.HandIn{ID: h.id, Sender: to.no, Text: t, ValidUntil: t.Validity()})
	})
	outcome, retryAfter, elapsed, dropped := f.post(to, h, retryMark, remaining)
	s.locked(func(now time.Duration) {
		if dropped {
			s.referee.ClientConnectionClosed(now, h.id, elapsed)
		} else {
			s.referee.ClientAnswered(now, h.id, outcome, retryAfter)
		}
		if outcome != world.Accepted {
			f.scheduleRetry(now, h, outcome, retryAfter)
		}
	})
}

// textBody generates a text's bytes, the same for each hand-in.
func textBody(seed uint64, t *world.Text) []byte {
	b := make([]byte, t.BodyBytes)
	c := rand.New(rand.NewPCG(seed, uint64(t.No)))
	for i := 0; i < len(b); i += 8 {
		x := c.Uint64()
		for k := i; k < min(i+8, len(b)); k++ {
			b[k] = byte(x)
			x >>= 8
		}
	}
	return b
}

// singleUseBody hides from the transport that the body can be replayed, so that the transport never resends a request
// by itself.
type singleUseBody struct{ io.Reader }

func (singleUseBody) Close() error { return nil }

// post sends the request. dropped reports that the sender closed the connection without an answer, elapsed after the
// request was written.
func (f *front) post(to *sender, h *handIn, retryMark string, remaining time.Duration) (outcome world.ClientReply, retryAfter, elapsed time.Duration, dropped bool) {
	s := f.playback
	ctx, cancel := context.WithTimeout(f.ctx, s.day.ReplyTimeout())
	defer cancel()
	content := textBody(s.day.Seed, h.text)
	for tries := 0; ; tries++ {
		var writtenAt time.Time
		var reused bool
		traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			GotConn:      func(i httptrace.GotConnInfo) { reused = i.Reused },
			WroteRequest: func(httptrace.WroteRequestInfo) { writtenAt = time.Now() },
		})
		req, err := http.NewRequestWithContext(traced, http.MethodPost, "http://"+s.net.frontAddr(to.no)+"/api", singleUseBody{bytes.NewReader(content)})
		if err != nil {
			panic(err) // the URL is built from a valid address
		}
		req.ContentLength = int64(len(content))
		req.Host = "app.svc"
		req.Header["X-Call-Id"] = []string{h.id}
		req.Header["X-Call-Class"] = []string{h.text.Product.Name}
		req.Header["X-Budget"] = []string{strconv.FormatFloat(max(0, remaining.Seconds()), 'f', 4, 64)}
		req.Header["X-Envelope"] = []string{fmt.Sprintf("dest=%d", h.text.Destination)}
		if h.text.Key != "" {
			req.Header["X-Route-Hash"] = []string{h.text.Key}
		}
		if h.text.Mark != "" {
			req.Header["Idempotency-Key"] = []string{h.text.Mark}
		}
		if retryMark != "" {
			req.Header["X-Again"] = []string{retryMark}
		}
		resp, err := f.clients[to.no].Do(req)
		if err != nil {
			sinceWritten := time.Duration(0)
			if !writtenAt.IsZero() {
				sinceWritten = time.Since(writtenAt)
			}
			switch {
			case errors.Is(err, context.DeadlineExceeded), ctx.Err() != nil:
				return world.NoAnswer, 0, 0, false
			case reused && sinceWritten < s.slack() && tries < 3 && !to.isDown():
				continue // the sender closed the idle connection as the request was sent
			case writtenAt.IsZero(), to.isDown():
				return world.NoAnswer, 0, 0, false
			}
			return world.NoAnswer, 0, sinceWritten, true
		}
		io.Copy(io.Discard, io.LimitReader(resp.Body, 64<<10))
		resp.Body.Close()
		switch resp.StatusCode {
		case http.StatusOK, http.StatusAccepted:
			return world.Accepted, 0, 0, false
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			sec, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			return world.Nacked, time.Duration(sec * float64(time.Second)), 0, false
		}
		return world.Failed, 0, 0, false
	}
}

func (s *Playback) slack() time.Duration {
	return time.Duration(s.day.World.Rules.SlackMs * float64(time.Millisecond))
}

// nextSender returns the next sender in round-robin order that the front considers up, or nil.
func (s *Playback) nextSender() *sender {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range s.senders {
		s.turns++
		if snd := s.senders[s.turns%len(s.senders)]; snd.inRotation {
			return snd
		}
	}
	return nil
}
