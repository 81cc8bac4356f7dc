package tierlab

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"emberquay/internal/lab/referee/tierrules"
)

const (
	// operatorRequestTimeout bounds one request, after which the operator tries another node.
	operatorRequestTimeout = time.Second
	// operatorBodyBytesPerTimeout is the size of a body for which the operator waits operatorRequestTimeout more.
	operatorBodyBytesPerTimeout = 1 << 20
	minOperatorPause            = 50 * time.Millisecond
	maxOperatorPause            = 500 * time.Millisecond
	// operatorChangeTimeout bounds one change with all its attempts.
	operatorChangeTimeout = 8 * time.Second
	// lostAnswerInterval is the interval, in changes, at which the answer to the first attempt is lost.
	lostAnswerInterval = 5
)

// operator changes the configuration. mu guards the fields below it.
type operator struct {
	lab *lab

	mu           sync.Mutex
	current      configuration           // newest acknowledged version
	newestChange *tierrules.ConfigChange // change that led to current
	changeCount  int
	acknowledger *process // that gave the newest acknowledgement
}

// change sends a change until a node gives a definite answer. It returns the status, or 0 without one.
func (o *operator) change(ctx context.Context, c *tierrules.ConfigChange) int {
	ctx, cancel := context.WithTimeout(ctx, operatorChangeTimeout)
	defer cancel()
	addresses := o.lab.controlAddresses()
	o.mu.Lock()
	o.changeCount++
	first := o.changeCount
	o.mu.Unlock()
	pause := minOperatorPause
	for try := 0; ctx.Err() == nil; try++ {
		status := o.send(ctx, addresses[(first+try)%len(addresses)], c, (first+try)%lostAnswerInterval == 0 && try == 0)
		if status == http.StatusOK {
			o.setAcknowledger(o.lab.controls[(first+try)%len(addresses)])
		}
		switch {
		case status == http.StatusOK, status == 400, status == 409, status == 412, status == 413, status == 422:
			return status
		}
		sleep(ctx, pause)
		pause = min(2*pause, maxOperatorPause)
	}
	return 0
}

// send sends a change once. lost discards the answer, so that the operator does not learn the outcome.
func (o *operator) send(ctx context.Context, address string, c *tierrules.ConfigChange, lost bool) int {
	ctx, cancel := context.WithTimeout(ctx, requestTimeoutFor(len(c.Body)))
	defer cancel()
	path := "/api/Config.Replace"
	if c.Modify {
		path = "/api/Config.Modify"
	}
	index := 0
	o.lab.record.update(func(now time.Duration, _ *tierrules.History) {
		index = len(c.Attempts)
		c.Attempts = append(c.Attempts, tierrules.Attempt{Sent: now})
	})
	status := 0
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(c.Body))
	if err == nil {
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("Emberquay-Base-Version", strconv.FormatUint(c.BaseVersion, 10))
		if resp, err := o.lab.controlClient.Do(req); err == nil {
			_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
			resp.Body.Close()
			if err == nil && !lost {
				status = resp.StatusCode
			}
		}
	}
	o.lab.record.update(func(now time.Duration, _ *tierrules.History) {
		c.Attempts[index].Ended, c.Attempts[index].Status = now, status
	})
	return status
}

// requestTimeoutFor returns how long the operator waits for the answer to a request with a body of some bytes.
func requestTimeoutFor(bodyBytes int) time.Duration {
	return operatorRequestTimeout + operatorRequestTimeout*time.Duration(bodyBytes)/operatorBodyBytesPerTimeout
}

// recordChange records a change for the referee.
func (o *operator) recordChange(name string, base uint64, next configuration, body []byte, modify, invalid bool) *tierrules.ConfigChange {
	c := &tierrules.ConfigChange{Name: name, BaseVersion: base, Version: next.version, Body: body, Modify: modify, Invalid: invalid, Routes: next.expectedRoutes()}
	o.lab.record.update(func(_ time.Duration, h *tierrules.History) { h.ConfigChanges = append(h.ConfigChanges, c) })
	return c
}

// replace sends a complete configuration based on the current one.
func (o *operator) replace(ctx context.Context, name string, next configuration) int {
	base := o.currentConfiguration().version
	return o.apply(ctx, o.recordChange(name, base, next, next.body(), false, false), next)
}

// apply sends a change and stores it as current once it is acknowledged.
func (o *operator) apply(ctx context.Context, c *tierrules.ConfigChange, next configuration) int {
	status := o.change(ctx, c)
	if status == http.StatusOK {
		o.mu.Lock()
		previous := o.current.version
		if next.version > o.current.version {
			o.current, o.newestChange = next, c
		}
		o.mu.Unlock()
		o.lab.probeVersions(ctx, next.version, previous)
	}
	return status
}

func (o *operator) currentConfiguration() configuration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.current
}

// addRoute sends a change that adds a single route.
func (o *operator) addRoute(ctx context.Context) {
	current := o.currentConfiguration()
	next := current.withRoute(current.version+2, addedRoute)
	o.apply(ctx, o.recordChange("route added", current.version, next, upsertBody(next.version, addedRoute), true, false), next)
}

// toggleAddedRoute adds the added route, or removes it if it is there. It returns the status.
func (o *operator) toggleAddedRoute(ctx context.Context) int {
	current := o.currentConfiguration()
	next := current.withRoute(current.version+2, addedRoute)
	body := upsertBody(next.version, addedRoute)
	if current.hasRoute(addedRoute.name) {
		next = current.withoutRoute(current.version+1, addedRoute.name)
		body = removeBody(next.version, addedRoute.name)
	}
	return o.apply(ctx, o.recordChange("added route toggled", current.version, next, body, true, false), next)
}

