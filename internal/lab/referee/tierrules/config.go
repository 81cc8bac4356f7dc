package tierrules

import (
	"bytes"
	"net/http"
	"slices"
	"strings"
	"time"
)

// outcome of a configuration change as known to its operator.
type outcome int

const (
	unknown      outcome = iota // it may or may not be in force
	acknowledged                // it is in force from its acknowledgement until a later change is
	refused
)

// outcome returns the outcome of a change and when it was first acknowledged.
func (c *ConfigChange) outcome() (outcome, time.Duration) {
	result := unknown
	for _, t := range c.Attempts {
		switch {
		case t.Status == http.StatusOK:
			return acknowledged, t.Ended
		case t.Status >= 400 && t.Status < 500 && !guaranteesNotRun(t.Status):
			result = refused
		}
	}
	return result, 0
}

// mayBeInForce reports whether the change may have been applied: it is valid and was not refused.
func (c *ConfigChange) mayBeInForce() bool {
	f, _ := c.outcome()
	return f != refused && !c.Invalid
}

func (c *ConfigChange) firstSent() time.Duration {
	if len(c.Attempts) == 0 {
		return 0
	}
	return c.Attempts[0].Sent
}

// routeFor returns the configuration's route for a request: that of its authority with the longest matching path
// prefix.
func (c *ConfigChange) routeFor(authority, target string) *Route {
	path, _, _ := strings.Cut(target, "?")
	var best *Route
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.Authority != authority || !strings.HasPrefix(path, route.PathPrefix) {
			continue
		}
		if best == nil || len(route.PathPrefix) > len(best.PathPrefix) {
			best = route
		}
	}
	return best
}

func (c *ConfigChange) allows(run *Run) bool {
	route := c.routeFor(run.Authority, run.Target)
	return route != nil && slices.Contains(route.Services, run.Service)
}

// newestAcknowledged returns the newest version acknowledged before an instant, 0 if there is none.
func (j *judge) newestAcknowledged(at time.Duration) uint64 {
	var newest uint64
	for _, c := range j.changes {
		if f, when := c.outcome(); f == acknowledged && when < at {
			newest = max(newest, c.Version)
		}
	}
	return newest
}

// possiblyInForce returns the changes that a machine in contact may apply to a request that was sent and ended at these
// instants. It excludes versions older than the newest one acknowledged at least the ConfigApply bound before the
// request, changes first sent after its end, and refused or invalid ones.
func (j *judge) possiblyInForce(sent, ended time.Duration) []*ConfigChange {
	oldest := j.newestAcknowledged(sent - j.Bounds.ConfigApply)
	var list []*ConfigChange
	for _, c := range j.changes {
		if c.Version >= oldest && c.firstSent() <= ended && c.mayBeInForce() {
			list = append(list, c)
		}
	}
	return list
}

// routeInAll reports whether every configuration that may be in force has a route for the request.
func (j *judge) routeInAll(r *Request) bool {
	changes := j.possiblyInForce(r.Sent, r.Ended)
	for _, c := range changes {
		if c.routeFor(r.Authority, r.Target) == nil {
			return false
		}
	}
	return len(changes) > 0
}

// judgeRoutes checks ROUTE and the part of CONFIG that requests show: which configuration a machine applied.
func (j *judge) judgeRoutes() {
	for _, run := range j.Runs {
		if r := j.requests[run.RequestID]; r != nil {
			j.countCheck(Misrouted)
			j.judgeRoute(r, run)
		}
	}
	for _, r := range j.Requests {
		j.judgeNotFound(r)
	}
	j.judgeRollbacks()
}

func (j *judge) judgeRoute(r *Request, run *Run) {
	allowedByAny := slices.ContainsFunc(j.changes, func(c *ConfigChange) bool { return c.allows(run) })
	if !allowedByAny {
		j.addBreach(Misrouted, run.Began, r, "service %s runs it, which no configuration allows", run.Service)
		return
	}
	allowedByUnrefused := slices.ContainsFunc(j.changes, func(c *ConfigChange) bool { return c.mayBeInForce() && c.allows(run) })
	if !allowedByUnrefused {
		j.addBreach(Config, run.Began, r, "service %s runs it, as only a refused configuration allows", run.Service)
		return
	}
	if !j.inContactThroughout(r.Machine, r.Sent, run.Began) {
		return
	}
	j.countCheck(Config)
	inForce := j.possiblyInForce(r.Sent, run.Began)
	if !slices.ContainsFunc(inForce, func(c *ConfigChange) bool { return c.allows(run) }) {
		j.addBreach(Config, run.Began, r, "service %s runs it, as only a version before %d allows", run.Service, j.newestAcknowledged(r.Sent-j.Bounds.ConfigApply))
	}
}

// judgeNotFound checks that the tier does not answer 404 by itself although the route exists.
func (j *judge) judgeNotFound(r *Request) {
	if r.status() != http.StatusNotFound || r.Answer.Stamp != "" || r.Previous != "" {
		return
	}
	if !j.inContactThroughout(r.Machine, r.Sent, r.Ended) || !j.routeInAll(r) {
		return
	}
	j.addBreach(Config, r.Ended, r, "404 though the route is there since version %d", j.newestAcknowledged(r.Sent-j.Bounds.ConfigApply))
}

