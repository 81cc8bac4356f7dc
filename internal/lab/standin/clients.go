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
	id   string
	text *world.Text
	n    int // the how-manieth, from 0
	over bool
}

// front deals hand-ins out to the senders that it takes to live.
type front struct {
	stage   *Stage
	clients []*http.Client
	places  chan struct{} // bounds the hand-ins under way
	ctx     context.Context
	work    sync.WaitGroup
}

// mostAtOnce bounds the hand-ins that wait for their answers.
const mostAtOnce = 4096

func newFront(ctx context.Context, s *Stage) *front {
	f := &front{ctx: ctx, stage: s, places: make(chan struct{}, mostAtOnce)}
	for range s.senders {
		most := s.day.World.Clients.Conns
		f.clients = append(f.clients, &http.Client{Transport: &http.Transport{
			MaxConnsPerHost: most, MaxIdleConnsPerHost: most, DisableCompression: true,
			DialContext: (&net.Dialer{KeepAlive: -1}).DialContext,
		}})
	}
	s.mu.Lock()
	s.front = f
	s.due = len(s.day.Texts)
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
		if !s.until(f.ctx, t.At) {
			return
		}
		f.hand(t, 0, "")
	}
}

// hand hands a text in, in a goroutine of its own.
func (f *front) hand(t *world.Text, n int, again string) {
	select {
	case f.places <- struct{}{}:
	case <-f.ctx.Done():
		return
	}
	f.work.Go(func() {
		defer func() { <-f.places }()
		f.handIn(t, n, again)
		f.stage.see(func(time.Duration) { f.stage.due-- })
	})
}

// again has a client come again, if it does. It is called under the stage's lock.
func (f *front) again(now time.Duration, h *handIn, heard world.ClientReply, advice time.Duration) {
	if h.over {
		return
	}
	h.over = true
	next, ok := f.stage.day.NextHandIn(now, h.text, h.n, heard, advice)
	if !ok || next.At >= f.stage.day.End {
		return
	}
	f.stage.due++
	time.AfterFunc(next.At-now, func() {
		if f.ctx.Err() == nil {
			f.hand(h.text, h.n+1, next.Mark)
		}
	})
}

// noticed tells the referee, and the client, how a text ended.
func (s *Stage) noticed(sender int, id string, back bool, advice time.Duration) {
	s.see(func(now time.Duration) {
		s.ref.NoticeSent(now, sender, id, back)
		s.say("event=notice text=%s sender=%d handed_back=%v come_back=%s", id, sender, back, advice)
		if h := s.byID[id]; h != nil && back && s.front != nil {
			s.front.again(now, h, world.Nacked, advice)
		}
	})
}

// handIn makes one hand-in and hears its answer.
func (f *front) handIn(t *world.Text, n int, again string) {
	s := f.stage
	to := s.pick()
	if to == nil { // none lives: as if nobody answered
		s.see(func(now time.Duration) {
			if n == 0 {
				s.ref.SenderUnavailable(now, t)
			}
			f.again(now, &handIn{text: t, n: n}, world.NoAnswer, 0)
		})
		return
	}
	h := &handIn{id: s.day.ID(t, n), text: t, n: n}
	left := t.Validity() - s.now()
	s.see(func(now time.Duration) {
		if n == 0 {
			s.late = max(s.late, now-t.At)
		}
		left = t.Validity() - now
		s.byID[h.id] = h
		s.ref.HandedIn(now, referee.HandIn{ID: h.id, Sender: to.no, Text: t, ValidUntil: t.Validity()})
	})
	heard, advice, after, dropped := f.ask(to, h, again, left)
	s.see(func(now time.Duration) {
		if dropped {
			s.ref.ClientConnectionClosed(now, h.id, after)
		} else {
			s.ref.ClientAnswered(now, h.id, heard, advice)
		}
		if heard != world.Accepted {
			f.again(now, h, heard, advice)
		}
	})
}

// body gives a text's bytes, the same at each hand-in.
func body(seed uint64, t *world.Text) []byte {
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

// once hides from the transport that a body could be had again: a request must not be sent twice by itself.
type once struct{ io.Reader }

func (once) Close() error { return nil }

// ask makes the request. dropped: the sender ended the connection without an answer, so long after the request.
func (f *front) ask(to *sender, h *handIn, again string, left time.Duration) (heard world.ClientReply, advice, after time.Duration, dropped bool) {
	s := f.stage
	ctx, cancel := context.WithTimeout(f.ctx, s.day.ReplyTimeout())
	defer cancel()
	bytesOf := body(s.day.Seed, h.text)
	for tries := 0; ; tries++ {
		var wrote time.Time
		var kept bool
		traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			GotConn:      func(i httptrace.GotConnInfo) { kept = i.Reused },
			WroteRequest: func(httptrace.WroteRequestInfo) { wrote = time.Now() },
		})
		req, err := http.NewRequestWithContext(traced, http.MethodPost, "http://"+s.net.front(to.no)+"/api", once{bytes.NewReader(bytesOf)})
		if err != nil {
			panic(err) // the address is our own
		}
		req.ContentLength = int64(len(bytesOf))
		req.Host = "app.svc"
		req.Header["X-Call-Id"] = []string{h.id}
		req.Header["X-Call-Class"] = []string{h.text.Product.Name}
		req.Header["X-Budget"] = []string{strconv.FormatFloat(max(0, left.Seconds()), 'f', 4, 64)}
		req.Header["X-Envelope"] = []string{fmt.Sprintf("dest=%d", h.text.Destination)}
		if h.text.Key != "" {
			req.Header["X-Route-Hash"] = []string{h.text.Key}
		}
		if h.text.Mark != "" {
			req.Header["Idempotency-Key"] = []string{h.text.Mark}
		}
		if again != "" {
			req.Header["X-Again"] = []string{again}
		}
		resp, err := f.clients[to.no].Do(req)
		if err != nil {
			since := time.Duration(0)
			if !wrote.IsZero() {
				since = time.Since(wrote)
			}
			switch {
			case errors.Is(err, context.DeadlineExceeded), ctx.Err() != nil:
				return world.NoAnswer, 0, 0, false
			case kept && since < s.slack() && tries < 3 && !to.isDown():
				continue // its close crossed the request
			case wrote.IsZero(), to.isDown():
				return world.NoAnswer, 0, 0, false
			}
			return world.NoAnswer, 0, since, true
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

func (s *Stage) slack() time.Duration {
	return time.Duration(s.day.World.Rules.SlackMs * float64(time.Millisecond))
}

// pick deals the senders out in turn, of those that the front takes to live.
func (s *Stage) pick() *sender {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range s.senders {
		s.turn++
		if snd := s.senders[s.turn%len(s.senders)]; snd.listed {
			return snd
		}
	}
	return nil
}
