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

// serveReceivers serves the address at which a sender reaches the receivers of a place. They use it one after the
// other; the address listens whenever its current receiver does.
func (s *Playback) serveReceivers(ctx context.Context, sender, place int) {
	addr := s.net.receiverAddr(sender, place)
	for ctx.Err() == nil {
		now := s.now()
		r := s.listeningReceiver(place, now)
		next := s.nextListenChange(place, now)
		if r == nil {
			if !s.waitUntil(ctx, next) {
				return
			}
			continue
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			s.fail(fmt.Errorf("receiver at %s: %w", addr, err))
			return
		}
		h := &receiverServer{playback: s, sender: sender, receiver: r, conns: map[*conn]bool{}}
		over := make(chan struct{})
		go func() {
			defer close(over)
			h.accept(l)
		}()
		s.waitUntil(ctx, next)
		l.Close()
		<-over
		h.closeConns()
	}
}

// listeningReceiver returns the receiver that listens at a place, or nil.
func (s *Playback) listeningReceiver(place int, now time.Duration) *world.Receiver {
	for _, r := range s.day.Receivers {
		if r.AddressNo == place && r.Listens(now) {
			return r
		}
	}
	return nil
}

// nextListenChange returns the next time at which listeningReceiver may change, at most an hour ahead.
func (s *Playback) nextListenChange(place int, now time.Duration) time.Duration {
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

// receiverServer serves a receiver to one sender while the receiver listens.
type receiverServer struct {
	playback *Playback
	sender   int
	receiver *world.Receiver

	mu    sync.Mutex
	conns map[*conn]bool
	work  sync.WaitGroup
}

func (h *receiverServer) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // usually out of file descriptors
			time.Sleep(5 * time.Millisecond)
			continue
		}
		k := &conn{server: h, tcp: c.(*net.TCPConn), aborted: make(chan struct{})}
		k.reader = bufio.NewReaderSize(c, 4096)
		h.mu.Lock()
		h.conns[k] = true
		h.mu.Unlock()
		h.work.Go(k.serve)
	}
}

// closeConns resets the open connections: the receiver is gone or now refuses connections.
func (h *receiverServer) closeConns() {
	h.mu.Lock()
	for k := range h.conns {
		k.abort()
	}
	h.mu.Unlock()
	h.work.Wait()
}

// conn is one connection to a receiver. It carries one call at a time.
type conn struct {
	server *receiverServer
	tcp    *net.TCPConn
	reader *bufio.Reader

	once         sync.Once
	aborted      chan struct{} // closed by abort
	lastAnswered int64         // number of the last answered call, 0 for none
}

// abort resets the connection.
func (k *conn) abort() {
	k.once.Do(func() {
		k.tcp.SetLinger(0)
		k.tcp.Close()
		close(k.aborted)
	})
}

// readResult is the arrival of a request's first byte, or the error in its place.
type readResult struct {
	at  time.Duration
	err error
}

// awaitByte returns a channel that reports the next byte's arrival or the end of the connection.
func (k *conn) awaitByte() <-chan readResult {
	ch := make(chan readResult, 1)
	go func() {
		_, err := k.reader.Peek(1)
		ch <- readResult{k.server.playback.now(), err}
	}()
	return ch
}

func (k *conn) serve() {
	s, h := k.server.playback, k.server
	overLimit, atCapacity := false, false
	s.locked(func(time.Duration) {
		if atCapacity = s.openConns >= maxConns; !atCapacity {
			s.openConns++
			overLimit = !h.receiver.Connect()
		}
	})
	defer func() {
		s.locked(func(time.Duration) {
			if !atCapacity {
				s.openConns--
			}
			if !overLimit && !atCapacity {
				h.receiver.Disconnect()
			}
		})
		h.mu.Lock()
		delete(h.conns, k)
		h.mu.Unlock()
		k.tcp.Close()
	}()
	if atCapacity {
		return
	}
	idle := time.Duration(s.day.World.Sender.ConnIdleS * float64(time.Second))
	next := k.awaitByte()
	for {
		timer := time.NewTimer(idle)
		var first readResult
		select {
		case first = <-next:
		case <-timer.C:
			return
		}
		timer.Stop()
		if first.err != nil {
			k.recordIdleEnd(first.err)
			return
		}
		var more bool
		if next, more = k.handleCall(first.at, overLimit); !more {
			return
		}
	}
}

// recordIdleEnd reports how an idle connection ended. After a reset by the sender, the last answer was unread.
func (k *conn) recordIdleEnd(err error) {
	s := k.server.playback
	select {
	case <-k.aborted: // reset by the receiver
		s.locked(func(now time.Duration) { s.referee.IdleConnectionBroken(now, k.server.sender, k.server.receiver.No) })
		return
	default:
	}
	if k.lastAnswered != 0 && errors.Is(err, syscall.ECONNRESET) {
		s.locked(func(now time.Duration) { s.referee.CallAnswerUnread(now, k.lastAnswered) })
	}
}

