package tierlab

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"emberquay/internal/lab/referee/tierrules"
)

const (
	// maxAttempts bounds the attempts of one call.
	maxAttempts = 4
	// retryPause is the shortest pause between two attempts.
	retryPause = 60 * time.Millisecond
)

// call is a client's request, sent in one or more attempts.
type call struct {
	class    string
	route    route
	path     string // relative to the route's prefix
	method   string
	body     []byte
	deadline time.Duration
	header   http.Header // without the request ID and the deadline

	program         string
	budget          int64
	maxTokens       int64
	previous        string
	programDeadline time.Time // zero: none
}

// client keeps a connection to each machine and reuses the last one until the machine closes it, as clients of the platform
// do: readiness matters for new connections only.
type client struct {
	lab   *lab
	no    uint64
	conns map[string]*connection
	last  *process // machine of the newest connection; nil: none yet
}

func (l *lab) newClient() *client {
	return &client{lab: l, no: l.clientCount.Add(1), conns: map[string]*connection{}}
}

func (c *client) close() {
	for _, conn := range c.conns {
		conn.Close()
	}
}

// send attempts a call until it is served, must not be retried, or reaches its deadline. It returns the last attempt.
func (c *client) send(ctx context.Context, k *call) *tierrules.Request {
	end := time.Now().Add(k.deadline)
	var last *tierrules.Request
	for try := range maxAttempts {
		left := time.Until(end)
		if left <= 0 || ctx.Err() != nil {
			break
		}
		machine := c.chooseFront(try)
		if machine == nil {
			sleep(ctx, min(retryPause, left))
			continue
		}
		var unread bool
		var wait time.Duration
		last, wait, unread = c.attempt(ctx, k, machine, left)
		if !c.shouldRetry(last, unread) {
			return last
		}
		sleep(ctx, min(max(wait, retryPause), time.Until(end)/3))
	}
	return last
}

// shouldRetry reports whether the client may attempt the call again.
func (c *client) shouldRetry(r *tierrules.Request, unread bool) bool {
	if r == nil {
		return true
	}
	status := 0
	if r.Answer != nil {
		status = r.Answer.Status
	}
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusPaymentRequired, http.StatusForbidden, http.StatusNotFound,
		http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		return false
	}
	if status/100 == 2 && r.Answer.Complete {
		return false
	}
	return r.Kind == tierrules.Safe || unread
}

// chooseFront picks a front: on the first attempt that of a usable connection, else by a hash of the client, advancing with
// each attempt.
func (c *client) chooseFront(try int) *process {
	if try == 0 && c.last != nil {
		if conn := c.conns[c.last.machine]; conn != nil && conn.usable() {
			return c.last
		}
	}
	in := c.lab.frontsInRotation()
	if len(in) == 0 {
		return nil
	}
	h := fnv.New64a()
	fmt.Fprint(h, c.no)
	return in[(h.Sum64()+uint64(try))%uint64(len(in))]
}

// attempt sends a call once. unread reports that the connection failed before the request was sent completely.
func (c *client) attempt(ctx context.Context, k *call, machine *process, left time.Duration) (r *tierrules.Request, wait time.Duration, unread bool) {
	conn, err := c.connect(ctx, machine)
	if err != nil {
		return nil, 0, true
	}
	r = k.request(machine.machine, left)
	r.ReusedConnection = !conn.idleSince.IsZero()
	c.lab.record.update(func(now time.Duration, h *tierrules.History) {
		r.Sent = now
		if !k.programDeadline.IsZero() {
			r.ProgramDeadline = now + time.Until(k.programDeadline)
		}
		h.Requests = append(h.Requests, r)
	})
	_ = conn.SetDeadline(time.Now().Add(left))
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer c.lab.record.update(func(now time.Duration, _ *tierrules.History) {
		r.Ended = now
		r.ClientAborted = ctx.Err() != nil || r.Answer == nil && now-r.Sent >= r.Deadline
	})
	header := k.headers(r.ID, left)
	if err := conn.send(r, header); err != nil {
		c.drop(machine)
		return r, 0, true
	}
	c.lab.record.update(func(now time.Duration, _ *tierrules.History) { r.FullySent = now })
	reusable, _ := conn.receive(c.lab.record, r)
	if !reusable {
		c.drop(machine)
	}
	return r, 0, false
}

// connect returns the kept connection to a machine, or opens a new one.
func (c *client) connect(ctx context.Context, machine *process) (*connection, error) {
	if conn := c.conns[machine.machine]; conn != nil {
		if conn.usable() {
			return conn, nil
		}
		c.drop(machine)
	}
	address := joinHostPort(machine.ip, frontPort)
	if c.lab.options.frontAddress != nil {
		address = c.lab.options.frontAddress(address)
	}
	conn, err := dial(ctx, address)
	if err == nil {
		c.conns[machine.machine], c.last = conn, machine
	}
	return conn, err
}

func (c *client) drop(machine *process) {
	if conn := c.conns[machine.machine]; conn != nil {
		conn.Close()
		delete(c.conns, machine.machine)
	}
}

// request returns an attempt in the form that the referee records.
func (k *call) request(machine string, left time.Duration) *tierrules.Request {
	method := k.method
	return &tierrules.Request{
		ID: fmt.Sprintf("%016x", rand.Uint64()), Machine: machine, Class: k.class, Kind: k.route.kind, Resumable: k.route.resumable,
		Retained: k.route.retained, Authority: authority, Target: k.route.prefix + k.path, Method: method, Body: k.body,
		Deadline: wireDeadline(left), Timeout: k.route.timeout, Retention: retention, MaxAttempts: k.route.attempts,
		Program: k.program, TokenBudget: k.budget, MaxTokens: k.maxTokens, TokensPerEvent: chunkTokens, Previous: k.previous,
	}
}

// wireDeadline returns the deadline that a request carries, in whole milliseconds. The tier enforces this one, a fraction of
// a millisecond before the client would.
func wireDeadline(left time.Duration) time.Duration {
	return max(time.Millisecond, left.Truncate(time.Millisecond))
}

func (k *call) headers(id string, left time.Duration) http.Header {
	header := k.header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set("Emberquay-Request-Id", id)
	header.Set("Emberquay-Deadline-Ms", strconv.FormatInt(wireDeadline(left).Milliseconds(), 10))
	if k.program != "" {
		header.Set("Program", k.program)
	}
	if k.budget > 0 {
		header.Set("Budget", strconv.FormatInt(k.budget, 10))
	}
	if k.previous != "" {
		header.Set("Previous", k.previous)
	}
	return header
}
