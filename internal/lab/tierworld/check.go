package tierworld

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Tolerance is how many machines' disks the tier bears the loss of at once.
const Tolerance = 1

const (
	// catchUp is for how long after a disk was lost no other may be lost: the bound within which a store or a
	// control plane with a fresh disk is complete again.
	catchUp = 4200 * time.Millisecond
	// stopTakes is how long a process that is told to stop usually serves on: a proxy, until the platform has
	// noticed.
	stopTakes = 2500 * time.Millisecond
	// systemPrompt is the length of the prompt part that programs share, and turnInput a bound for a turn's
	// input, in tokens.
	systemPrompt = 300
	turnInput    = 32
)

// KeyError is a key of a world whose value does not fit the rest.
type KeyError struct {
	Trouble int    // which [[trouble]], from 1; 0: none
	Key     string // with its tables
	Why     string
}

// Error names the key.
func (e *KeyError) Error() string {
	if e.Trouble > 0 {
		return fmt.Sprintf("trouble %d: %s: %s", e.Trouble, e.Key, e.Why)
	}
	return e.Key + ": " + e.Why
}

// Check looks at what belongs together. The error, if any, is a *KeyError.
func (w *World) Check() error {
	for _, check := range []func() *KeyError{w.checkPairs, w.checkMemory, w.checkTroubles, w.checkTogether} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkPairs looks at lists that are a least and a most.
func (w *World) checkPairs() *KeyError {
	for _, p := range []struct {
		key    string
		values []float64
	}{
		{"receivers.alfa.work_ms", w.Receivers.Alfa.WorkMs},
		{"receivers.beta.work_ms", w.Receivers.Beta.WorkMs},
		{"traffic.prompt_tokens", floats(w.Traffic.PromptTokens)},
		{"traffic.out_tokens", floats(w.Traffic.OutTokens)},
		{"programs.out_tokens", floats(w.Programs.OutTokens)},
		{"programs.budget", floats(w.Programs.Budget)},
	} {
		if len(p.values) != 2 || p.values[0] > p.values[1] {
			return &KeyError{Key: p.key, Why: fmt.Sprintf("%v; allowed: two numbers, the least and the most", p.values)}
		}
	}
	return nil
}

func floats(list []int) []float64 {
	out := make([]float64, 0, len(list))
	for _, n := range list {
		out = append(out, float64(n))
	}
	return out
}

// checkMemory guards against requests that no receiver could ever run, whose clients would be refused for
// good.
func (w *World) checkMemory() *KeyError {
	text := w.Traffic.PromptTokens[1] + w.Traffic.OutTokens[1]
	turns := w.Programs.Turns + w.Programs.SubTurns
	program := systemPrompt + turns*(turnInput+w.Programs.OutTokens[1])
	if largest := max(text, program); largest > w.Receivers.Model.MemoryTokens {
		return &KeyError{Key: "receivers.model.memory_tokens",
			Why: fmt.Sprintf("%d, but a request may need %d", w.Receivers.Model.MemoryTokens, largest)}
	}
	return nil
}

// checkTroubles looks at each trouble by itself.
func (w *World) checkTroubles() *KeyError {
	for i, t := range w.Trouble {
		if err := w.checkTrouble(t); err != nil {
			err.Trouble = i + 1
			return err
		}
	}
	return nil
}

func (w *World) checkTrouble(t Trouble) *KeyError {
	k, known := kindOf(t.What)
	if !known {
		return unknown("what", string(t.What), sorts())
	}
	if err := w.checkTime(k, t); err != nil {
		return err
	}
	if err := w.checkTarget(k, t); err != nil {
		return err
	}
	if err := checkStrength(k, t); err != nil {
		return err
	}
	if t.Next == "" {
		return nil
	}
	if !k.next {
		return meaningless("next", k)
	}
	if !slices.Contains(services, t.Next) {
		return unknown("next", t.Next, services)
	}
	return nil
}

func (w *World) checkTime(k kind, t Trouble) *KeyError {
	switch {
	case !k.lasts && t.ForS != 0:
		return meaningless("for_s", k)
	case k.lasts && t.ForS <= 0:
		return &KeyError{Key: "for_s", Why: fmt.Sprintf("missing; %s needs a time above 0", k.what)}
	case t.AtS >= w.Seconds:
		return &KeyError{Key: "at_s", Why: fmt.Sprintf("%g; the traffic ends at %g", t.AtS, w.Seconds)}
	case t.AtS+t.ForS > w.Seconds:
		why := fmt.Sprintf("%g; it goes on beyond the traffic, which ends at %g", t.ForS, w.Seconds)
		return &KeyError{Key: "for_s", Why: why}
	}
	return nil
}

func (w *World) checkTarget(k kind, t Trouble) *KeyError {
	switch {
	case t.On == "" && len(k.on) > 0 && !k.all:
		return &KeyError{Key: "on", Why: "missing; allowed: " + strings.Join(k.on, ", ")}
	case t.On != "" && len(k.on) == 0:
		return meaningless("on", k)
	case t.On != "" && !slices.Contains(k.on, t.On):
		return unknown("on", t.On, k.on)
	case t.No != 0 && (len(k.on) == 0 || k.all):
		return meaningless("no", k)
	}
	if k.all || t.On == "" {
		return nil
	}
	if count := w.count(t.On); t.No >= count {
		return &KeyError{Key: "no", Why: fmt.Sprintf("%d; of %s there are %d, numbered from 0", t.No, t.On, count)}
	}
	return nil
}

// count is how many processes of a role or receivers of a service there are.
func (w *World) count(on string) int {
	switch on {
	case ControlPlane:
		return w.Tier.ControlPlanes
	case Store:
		return w.Tier.Stores
	case Proxy:
		return w.Tier.Proxies
	}
	return w.Receivers.count(on)
}

func checkStrength(k kind, t Trouble) *KeyError {
	switch {
	case k.strength != byShare && t.Share != 0:
		return meaningless("share", k)
	case k.strength != byFactor && t.Factor != 0:
		return meaningless("factor", k)
	case k.strength == byShare && t.Share <= 0:
		return &KeyError{Key: "share", Why: fmt.Sprintf("missing; %s needs one above 0", k.what)}
	case k.strength == byFactor && t.Factor <= 1:
		return &KeyError{Key: "factor", Why: fmt.Sprintf("%g; %s needs one above 1", t.Factor, k.what)}
	}
	return nil
}

func meaningless(key string, k kind) *KeyError {
	why := fmt.Sprintf("has no meaning for %s, which takes: %s", k.what, strings.Join(k.takes(), ", "))
	return &KeyError{Key: key, Why: why}
}

func unknown(key, value string, allowed []string) *KeyError {
	why := fmt.Sprintf("%q is not known; allowed: %s", value, strings.Join(allowed, ", "))
	return &KeyError{Key: key, Why: why}
}

// outage is the time in which a process does not serve.
type outage struct {
	trouble  int // from 1
	what     What
	on       string // empty: all processes
	no       int
	from, to time.Duration
}

// outages are those of all troubles, in the order of the file.
func (w *World) outages() []outage {
	var list []outage
	for i, t := range w.Trouble {
		if !t.What.down() && t.What != Retire {
			continue
		}
		o := outage{trouble: i + 1, what: t.What, on: t.On, no: t.No, from: span(t.AtS), to: span(t.AtS + t.ForS)}
		switch t.What {
		case Restart, RestartMachine:
			o.to += stopTakes
		case Retire:
			o.to = w.Length() + stopTakes // for good
		}
		list = append(list, o)
	}
	return list
}

func (o outage) overlaps(p outage) bool { return o.from <= p.to && p.from <= o.to }

func (o outage) same(p outage) bool { return o.on == p.on && o.no == p.no }

// checkTogether looks at troubles that would undo each other's meaning or go beyond what the tier is built to
// bear.
func (w *World) checkTogether() *KeyError {
	list := w.outages()
	for i, late := range list {
		for _, early := range list[:i] {
			if err := together(early, late); err != nil {
				return err
			}
		}
	}
	return w.checkRetired(list)
}

// together compares two outages, in either order of time; the error is about the later one in the file.
func together(a, b outage) *KeyError {
	first, last := a, b
	if b.from < a.from {
		first, last = b, a
	}
	switch {
	case first.what == KillAll, last.what == KillAll && first.to >= last.from && first.what != Retire:
		return &KeyError{Trouble: b.trouble, Key: "at_s",
			Why: "kill_all is the day's final fault: other troubles of processes are over before it"}
	case a.same(b) && a.overlaps(b):
		return &KeyError{Trouble: b.trouble, Key: "at_s",
			Why: fmt.Sprintf("%s %d does not serve yet, or not any more, by trouble %d", b.on, b.no, a.trouble)}
	case a.what == Wipe && b.what == Wipe && !a.same(b) && last.from < first.to+catchUp:
		return &KeyError{Trouble: b.trouble, Key: "at_s",
			Why: fmt.Sprintf("a second disk is lost within %s of trouble %d; the tier bears %d",
				catchUp, a.trouble, Tolerance)}
	}
	return nil
}

// checkRetired guards against a tier with too few stores to keep a turn.
func (w *World) checkRetired(list []outage) *KeyError {
	left := w.Tier.Stores
	for _, o := range list {
		if o.what != Retire {
			continue
		}
		left--
		if left < Tolerance+1 {
			why := fmt.Sprintf("too few stores would be left: %d, turns need %d", left, Tolerance+1)
			return &KeyError{Trouble: o.trouble, Key: "what", Why: why}
		}
	}
	return nil
}
