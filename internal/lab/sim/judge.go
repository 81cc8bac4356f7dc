package sim

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"emberquay/coordination/chain"
	"emberquay/coordination/view"
	"emberquay/internal/tier/cluster/records"
	"emberquay/internal/tier/controlstate"
)

// The rules that invariants stand for.
const (
	ConfigRule   = "CONFIG"
	LostRule     = "LOST"
	DrainRule    = "DRAIN"
	BudgetRule   = "BUDGET"
	ProgressRule = "PROGRESS" // the cluster goes on once it is calm: RECOVER and the bounds of the others rest on it
	internalRule = "INTERNAL" // the state machines contradict themselves
)

// Bounds of the rules, as sites have them.
const (
	contactBound = 3 * time.Second
	applyBound   = 2 * time.Second
	drainBound   = 2 * time.Second
)

// Breach is one broken invariant.
type Breach struct {
	Seed uint64
	Rule string
	At   time.Duration
	Why  string
}

func (b *Breach) String() string {
	return fmt.Sprintf("seed %d: %s at %.4fs: %s", b.Seed, b.Rule, b.At.Seconds(), b.Why)
}

// judge holds what is seen against the rules, at each step at which something is seen.
type judge struct {
	world  *world
	first  *Breach
	digest uint64

	states  map[int64][]byte  // committed snapshot by sequence
	forced  map[uint64]string // body in force by version
	acked   uint64            // newest version acknowledged
	ackedBy map[uint64]*order // by base
	onAck   []func()          // at the next acknowledgement
	onGrant []func()          // at the next reservation that is granted

	onRemoval []func() // at the next store that is taken away
}

func newJudge(w *world) *judge {
	return &judge{world: w, states: map[int64][]byte{}, forced: map[uint64]string{}, ackedBy: map[uint64]*order{}}
}

// breach notes the first broken invariant; the run ends at it.
func (j *judge) breach(rule, format string, args ...any) {
	if j.first != nil {
		return
	}
	j.first = &Breach{Seed: j.world.options.Seed, Rule: rule, At: j.world.now, Why: fmt.Sprintf(format, args...)}
	j.world.trace("BREACH %s", j.first)
}

// note mixes what was seen into the digest of the run.
func (j *judge) note(format string, args ...any) {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d ", j.digest, j.world.now)
	fmt.Fprintf(h, format, args...)
	j.digest = h.Sum64()
}

// committed holds a committed state against those that others told: one history for all, and none goes back.
func (j *judge) committed(r *replica, c chain.CommittedState, state *controlstate.State) {
	name := r.life.host.name
	j.note("%s commits %d of %d", name, c.Sequence, c.Epoch)
	if c.Sequence < r.newest {
		j.breach(ConfigRule, "%s goes back from entry %d to %d", name, r.newest, c.Sequence)
	}
	r.newest = c.Sequence
	if known, ok := j.states[c.Sequence]; ok && !slices.Equal(known, c.Snapshot) {
		j.breach(ConfigRule, "%s has committed another state as entry %d than others", name, c.Sequence)
	}
	j.states[c.Sequence] = c.Snapshot
	version, body := state.Configuration()
	j.force(name, version, string(body))
	for _, h := range j.world.of(storeRole) {
		if state.Retirement(h.name) == controlstate.RetirementCompleted {
			j.world.after(j.world.between(0, time.Second), func() { j.world.removeStore(h) })
		}
	}
}

// force notes that a version is in force somewhere, and with which body.
func (j *judge) force(where string, version uint64, body string) {
	if version == 0 {
		return
	}
	if known, ok := j.forced[version]; ok && known != body {
		j.breach(ConfigRule, "%s has another configuration as version %d than others", where, version)
		return
	}
	j.forced[version] = body
	for _, c := range j.world.operators.orders {
		if string(c.body) != body {
			continue
		}
		switch {
		case c.invalid:
			j.breach(ConfigRule, "%s: invalid order %d is in force as version %d", where, c.no, version)
		case c.status != 0 && c.status != controlstate.StatusOK:
			j.breach(ConfigRule, "%s: order %d, refused with %d, is in force as version %d", where, c.no, c.status, version)
		}
		return
	}
	j.breach(ConfigRule, "%s: version %d is in force, which nobody sent", where, version)
}

