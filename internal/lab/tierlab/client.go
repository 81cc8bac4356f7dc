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
	// mostTries bounds the tries of one call.
	mostTries = 4
	// patience is for how long a sender may leave an idempotent request unread.
	retryPause = 60 * time.Millisecond
)

// call is what a client wants served, by some tries.
type call struct {
	class    string
	route    route
	path     string // behind the route's prefix
	method   string
	body     []byte
	deadline time.Duration
	header   http.Header // but for the id and the deadline

	program  string
	budget   int64
	most     int64
	previous string
	finish   time.Time // of its program; the zero time: none
}

// client is one that keeps a connection to each machine, and goes on using the last until its machine ends it, as clients
// of the platform do: whether a machine is ready is asked for new connections only.
type client struct {
	lab   *lab
	no    uint64
	conns map[string]*connection
	last  *process // that served it last; nil: none yet
}

func (l *lab) newClient() *client {
	return &client{lab: l, no: l.clients.Add(1), conns: map[string]*connection{}}
}

func (c *client) close() {
	for _, conn := range c.conns {
		conn.Close()
	}
}

// do tries a call until it is served, may not be repeated, or its time is over. It gives the last try.
func (c *client) do(ctx context.Context, k *call) *tierrules.Request {
	end := time.Now().Add(k.deadline)
	var last *tierrules.Request
	for try := range mostTries {
		left := time.Until(end)
		if left <= 0 || ctx.Err() != nil {
			break
		}
		machine := c.choose(try)
		if machine == nil {
			sleep(ctx, min(retryPause, left))
			continue
		}
		var unread bool
		var wait time.Duration
		last, wait, unread = c.try(ctx, k, machine, left)
		if !c.repeat(last, unread) {
			return last
		}
		sleep(ctx, min(max(wait, retryPause), time.Until(end)/3))
	}
	return last
}

// repeat says whether a client tries again.
func (c *client) repeat(r *tierrules.Request, unread bool) bool {
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

// choose picks a front: that of the connection in use, else by a hash of the client, the next one at each try.
func (c *client) choose(try int) *process {
	if try == 0 && c.last != nil {
		if conn := c.conns[c.last.machine]; conn != nil && conn.usable() {
			return c.last
		}
	}
	in := c.lab.frontsIn()
	if len(in) == 0 {
		return nil
	}
	h := fnv.New64a()
	fmt.Fprint(h, c.no)
	return in[(h.Sum64()+uint64(try))%uint64(len(in))]
}

// try sends a call once. unread says that the connection ended with nothing read of it.
func (c *client) try(ctx context.Context, k *call, machine *process, left time.Duration) (r *tierrules.Request, wait time.Duration, unread bool) {
	conn, err := c.connect(ctx, machine)
	if err != nil {
		return nil, 0, true
	}
	r = k.request(machine.machine, left)
	r.ReusedConnection = !conn.rested.IsZero()
	c.lab.record.see(func(now time.Duration, h *tierrules.History) {
		r.Sent = now
		if !k.finish.IsZero() {
			r.ProgramDeadline = now + time.Until(k.finish)
		}
		h.Requests = append(h.Requests, r)
	})
	_ = conn.SetDeadline(time.Now().Add(left))
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer c.lab.record.see(func(now time.Duration, _ *tierrules.History) {
		r.Ended = now
		r.ClientAborted = ctx.Err() != nil || r.Answer == nil && now-r.Sent >= r.Deadline
	})
	header := k.headers(r.ID, left)
	if err := conn.send(r, header); err != nil {
		c.drop(machine)
		return r, 0, true
	}
	c.lab.record.see(func(now time.Duration, _ *tierrules.History) { r.FullySent = now })
	again, _ := conn.receive(c.lab.record, r)
	if !again {
		c.drop(machine)
	}
	return r, 0, false
}

// connect gives the connection that is kept, or a new one.
func (c *client) connect(ctx context.Context, machine *process) (*connection, error) {
	if conn := c.conns[machine.machine]; conn != nil {
		if conn.usable() {
			return conn, nil
		}
		c.drop(machine)
	}
	address := at(machine.ip, frontPort)
	if c.lab.options.front != nil {
		address = c.lab.options.front(address)
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

// request is a try as the referee knows it.
func (k *call) request(machine string, left time.Duration) *tierrules.Request {
	method := k.method
	return &tierrules.Request{
		ID: fmt.Sprintf("%016x", rand.Uint64()), Machine: machine, Class: k.class, Kind: k.route.kind, Resumable: k.route.resumable,
		Retained: k.route.retained, Authority: authority, Target: k.route.prefix + k.path, Method: method, Body: k.body,
		Deadline: told(left), Timeout: k.route.timeout, Retention: retention, MaxAttempts: k.route.attempts,
		Program: k.program, TokenBudget: k.budget, MaxTokens: k.most, TokensPerEvent: chunkTokens, Previous: k.previous,
	}
}

// told is the time that a request names: whole milliseconds. The tier ends it by that, a part of a millisecond before its
// client would.
func told(left time.Duration) time.Duration {
	return max(time.Millisecond, left.Truncate(time.Millisecond))
}

func (k *call) headers(id string, left time.Duration) http.Header {
	header := k.header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set("Emberquay-Request-Id", id)
	header.Set("Emberquay-Deadline-Ms", strconv.FormatInt(told(left).Milliseconds(), 10))
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
