package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"emberquay/internal/lab/world"
)

// place listens at the address under which a sender reaches the receivers of a place, one after the other, whenever
// the one that has it does.
func (s *Stage) place(ctx context.Context, sender, place int) {
	addr := s.net.receiver(sender, place)
	for ctx.Err() == nil {
		now := s.now()
		r := s.at(place, now)
		next := s.edge(place, now)
		if r == nil {
			if !s.until(ctx, next) {
				return
			}
			continue
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			s.fail(fmt.Errorf("receiver at %s: %w", addr, err))
			return
		}
		h := &host{stage: s, sender: sender, r: r, open: map[*conn]bool{}}
		over := make(chan struct{})
		go func() {
			defer close(over)
			h.accept(l)
		}()
		s.until(ctx, next)
		l.Close()
		<-over
		h.down()
	}
}

// at is the receiver that listens at a place.
func (s *Stage) at(place int, now time.Duration) *world.Receiver {
	for _, r := range s.day.Receivers {
		if r.AddressNo == place && r.Listens(now) {
			return r
		}
	}
	return nil
}

// edge is when that may change next.
func (s *Stage) edge(place int, now time.Duration) time.Duration {
	next := now + time.Hour
	look := func(at time.Duration) {
		if at > now {
			next = min(next, at)
		}
	}
	for _, r := range s.day.Receivers {
		if r.AddressNo == place {
			look(r.AddedAt)
			look(r.RemovedAt)
			for _, st := range s.day.Incidents {
				if st.What == "refuse" && slices.Contains(st.Receivers, r.No) {
					look(st.From)
					look(st.To)
				}
			}
		}
	}
	return next
}

// host is a receiver as one sender reaches it, for as long as it listens.
type host struct {
	stage  *Stage
	sender int
	r      *world.Receiver

	mu   sync.Mutex
	open map[*conn]bool
	work sync.WaitGroup
}

func (h *host) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, as a rule
			time.Sleep(5 * time.Millisecond)
			continue
		}
		k := &conn{host: h, tcp: c.(*net.TCPConn), end: make(chan struct{})}
		k.in = bufio.NewReaderSize(c, 4096)
		h.mu.Lock()
		h.open[k] = true
		h.mu.Unlock()
		h.work.Go(k.serve)
	}
}

// down resets what is open: the receiver is gone, or refuses connections now.
func (h *host) down() {
	h.mu.Lock()
	for k := range h.open {
		k.abort()
	}
	h.mu.Unlock()
	h.work.Wait()
}

// conn is one connection to a receiver. It carries one call at a time.
type conn struct {
	host *host
	tcp  *net.TCPConn
	in   *bufio.Reader

	once sync.Once
	end  chan struct{} // closed by abort
	last int64         // the call that was answered last, 0 for none
}

// abort resets the connection.
func (k *conn) abort() {
	k.once.Do(func() {
		k.tcp.SetLinger(0)
		k.tcp.Close()
		close(k.end)
	})
}

// byteCome is the first byte of a request, or why there is none.
type byteCome struct {
	at  time.Duration
	err error
}

// wait tells on a channel when the next byte comes, or the connection ends.
func (k *conn) wait() <-chan byteCome {
	ch := make(chan byteCome, 1)
	go func() {
		_, err := k.in.Peek(1)
		ch <- byteCome{k.host.stage.now(), err}
	}()
	return ch
}

func (k *conn) serve() {
	s, h := k.host.stage, k.host
	crowded, full := false, false
	s.see(func(time.Duration) {
		if full = s.conns >= mostConns; !full {
			s.conns++
			crowded = !h.r.Connect()
		}
	})
	defer func() {
		s.see(func(time.Duration) {
			if !full {
				s.conns--
			}
			if !crowded && !full {
				h.r.Disconnect()
			}
		})
		h.mu.Lock()
		delete(h.open, k)
		h.mu.Unlock()
		k.tcp.Close()
	}()
	if full {
		return
	}
	idle := time.Duration(s.day.World.Sender.ConnIdleS * float64(time.Second))
	next := k.wait()
	for {
		timer := time.NewTimer(idle)
		var first byteCome
		select {
		case first = <-next:
		case <-timer.C:
			return
		}
		timer.Stop()
		if first.err != nil {
			k.ended(first.err)
			return
		}
		var more bool
		if next, more = k.call(first.at, crowded); !more {
			return
		}
	}
}

// ended tells how an idle connection ended. If the sender's end was reset, the last answer had not been read.
func (k *conn) ended(err error) {
	s := k.host.stage
	select {
	case <-k.end: // by ourselves
		s.see(func(now time.Duration) { s.ref.IdleConnectionBroken(now, k.host.sender, k.host.r.No) })
		return
	default:
	}
	if k.last != 0 && errors.Is(err, syscall.ECONNRESET) {
		s.see(func(now time.Duration) { s.ref.CallAnswerUnread(now, k.last) })
	}
}

