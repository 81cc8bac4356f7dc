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

// handIn is one hand-in of a text.
type handIn struct {
	id       string
	text     *world.Text
	attempt  int // the how-manieth, from 0
	finished bool
}

// front deals hand-ins out to the senders that it takes to live.
type front struct {
	stage   *Playback
	clients []*http.Client
	slots   chan struct{} // bounds the hand-ins under way
	ctx     context.Context
	work    sync.WaitGroup
}

// maxPendingHandIns bounds the hand-ins that wait for their answers.
const maxPendingHandIns = 4096

func newFront(ctx context.Context, s *Playback) *front {
	f := &front{ctx: ctx, stage: s, slots: make(chan struct{}, maxPendingHandIns)}
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

// play hands in all texts of the day, each at its time, until the context ends.
func (f *front) play() {
	s := f.stage
	for _, t := range s.day.Texts {
		if !s.waitUntil(f.ctx, t.At) {
			return
		}
		f.startHandIn(t, 0, "")
	}
}

// startHandIn hands a text in, in a goroutine of its own.
func (f *front) startHandIn(t *world.Text, attempt int, retryMark string) {
	select {
	case f.slots <- struct{}{}:
	case <-f.ctx.Done():
		return
	}
	f.work.Go(func() {
		defer func() { <-f.slots }()
		f.handIn(t, attempt, retryMark)
		f.stage.locked(func(time.Duration) { f.stage.pendingHandIns-- })
	})
}

// scheduleRetry has a client come again, if it does. It is called under the stage's lock.
func (f *front) scheduleRetry(now time.Duration, h *handIn, outcome world.ClientReply, retryAfter time.Duration) {
	if h.finished {
		return
	}
	h.finished = true
	next, ok := f.stage.day.NextHandIn(now, h.text, h.attempt, outcome, retryAfter)
	if !ok || next.At >= f.stage.day.End {
		return
	}
	f.stage.pendingHandIns++
	time.AfterFunc(next.At-now, func() {
		if f.ctx.Err() == nil {
			f.startHandIn(h.text, h.attempt+1, next.Mark)
		}
	})
}

// recordNotice tells the referee, and the client, how a text ended.
func (s *Playback) recordNotice(sender int, id string, handedBack bool, retryAfter time.Duration) {
	s.locked(func(now time.Duration) {
		s.ref.NoticeSent(now, sender, id, handedBack)
		s.logEvent("event=notice text=%s sender=%d handed_back=%v come_back=%s", id, sender, handedBack, retryAfter)
		if h := s.handInsByID[id]; h != nil && handedBack && s.front != nil {
			s.front.scheduleRetry(now, h, world.Nacked, retryAfter)
		}
	})
}

// handIn makes one hand-in and hears its answer.
func (f *front) handIn(t *world.Text, attempt int, retryMark string) {
	s := f.stage
	to := s.nextSender()
	if to == nil { // none lives: as if nobody answered
		s.locked(func(now time.Duration) {
			if attempt == 0 {
				s.ref.SenderUnavailable(now, t)
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
		s.ref.HandedIn(now, referee.HandIn{ID: h.id, Sender: to.no, Text: t, ValidUntil: t.Validity()})
	})
	outcome, retryAfter, elapsed, dropped := f.post(to, h, retryMark, remaining)
	s.locked(func(now time.Duration) {
		if dropped {
			s.ref.ClientConnectionClosed(now, h.id, elapsed)
		} else {
			s.ref.ClientAnswered(now, h.id, outcome, retryAfter)
		}
		if outcome != world.Accepted {
			f.scheduleRetry(now, h, outcome, retryAfter)
		}
	})
}

// textBody gives a text's bytes, the same at each hand-in.
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

// singleUseBody hides from the transport that a body could be had again: a request must not be sent twice by itself.
type singleUseBody struct{ io.Reader }

func (singleUseBody) Close() error { return nil }

// post makes the request. dropped: the sender ended the connection without an answer, so long after the request.
func (f *front) post(to *sender, h *handIn, retryMark string, remaining time.Duration) (outcome world.ClientReply, retryAfter, elapsed time.Duration, dropped bool) {
	s := f.stage
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
			panic(err) // the address is our own
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
				continue // its close crossed the request
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

// nextSender deals the senders out in turn, of those that the front takes to live.
func (s *Playback) nextSender() *sender {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range s.senders {
		s.lastSender++
		if snd := s.senders[s.lastSender%len(s.senders)]; snd.inRotation {
			return snd
		}
	}
	return nil
}