// ordered takes the clear answer to a change.
func (j *judge) ordered(c *order) {
	w := j.world
	j.note("order %d: %d", c.no, c.status)
	w.trace("order %d on %d as %d: %d after %d tries", c.no, c.base, c.version, c.status, c.tries)
	if c.status != controlstate.StatusOK {
		w.counts.Refused++
		for version, body := range j.forced {
			if body == string(c.body) {
				j.breach(ConfigRule, "order %d is refused with %d, and in force as version %d", c.no, c.status, version)
			}
		}
		return
	}
	w.counts.Acked++
	if c.invalid {
		j.breach(ConfigRule, "invalid order %d is acknowledged", c.no)
	}
	if other := j.ackedBy[c.base]; other != nil && other != c {
		j.breach(ConfigRule, "orders %d and %d are both acknowledged on version %d", other.no, c.no, c.base)
	}
	j.ackedBy[c.base] = c
	if body, ok := j.forced[c.version]; ok && body != string(c.body) {
		j.breach(ConfigRule, "order %d is acknowledged as version %d, where another one is in force", c.no, c.version)
	}
	j.acked = max(j.acked, c.version)
	j.applied(c)
	hooks := j.onAck
	j.onAck = nil
	for _, do := range hooks {
		do()
	}
}

// applied looks, after the bound, whether the proxies in touch work by the change.
func (j *judge) applied(c *order) {
	w := j.world
	sent := w.now
	w.after(applyBound, func() {
		if !w.calmSince(sent - contactBound) {
			return
		}
		for _, h := range w.up(proxyRole) {
			if h.life.isReady && h.life.edge.version < c.version {
				j.breach(ConfigRule, "%s works by version %d, %d was acknowledged %s before", h.name, h.life.edge.version, c.version, applyBound)
			}
		}
	})
}

// repeated takes the answer to an acknowledged change that was sent again.
func (j *judge) repeated(c *order, sent time.Duration, status int) {
	j.note("order %d again: %d", c.no, status)
	if status == controlstate.StatusOK || status >= 500 {
		return
	}
	// With nothing newer it must not be refused; the state knows thousands of changes, so here no change may be.
	j.breach(ConfigRule, "order %d, acknowledged at %.3fs, is refused with %d when it is sent again at %.3fs", c.no, c.ended.Seconds(), status, sent.Seconds())
}

// read takes the configuration as an operator read it.
func (j *judge) read(c *readCall) {
	j.world.counts.Reads++
	j.note("read %d", c.version)
	if c.version < c.floor {
		rule := ConfigRule
		j.breach(rule, "version %d is read, %d was acknowledged before the call", c.version, c.floor)
		return
	}
	j.force("a read", c.version, c.body)
}

// inForce takes a configuration that a proxy works by from now on.
func (j *judge) inForce(e *edge, before uint64) {
	name := e.life.host.name
	j.note("%s works by %d", name, e.version)
	if e.version < before {
		j.breach(ConfigRule, "%s goes back from version %d to %d", name, before, e.version)
	}
	j.force(name, e.version, e.body)
}

// drainAcked looks, after the bound, whether the proxies in touch know.
func (j *judge) drainAcked(r *receiver) {
	w := j.world
	w.counts.Drains++
	j.note("%s drains", r.id)
	acked := w.now
	j.known(r)
	w.trace("draining of %s is acknowledged by %s", r.id, r.ackedBy)
	w.after(drainBound, func() {
		if !w.calmSince(acked - contactBound) {
			return
		}
		for _, h := range w.up(proxyRole) {
			if state, known := h.life.edge.receivers[r.id]; h.life.isReady && known && state == records.ReceiverReady {
				j.breach(DrainRule, "%s takes %s for ready, %s after its draining was acknowledged", h.name, r.id, drainBound)
			}
		}
	})
}

// knownWithin is how long before an acknowledgement the others confirmed at most: who has started since may know nothing.
const knownWithin = 2 * time.Second

// known checks that a majority of the voting control nodes know that a receiver ends when that is acknowledged. Those that
// do not run, or have just started, may have known.
func (j *judge) known(r *receiver) {
	w := j.world
	var newest view.View
	for _, h := range w.up(controlRole) {
		if node := h.life.replica.node; node != nil && node.View().Epoch > newest.Epoch {
			newest = node.View()
		}
	}
	if newest.Epoch == 0 {
		return // none runs by now
	}
	ignorant := 0
	for _, m := range newest.Members {
		h := w.at(m.Address)
		if h == nil || h.life == nil || w.now-h.life.started < knownWithin || h.life.watch == nil {
			continue
		}
		if record := h.life.watch.known(r.id); record == nil || record.State == records.ReceiverReady {
			ignorant++
		}
	}
	if len(newest.Members)-ignorant < newest.Majority() {
		j.breach(DrainRule, "draining of %s is acknowledged by %s, and %d of %d voting control nodes do not know of it",
			r.id, r.ackedBy, ignorant, len(newest.Members))
	}
}

// granted tells of a reservation.
func (j *judge) granted() {
	hooks := j.onGrant
	j.onGrant = nil
	for _, do := range hooks {
		do()
	}
}

// received holds what a program's clients have against its budget.
func (j *judge) received(p *program) {
	if p.received > p.budget+p.most {
		j.breach(BudgetRule, "program %s has received %d tokens of a budget of %d with %d for one turn", p.name, p.received, p.budget, p.most)
	}
}