// handleCall reads one request and answers it as the receiver's model decides; more reports whether the connection
// stays open.
func (k *conn) handleCall(firstByteAt time.Duration, overLimit bool) (next <-chan readResult, more bool) {
	s, h := k.server.playback, k.server
	req, err := http.ReadRequest(k.reader)
	if err != nil {
		io.WriteString(k.tcp, "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return nil, false
	}
	if req.Method != http.MethodPost || req.URL.Path != "/events" {
		io.WriteString(k.tcp, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		io.Copy(io.Discard, io.LimitReader(req.Body, 1<<20))
		return k.awaitByte(), true
	}
	id := req.Header.Get("X-Call-Id")
	var no int64
	c := &world.Call{Sender: h.sender}
	s.locked(func(now time.Duration) {
		s.lastCallNo++
		no = s.lastCallNo
		s.referee.CallBegan(now, firstByteAt, no, id, h.sender, h.receiver.No)
		if hand := s.handInsByID[id]; hand != nil {
			c.Text = hand.text
			c.SubmitNo = s.submitCounts[c.Text]
			s.submitCounts[c.Text]++
		}
	})
	body, err := io.ReadAll(io.LimitReader(req.Body, 64<<10+1))
	if err != nil || int64(len(body)) != req.ContentLength {
		s.locked(func(now time.Duration) { s.referee.CallEnded(now, no, true) })
		return nil, false
	}
	var dueAt time.Duration
	completes := true
	s.locked(func(now time.Duration) {
		s.referee.CallArrived(now, no)
		if overLimit {
			dueAt = now
			return
		}
		overloadedBefore := h.receiver.Overload
		dueAt, completes = h.receiver.Begin(now, c)
		if h.receiver.Overload != overloadedBefore {
			s.referee.ReceiverOverloaded(now, h.receiver.No, h.receiver.Overload)
		}
	})
	next = k.awaitByte()
	var timer <-chan time.Time
	if completes {
		t := time.NewTimer(dueAt - s.now())
		defer t.Stop()
		timer = t.C
	}
	for {
		select {
		case <-timer:
			return next, k.answer(no, id, c, overLimit, next)
		case <-k.aborted:
			s.locked(func(now time.Duration) { s.referee.CallEnded(now, no, false) })
			k.finishAbandoned(no, c, dueAt, completes)
			return nil, false
		case b := <-next:
			if b.err == nil { // data during a call: the protocol has no pipelining
				k.abort()
				continue
			}
			select {
			case <-k.aborted:
				continue
			default:
			}
			s.locked(func(now time.Duration) { s.referee.CallEnded(now, no, true) })
			k.finishAbandoned(no, c, dueAt, completes)
			return nil, false
		}
	}
}

// finishAbandoned runs an abandoned call to its end, since it may still take effect at the receiver.
func (k *conn) finishAbandoned(no int64, c *world.Call, dueAt time.Duration, completes bool) {
	s := k.server.playback
	if !completes {
		return
	}
	time.AfterFunc(dueAt-s.now(), func() {
		s.locked(func(now time.Duration) {
			if a := k.server.receiver.End(now, c); a.Executed || a.Duplicate {
				s.referee.CallExecuted(no, a.Duplicate)
			}
		})
	})
}

// answer writes the model's answer; it returns true if the connection stays open.
func (k *conn) answer(no int64, id string, c *world.Call, overLimit bool, next <-chan readResult) bool {
	s, h := k.server.playback, k.server
	var a world.Answer
	open := stillOpen(k.tcp)
	s.locked(func(now time.Duration) {
		if overLimit {
			a = world.Answer{Status: http.StatusServiceUnavailable, Reason: "connections"}
		} else if a = h.receiver.End(now, c); a.Executed || a.Duplicate {
			s.referee.CallExecuted(no, a.Duplicate)
		}
		s.logEvent("event=call text=%s sender=%d receiver=%d status=%d wait=%s why=%s", id, h.sender, h.receiver.No, a.Status, a.RetryAfter, a.Reason)
		switch {
		case a.Action == world.Respond && open:
			s.referee.CallAnswered(now, no, a.Status, a.RetryAfter)
		case a.Action == world.Respond: // the sender had closed the connection; the read of that is pending
			s.referee.CallEnded(now, no, true)
		case a.Action == world.Reset:
			s.referee.CallEnded(now, no, false)
		}
	})
	switch {
	case a.Action == world.Reset:
		k.abort()
		return false
	case a.Action == world.NeverAnswer:
		k.awaitClose(no, next)
		return false
	case !open:
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
	if overLimit {
		out = append(out, "Connection: close\r\n"...)
	}
	if _, err := k.tcp.Write(append(out, "\r\n"...)); err != nil {
		s.locked(func(now time.Duration) { s.referee.CallAnswerUnread(now, no) })
		return false
	}
	k.lastAnswered = no
	return !overLimit
}

// awaitClose keeps the connection open without an answer until the sender closes it.
func (k *conn) awaitClose(no int64, next <-chan readResult) {
	s := k.server.playback
	b := <-next
	select {
	case <-k.aborted:
		s.locked(func(now time.Duration) { s.referee.CallEnded(now, no, false) })
	default:
		if b.err != nil {
			s.locked(func(now time.Duration) { s.referee.CallEnded(now, no, true) })
		}
	}
}