// judgeRollbacks checks that no incarnation of a process returns to an older configuration.
func (j *judge) judgeRollbacks() {
	for _, start := range j.ProcessStarts {
		j.judgeRollback(start.Machine, start.At, j.nextStart(start))
	}
}

func (j *judge) nextStart(start ProcessStart) time.Duration {
	next := time.Duration(1<<63 - 1)
	for _, s := range j.ProcessStarts {
		if s.Machine == start.Machine && s.At > start.At {
			next = min(next, s.At)
		}
	}
	return next
}

// observedVersions is the range of configuration versions that allow the observed handling of a request.
type observedVersions struct {
	request        *Request
	at             time.Duration
	oldest, newest uint64
}

func (j *judge) judgeRollback(machine string, from, to time.Duration) {
	var observed []observedVersions
	for _, run := range j.Runs {
		r := j.requests[run.RequestID]
		if r == nil || r.Machine != machine || r.Sent < from || run.Began >= to {
			continue
		}
		e := observedVersions{request: r, at: run.Began, oldest: 1<<64 - 1}
		for _, c := range j.changes {
			if c.allows(run) {
				e.oldest, e.newest = min(e.oldest, c.Version), max(e.newest, c.Version)
			}
		}
		if e.newest > 0 {
			observed = append(observed, e)
		}
	}
	for _, earlier := range observed {
		for _, later := range observed {
			if later.newest < earlier.oldest && later.request.Sent > earlier.at+j.Bounds.RollbackSlack {
				j.addBreach(Config, later.at, later.request, "handled by version %d at most, after version %d was seen to be in force", later.newest, earlier.oldest)
				return
			}
		}
	}
}

// judgeConfiguration checks CONFIG by what the operator observed.
func (j *judge) judgeConfiguration() {
	for i, c := range j.changes {
		j.countCheck(Config)
		outcome, at := c.outcome()
		if c.Invalid && outcome == acknowledged {
			j.addBreach(Config, at, nil, "%s: an invalid configuration is acknowledged", c.Name)
		}
		for _, other := range j.changes[:i] {
			otherOutcome, _ := other.outcome()
			if outcome == acknowledged && otherOutcome == acknowledged && other.BaseVersion == c.BaseVersion && !sameChange(c, other) {
				j.addBreach(Config, at, nil, "%s and %s are both acknowledged on top of version %d", other.Name, c.Name, c.BaseVersion)
			}
		}
		j.judgeRepeats(c)
	}
	j.judgeReads()
}

func sameChange(a, b *ConfigChange) bool {
	return a.BaseVersion == b.BaseVersion && a.Modify == b.Modify && bytes.Equal(a.Body, b.Body)
}

// judgeRepeats checks that an acknowledged change that is sent again is not refused if no newer change was sent
// meanwhile.
func (j *judge) judgeRepeats(c *ConfigChange) {
	_, first := c.outcome()
	for i, t := range c.Attempts {
		if i == 0 || first == 0 || t.Sent < first || t.Status < 400 || guaranteesNotRun(t.Status) || t.Status >= 500 {
			continue
		}
		changed := slices.ContainsFunc(j.changes, func(o *ConfigChange) bool {
			f, _ := o.outcome()
			return o != c && f != refused && o.firstSent() <= t.Ended && o.Version > c.Version
		})
		if !changed {
			j.addBreach(Config, t.Ended, nil, "%s: acknowledged, sent again and refused with %d", c.Name, t.Status)
		}
	}
}

// judgeReads checks that no configuration read is older than the newest one acknowledged before the read, and that each
// one is as it was sent.
func (j *judge) judgeReads() {
	for _, read := range j.ConfigReads {
		if read.Status != http.StatusOK {
			if read.Last && j.newestAcknowledged(read.Sent) > 0 {
				j.addBreach(Config, read.Ended, nil, "at the end of the day the configuration does not come")
			}
			continue
		}
		j.countCheck(Config)
		if newest := j.newestAcknowledged(read.Sent); read.Version < newest {
			rule := Config
			if slices.ContainsFunc(j.Faults, func(t Fault) bool { return t.Kind == FinalFault && t.From < read.Sent }) {
				rule = Lost
			}
			j.addBreach(rule, read.Ended, nil, "version %d is read, %d was acknowledged before", read.Version, newest)
			continue
		}
		if !j.matchesSent(read) {
			j.addBreach(Config, read.Ended, nil, "what is read as version %d is not what was sent", read.Version)
		}
	}
}

func (j *judge) matchesSent(read ConfigRead) bool {
	return slices.ContainsFunc(j.changes, func(c *ConfigChange) bool {
		f, _ := c.outcome()
		return c.Version == read.Version && f != refused && equalRoutes(c.Routes, read.Routes)
	})
}

func equalRoutes(a, b []Route) bool {
	if len(a) != len(b) {
		return false
	}
	for _, route := range a {
		if !slices.ContainsFunc(b, func(o Route) bool {
			return o.Authority == route.Authority && o.PathPrefix == route.PathPrefix && slices.Equal(o.Services, route.Services)
		}) {
			return false
		}
	}
	return true
}
