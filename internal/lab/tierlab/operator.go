package tierlab

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"emberquay/internal/lab/referee/tierrules"
)

const (
	// operatorSilence is after how long the operator goes on to another node.
	operatorSilence = time.Second
	operatorPause   = 50 * time.Millisecond
	operatorMost    = 500 * time.Millisecond
	// operatorFor bounds one order.
	operatorFor = 8 * time.Second
	// lostAnswers is the share of answers that do not reach the operator: one in so many.
	lostAnswers = 5
)

// operator changes the configuration. mu guards current and newest.
type operator struct {
	lab *lab

	mu      sync.Mutex
	current configuration           // the newest that was acknowledged
	newest  *tierrules.ConfigChange // its change
	orders  int
}

// change sends a change until there is a clear answer. It gives the status, 0 where none came.
func (o *operator) change(ctx context.Context, c *tierrules.ConfigChange) int {
	ctx, cancel := context.WithTimeout(ctx, operatorFor)
	defer cancel()
	addresses := o.lab.controlAddresses()
	o.mu.Lock()
	o.orders++
	first := o.orders
	o.mu.Unlock()
	pause := operatorPause
	for try := 0; ctx.Err() == nil; try++ {
		status := o.send(ctx, addresses[(first+try)%len(addresses)], c, (first+try)%lostAnswers == 0 && try == 0)
		switch {
		case status == http.StatusOK, status == 400, status == 409, status == 412, status == 413, status == 422:
			return status
		}
		sleep(ctx, pause)
		pause = min(2*pause, operatorMost)
	}
	return 0
}

// send sends it once. lost says that the answer is not read: the operator then knows nothing of its fate.
func (o *operator) send(ctx context.Context, address string, c *tierrules.ConfigChange, lost bool) int {
	ctx, cancel := context.WithTimeout(ctx, operatorSilence)
	defer cancel()
	path := "/api/Config.Replace"
	if c.Modify {
		path = "/api/Config.Modify"
	}
	at := 0
	o.lab.record.see(func(now time.Duration, _ *tierrules.History) {
		at = len(c.Attempts)
		c.Attempts = append(c.Attempts, tierrules.Attempt{Sent: now})
	})
	status := 0
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(c.Body))
	if err == nil {
		q.Header.Set("Content-Type", "application/json")
		q.Header.Set("Emberquay-Base-Version", strconv.FormatUint(c.BaseVersion, 10))
		if resp, err := o.lab.controlClient.Do(q); err == nil {
			_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, mostAnswer))
			resp.Body.Close()
			if err == nil && !lost {
				status = resp.StatusCode
			}
		}
	}
	o.lab.record.see(func(now time.Duration, _ *tierrules.History) {
		c.Attempts[at].Ended, c.Attempts[at].Status = now, status
	})
	return status
}

// order makes a change known to the referee.
func (o *operator) order(name string, base uint64, next configuration, body []byte, modify, invalid bool) *tierrules.ConfigChange {
	c := &tierrules.ConfigChange{Name: name, BaseVersion: base, Version: next.version, Body: body, Modify: modify, Invalid: invalid, Routes: next.judged()}
	o.lab.record.see(func(_ time.Duration, h *tierrules.History) { h.ConfigChanges = append(h.ConfigChanges, c) })
	return c
}

// replace sends a whole configuration on top of the current one.
func (o *operator) replace(ctx context.Context, name string, next configuration) int {
	base := o.now().version
	return o.take(ctx, o.order(name, base, next, next.body(), false, false), next)
}

// take sends a change and notes it as current once it is acknowledged.
func (o *operator) take(ctx context.Context, c *tierrules.ConfigChange, next configuration) int {
	status := o.change(ctx, c)
	if status == http.StatusOK {
		o.mu.Lock()
		if next.version > o.current.version {
			o.current, o.newest = next, c
		}
		o.mu.Unlock()
	}
	return status
}

func (o *operator) now() configuration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.current
}

// add, move and remove are single changes.
func (o *operator) add(ctx context.Context) {
	current := o.now()
	next := current.with(current.version+2, addedRoute)
	o.take(ctx, o.order("route added", current.version, next, upsertBody(next.version, addedRoute), true, false), next)
}

func (o *operator) move(ctx context.Context) {
	moved := orderRoute
	moved.service = otherService
	current := o.now()
	o.replace(ctx, "route moved", current.with(current.version+3, moved))
}

// otherIdle changes the limits, by which proxies serve new connections from then on.
func (o *operator) otherIdle(ctx context.Context) {
	current := o.now()
	o.replace(ctx, "idle timeout changed", current.withOtherIdle(current.version+4))
}