// call takes one request and gives it what the receiver's model says; more if the connection goes on.
func (k *conn) call(first time.Duration, crowded bool) (next <-chan byteCome, more bool) {
	s, h := k.host.stage, k.host
	req, err := http.ReadRequest(k.in)
	if err != nil {
		io.WriteString(k.tcp, "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return nil, false
	}
	if req.Method != http.MethodPost || req.URL.Path != "/events" {
		io.WriteString(k.tcp, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		io.Copy(io.Discard, io.LimitReader(req.Body, 1<<20))
		return k.wait(), true
	}
	id := req.Header.Get("X-Call-Id")
	var no int64
	c := &world.Call{Sender: h.sender}
	s.see(func(now time.Duration) {
		s.calls++
		no = s.calls
		s.ref.CallBegan(now, first, no, id, h.sender, h.r.No)
		if hand := s.byID[id]; hand != nil {
			c.Text = hand.text
			c.SubmitNo = s.submits[c.Text]
			s.submits[c.Text]++
		}
	})
	body, err := io.ReadAll(io.LimitReader(req.Body, 64<<10+1))
	if err != nil || int64(len(body)) != req.ContentLength {
		s.see(func(now time.Duration) { s.ref.CallEnded(now, no, true) })
		return nil, false
	}
	var due time.Duration
	ever := true
	s.see(func(now time.Duration) {
		s.ref.CallArrived(now, no)
		if crowded {
			due = now
			return
		}
		fell := h.r.Overload
		due, ever = h.r.Begin(now, c)
		if h.r.Overload != fell {
			s.ref.ReceiverOverloaded(now, h.r.No, h.r.Overload)
		}
	})
	next = k.wait()
	var timer <-chan time.Time
	if ever {
		t := time.NewTimer(due - s.now())
		defer t.Stop()
		timer = t.C
	}
	for {
		select {
		case <-timer:
			return next, k.answer(no, id, c, crowded, next)
		case <-k.end:
			s.see(func(now time.Duration) { s.ref.CallEnded(now, no, false) })
			k.runOn(no, c, due, ever)
			return nil, false
		case b := <-next:
			if b.err == nil { // more on a connection with a call out: the protocol has no such thing
				k.abort()
				continue
			}
			select {
			case <-k.end:
				continue
			default:
			}
			s.see(func(now time.Duration) { s.ref.CallEnded(now, no, true) })
			k.runOn(no, c, due, ever)
			return nil, false
		}
	}
}

// runOn: what was given up runs to its end all the same, and may have its effect.
func (k *conn) runOn(no int64, c *world.Call, due time.Duration, ever bool) {
	s := k.host.stage
	if !ever {
		return
	}
	time.AfterFunc(due-s.now(), func() {
		s.see(func(now time.Duration) {
			if a := k.host.r.End(now, c); a.Executed || a.Duplicate {
				s.ref.CallExecuted(no, a.Duplicate)
			}
		})
	})
}

// answer writes what is due; true if the connection goes on.
func (k *conn) answer(no int64, id string, c *world.Call, crowded bool, next <-chan byteCome) bool {
	s, h := k.host.stage, k.host
	var a world.Answer
	there := stillOpen(k.tcp)
	s.see(func(now time.Duration) {
		if crowded {
			a = world.Answer{Status: http.StatusServiceUnavailable, Reason: "connections"}
		} else if a = h.r.End(now, c); a.Executed || a.Duplicate {
			s.ref.CallExecuted(no, a.Duplicate)
		}
		s.say("event=call text=%s sender=%d receiver=%d status=%d wait=%s why=%s", id, h.sender, h.r.No, a.Status, a.RetryAfter, a.Reason)
		switch {
		case a.Action == world.Respond && there:
			s.ref.CallAnswered(now, no, a.Status, a.RetryAfter)
		case a.Action == world.Respond: // its sender had hung up; the end of the connection is on its way
			s.ref.CallEnded(now, no, true)
		case a.Action == world.Reset:
			s.ref.CallEnded(now, no, false)
		}
	})
	switch {
	case a.Action == world.Reset:
		k.abort()
		return false
	case a.Action == world.NeverAnswer:
		k.silent(no, next)
		return false
	case !there:
		return false
	}
	out := make([]byte, 0, 192)
	out = fmt.Appendf(out, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n", a.Status, http.StatusText(a.Status))
	if a.RetryAfter > 0 {
		ms := float64(a.RetryAfter) / float64(time.Millisecond)
		out = fmt.Appendf(out, "X-Retry-In-Ms: %s\r\n", strconv.FormatFloat(ms, 'f', 3, 64))
	}
	if a.Report.Present {
		out = fmt.Appendf(out, "X-Load-Report: x0=%.4f,x1=%.4f\r\n", a.Report.Share, a.Report.PerSecond)
	}
	if crowded {
		out = append(out, "Connection: close\r\n"...)
	}
	if _, err := k.tcp.Write(append(out, "\r\n"...)); err != nil {
		s.see(func(now time.Duration) { s.ref.CallAnswerUnread(now, no) })
		return false
	}
	k.last = no
	return !crowded
}

// silent keeps the connection open until its sender ends it.
func (k *conn) silent(no int64, next <-chan byteCome) {
	s := k.host.stage
	b := <-next
	select {
	case <-k.end:
		s.see(func(now time.Duration) { s.ref.CallEnded(now, no, false) })
	default:
		if b.err != nil {
			s.see(func(now time.Duration) { s.ref.CallEnded(now, no, true) })
		}
	}
}