func (o *operator) setAcknowledger(p *process) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acknowledger = p
}

// lastAcknowledger returns the control plane that gave the newest acknowledgement.
func (o *operator) lastAcknowledger() *process {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.acknowledger
}

func (o *operator) moveRoute(ctx context.Context) {
	moved := orderRoute
	moved.service = otherService
	current := o.currentConfiguration()
	o.replace(ctx, "route moved", current.withRoute(current.version+3, moved))
}

// changeIdleTimeout changes the limits, which proxies apply to new connections from then on.
func (o *operator) changeIdleTimeout(ctx context.Context) {
	current := o.currentConfiguration()
	o.replace(ctx, "idle timeout changed", current.withOtherIdle(current.version+4))
}

// changeRouteTimeout changes the timeout of streams that arrive from then on.
func (o *operator) changeRouteTimeout(ctx context.Context) {
	current := o.currentConfiguration()
	changed := current.routeWithOtherTimeout()
	next := current.withRoute(current.version+2, changed)
	o.apply(ctx, o.recordChange("time-out changed", current.version, next, upsertBody(next.version, changed), true, false), next)
}

func (o *operator) removeRoute(ctx context.Context) {
	current := o.currentConfiguration()
	next := current.withoutRoute(current.version+1, addedRoute.name)
	o.apply(ctx, o.recordChange("route removed", current.version, next, removeBody(next.version, addedRoute.name), true, false), next)
}

// race sends two concurrent changes of the same base version with the same new version.
func (o *operator) race(ctx context.Context) {
	current := o.currentConfiguration()
	quick, slow := readRoute, readRoute
	quick.timeout, slow.timeout = 1800*time.Millisecond, 2200*time.Millisecond
	slow.service = otherService
	var wg sync.WaitGroup
	for name, r := range map[string]route{"first of two": quick, "second of two": slow} {
		next := current.withRoute(current.version+5, r)
		c := o.recordChange(name, current.version, next, next.body(), false, false)
		wg.Go(func() { o.apply(ctx, c, next) })
	}
	wg.Wait()
}

// invalid sends configurations that must be rejected.
func (o *operator) invalid(ctx context.Context) {
	current := o.currentConfiguration()
	unknownService := textRoute
	unknownService.service = "nobody"
	duplicate := readRoute
	duplicate.name = "r-double"
	zeroTimeout := orderRoute
	zeroTimeout.timeout = 0
	for name, r := range map[string]route{"unknown service": unknownService, "same host and prefix": duplicate, "no timeout": zeroTimeout} {
		next := current.withRoute(current.version+7, r)
		o.change(ctx, o.recordChange(name, current.version, next, next.body(), false, true))
	}
	old := current
	o.change(ctx, o.recordChange("version not above", current.version, old, append(old.body(), ' '), false, true))
}

// repeat sends the newest acknowledged change again.
func (o *operator) repeat(ctx context.Context) {
	o.mu.Lock()
	newest := o.newestChange
	o.mu.Unlock()
	if newest != nil {
		o.change(ctx, newest)
	}
}

// retire starts the retirement of a store machine and reports whether it completes before ctx ends.
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
		sleep(ctx, retirementPollInterval)
	}
	return false
}

// retirementCompleted stands for the answer that a machine may be removed.
const retirementCompleted = -1

// retirement sends one retirement request and returns its status, or 0 without an answer.
func (o *operator) retirement(ctx context.Context, method, address, order, machine string) int {
	ctx, cancel := context.WithTimeout(ctx, operatorRequestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/api/Retire."+order+"/"+machine, http.NoBody)
	if err != nil {
		return 0
	}
	resp, err := o.lab.controlClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var answer struct {
		State string `json:"state"`
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&answer)
	if err == nil && answer.State == "completed" {
		return retirementCompleted
	}
	return resp.StatusCode
}

// read reads the configuration from each node; last marks the final attempt.
func (o *operator) read(ctx context.Context, last bool) bool {
	addresses := o.lab.controlAddresses()
	reads := make([]tierrules.ConfigRead, len(addresses))
	var sent sync.WaitGroup
	for i, address := range addresses {
		sent.Go(func() { reads[i] = o.readAt(ctx, address) })
	}
	sent.Wait()
	done := slices.ContainsFunc(reads, func(r tierrules.ConfigRead) bool { return r.Status == http.StatusOK })
	reads[len(reads)-1].Last = last && !done
	o.lab.record.update(func(_ time.Duration, h *tierrules.History) { h.ConfigReads = append(h.ConfigReads, reads...) })
	return done
}

func (o *operator) readAt(ctx context.Context, address string) tierrules.ConfigRead {
	ctx, cancel := context.WithTimeout(ctx, requestTimeoutFor(len(o.currentConfiguration().body())))
	defer cancel()
	read := tierrules.ConfigRead{Sent: o.lab.record.now()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/api/Config.Read", nil)
	if err != nil {
		return read
	}
	resp, err := o.lab.controlClient.Do(req)
	if err != nil {
		return read
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	var d document
	if err != nil || json.Unmarshal(raw, &d) != nil {
		return read
	}
	read.Ended, read.Status, read.Version = o.lab.record.now(), resp.StatusCode, d.Version
	for _, r := range d.Routes {
		if strings.HasPrefix(r.Prefix, "/idle/") {
			continue
		}
		read.Routes = append(read.Routes, tierrules.Route{Authority: r.Authority, PathPrefix: r.Prefix, Services: []string{r.Service}})
	}
	return read
}
