package tierrules

import (
	"bytes"
	"net/http"
	"slices"
	"strings"
	"time"
)

// fate of a change as its operator knows it.
type fate int

const (
	open  fate = iota // it may be in force or not
	acked             // it is in force from its acknowledgement on, until a later one is
	refused
)

// fate tells what became of a change, and when it was first acknowledged.
func (c *ConfigChange) fate() (fate, time.Duration) {
	result := open
	for _, t := range c.Attempts {
		switch {
		case t.Status == http.StatusOK:
			return acked, t.Ended
		case t.Status >= 400 && t.Status < 500 && !promises(t.Status):
			result = refused
		}
	}
	return result, 0
}

// mayBeInForce says whether the change may have been taken: it is valid and was not refused.
func (c *ConfigChange) mayBeInForce() bool {
	f, _ := c.fate()
	return f != refused && !c.Invalid
}

func (c *ConfigChange) firstSent() time.Duration {
	if len(c.Attempts) == 0 {
		return 0
	}
	return c.Attempts[0].Sent
}

// match is the route of a request by a configuration: that of its host with the longest prefix.
func (c *ConfigChange) match(authority, target string) *Route {
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
	route := c.match(run.Authority, run.Target)
	return route != nil && slices.Contains(route.Services, run.Service)
}

// floor is the newest version that was acknowledged before an instant.
func (j *judge) floor(at time.Duration) uint64 {
	var newest uint64
	for _, c := range j.versions {
		if f, when := c.fate(); f == acked && when < at {
			newest = max(newest, c.Version)
		}
	}
	return newest
}

// candidates are the changes that may be in force at a request that was sent and ended at these instants, at a machine in
// touch: none older than what had been acknowledged by the bound, none that had not been sent by the end, none refused.
func (j *judge) candidates(sent, ended time.Duration) []*ConfigChange {
	oldest := j.floor(sent - j.Bounds.ConfigApply)
	var list []*ConfigChange
	for _, c := range j.versions {
		if c.Version >= oldest && c.firstSent() <= ended && c.mayBeInForce() {
			list = append(list, c)
		}
	}
	return list
}

// allowedByAll says whether every configuration that may be in force knows the request's route.
func (j *judge) allowedByAll(r *Request) bool {
	candidates := j.candidates(r.Sent, r.Ended)
	for _, c := range candidates {
		if c.match(r.Authority, r.Target) == nil {
			return false
		}
	}
	return len(candidates) > 0
}

// routes judges ROUTE, and of CONFIG what requests show: which configuration a machine worked by.
func (j *judge) routes() {
	for _, run := range j.Runs {
		if r := j.requests[run.RequestID]; r != nil {
			j.checked(Misrouted)
			j.routed(r, run)
		}
	}
	for _, r := range j.Requests {
		j.missing(r)
	}
	j.regressions()
}

func (j *judge) routed(r *Request, run *Run) {
	ever := slices.ContainsFunc(j.versions, func(c *ConfigChange) bool { return c.allows(run) })
	if !ever {
		j.breach(Misrouted, run.Began, r, "service %s runs it, which no configuration allows", run.Service)
		return
	}
	taken := slices.ContainsFunc(j.versions, func(c *ConfigChange) bool { return c.mayBeInForce() && c.allows(run) })
	if !taken {
		j.breach(Config, run.Began, r, "service %s runs it, as only a refused configuration allows", run.Service)
		return
	}
	if !j.touchThrough(r.Machine, r.Sent, run.Began) {
		return
	}
	j.checked(Config)
	now := j.candidates(r.Sent, run.Began)
	if !slices.ContainsFunc(now, func(c *ConfigChange) bool { return c.allows(run) }) {
		j.breach(Config, run.Began, r, "service %s runs it, as only a version before %d allows", run.Service, j.floor(r.Sent-j.Bounds.ConfigApply))
	}
}

// missing judges a 404 of the tier's own though the route is there.
func (j *judge) missing(r *Request) {
	if r.status() != http.StatusNotFound || r.Answer.Stamp != "" || r.Previous != "" {
		return
	}
	if !j.touchThrough(r.Machine, r.Sent, r.Ended) || !j.allowedByAll(r) {
		return
	}
	j.breach(Config, r.Ended, r, "404 though the route is there since version %d", j.floor(r.Sent-j.Bounds.ConfigApply))
}