// otherTimeout changes for how long a stream may last that arrives from then on.
func (o *operator) otherTimeout(ctx context.Context) {
	current := o.now()
	changed := current.otherTimeout()
	next := current.with(current.version+2, changed)
	o.take(ctx, o.order("time-out changed", current.version, next, upsertBody(next.version, changed), true, false), next)
}

func (o *operator) remove(ctx context.Context) {
	current := o.now()
	next := current.without(current.version+1, addedRoute.name)
	o.take(ctx, o.order("route removed", current.version, next, removeBody(next.version, addedRoute.name), true, false), next)
}

// race lets two operators change the same version, with the same number for both.
func (o *operator) race(ctx context.Context) {
	current := o.now()
	quick, slow := readRoute, readRoute
	quick.timeout, slow.timeout = 1800*time.Millisecond, 2200*time.Millisecond
	slow.service = otherService
	var both sync.WaitGroup
	for name, r := range map[string]route{"first of two": quick, "second of two": slow} {
		next := current.with(current.version+5, r)
		c := o.order(name, current.version, next, next.body(), false, false)
		both.Go(func() { o.take(ctx, c, next) })
	}
	both.Wait()
}

// invalid sends configurations that have to be refused.
func (o *operator) invalid(ctx context.Context) {
	current := o.now()
	unknown := textRoute
	unknown.service = "nobody"
	double := readRoute
	double.name = "r-double"
	still := orderRoute
	still.timeout = 0
	for name, r := range map[string]route{"unknown service": unknown, "same host and prefix": double, "no timeout": still} {
		next := current.with(current.version+7, r)
		o.change(ctx, o.order(name, current.version, next, next.body(), false, true))
	}
	old := current
	o.change(ctx, o.order("version not above", current.version, old, append(old.body(), ' '), false, true))
}

// repeat sends the newest change again.
func (o *operator) repeat(ctx context.Context) {
	o.mu.Lock()
	newest := o.newest
	o.mu.Unlock()
	if newest != nil {
		o.change(ctx, newest)
	}
}

// retire has a store machine emptied, and says whether it is before ctx ends.
func (o *operator) retire(ctx context.Context, machine string) bool {
	addresses := o.lab.controlAddresses()
	started := false
	for try := 0; ctx.Err() == nil; try++ {
		address := addresses[try%len(addresses)]
		if !started {
			started = o.retirement(ctx, http.MethodPost, address, "Start", machine) == http.StatusOK
		} else if o.retirement(ctx, http.MethodGet, address, "Read", machine) == retirementCompleted {
			return true
		}
		sleep(ctx, retiredLook)
	}
	return false
}

// retirementCompleted stands for the answer that a machine may go.
const retirementCompleted = -1

// retirement sends one order about a retirement and gives its status, 0 where none came.
func (o *operator) retirement(ctx context.Context, method, address, order, machine string) int {
	ctx, cancel := context.WithTimeout(ctx, operatorSilence)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/api/Retire."+order+"/"+machine, http.NoBody)
	if err != nil {
		return 0
	}
	resp, err := o.lab.controlClient.Do(q)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var answer struct {
		State string `json:"state"`
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, mostAnswer)).Decode(&answer)
	if err == nil && answer.State == "completed" {
		return retirementCompleted
	}
	return resp.StatusCode
}

// read reads the configuration from each node; last says that the day is over.
func (o *operator) read(ctx context.Context, last bool) bool {
	done := false
	for _, address := range o.lab.controlAddresses() {
		read := o.readAt(ctx, address)
		done = done || read.Status == http.StatusOK
		o.lab.record.see(func(_ time.Duration, h *tierrules.History) { h.ConfigReads = append(h.ConfigReads, read) })
	}
	if last && !done {
		o.lab.record.see(func(_ time.Duration, h *tierrules.History) { h.ConfigReads[len(h.ConfigReads)-1].Last = true })
	}
	return done
}

func (o *operator) readAt(ctx context.Context, address string) tierrules.ConfigRead {
	ctx, cancel := context.WithTimeout(ctx, operatorSilence)
	defer cancel()
	read := tierrules.ConfigRead{Sent: o.lab.record.now()}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/api/Config.Read", nil)
	if err != nil {
		return read
	}
	resp, err := o.lab.controlClient.Do(q)
	if err != nil {
		return read
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, mostAnswer))
	var d document
	if err != nil || json.Unmarshal(raw, &d) != nil {
		return read
	}
	read.Ended, read.Status, read.Version = o.lab.record.now(), resp.StatusCode, d.Version
	for _, r := range d.Routes {
		read.Routes = append(read.Routes, tierrules.Route{Authority: r.Authority, PathPrefix: r.Prefix, Services: []string{r.Service}})
	}
	return read
}