// regressions judges that no incarnation goes back.
func (j *judge) regressions() {
	for _, start := range j.ProcessStarts {
		j.regression(start.Machine, start.At, j.nextStart(start))
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

// effect is what a request showed of the configuration in force: the versions that allow its handling.
type effect struct {
	request        *Request
	at             time.Duration
	oldest, newest uint64
}

func (j *judge) regression(machine string, from, to time.Duration) {
	var effects []effect
	for _, run := range j.Runs {
		r := j.requests[run.RequestID]
		if r == nil || r.Machine != machine || r.Sent < from || run.Began >= to {
			continue
		}
		e := effect{request: r, at: run.Began, oldest: 1<<64 - 1}
		for _, c := range j.versions {
			if c.allows(run) {
				e.oldest, e.newest = min(e.oldest, c.Version), max(e.newest, c.Version)
			}
		}
		if e.newest > 0 {
			effects = append(effects, e)
		}
	}
	for _, before := range effects {
		for _, later := range effects {
			if later.newest < before.oldest && later.request.Sent > before.at+j.Bounds.RollbackSlack {
				j.breach(Config, later.at, later.request, "handled by version %d at most, after version %d was seen to be in force", later.newest, before.oldest)
				return
			}
		}
	}
}

// configuration judges what the operator saw.
func (j *judge) configuration() {
	for i, c := range j.versions {
		j.checked(Config)
		f, at := c.fate()
		if c.Invalid && f == acked {
			j.breach(Config, at, nil, "%s: an invalid configuration is acknowledged", c.Name)
		}
		for _, other := range j.versions[:i] {
			g, _ := other.fate()
			if f == acked && g == acked && other.BaseVersion == c.BaseVersion && !same(c, other) {
				j.breach(Config, at, nil, "%s and %s are both acknowledged on top of version %d", other.Name, c.Name, c.BaseVersion)
			}
		}
		j.repeated(c)
	}
	j.readBack()
}

func same(a, b *ConfigChange) bool {
	return a.BaseVersion == b.BaseVersion && a.Modify == b.Modify && bytes.Equal(a.Body, b.Body)
}

// repeated judges that an acknowledged change which goes out again, and nothing else since, is not refused.
func (j *judge) repeated(c *ConfigChange) {
	_, first := c.fate()
	for i, t := range c.Attempts {
		if i == 0 || first == 0 || t.Sent < first || t.Status < 400 || promises(t.Status) || t.Status >= 500 {
			continue
		}
		changed := slices.ContainsFunc(j.versions, func(o *ConfigChange) bool {
			f, _ := o.fate()
			return o != c && f != refused && o.firstSent() <= t.Ended && o.Version > c.Version
		})
		if !changed {
			j.breach(Config, t.Ended, nil, "%s: acknowledged, sent again and refused with %d", c.Name, t.Status)
		}
	}
}

// readBack judges the configuration as read: none is older than what had been acknowledged when it was asked for.
func (j *judge) readBack() {
	for _, read := range j.ConfigReads {
		if read.Status != http.StatusOK {
			if read.Last && j.floor(read.Sent) > 0 {
				j.breach(Config, read.Ended, nil, "at the end of the day the configuration does not come")
			}
			continue
		}
		j.checked(Config)
		if floor := j.floor(read.Sent); read.Version < floor {
			rule := Config
			if slices.ContainsFunc(j.Faults, func(t Fault) bool { return t.Kind == FinalFault && t.From < read.Sent }) {
				rule = Lost
			}
			j.breach(rule, read.Ended, nil, "version %d is read, %d was acknowledged before", read.Version, floor)
			continue
		}
		if !j.sentAs(read) {
			j.breach(Config, read.Ended, nil, "what is read as version %d is not what was sent", read.Version)
		}
	}
}

func (j *judge) sentAs(read ConfigRead) bool {
	return slices.ContainsFunc(j.versions, func(c *ConfigChange) bool {
		f, _ := c.fate()
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
