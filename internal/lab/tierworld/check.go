package tierworld

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// ToleratedDiskLosses is how many disks the tier tolerates losing at the same time.
const ToleratedDiskLosses = 1

const (
	// diskRecoveryTime is the minimum time between two disk losses: within it a store or a control plane with an
	// empty disk has recovered all its data.
	diskRecoveryTime = 4200 * time.Millisecond
	// gracefulStopTime is how long a process usually keeps serving after SIGTERM. A proxy serves until the platform
	// has noticed.
	gracefulStopTime = 2500 * time.Millisecond
	// systemPromptTokens is the length of the prompt prefix that programs share; maxTurnInputTokens bounds the input
	// of a turn.
	systemPromptTokens = 300
	maxTurnInputTokens = 32
)

// KeyError reports a key of a world whose value is missing, not allowed or inconsistent with other keys.
type KeyError struct {
	Trouble int    // number of the [[trouble]] from 1; 0 if the key is in none
	Key     string // including its tables, separated by dots
	Reason  string
}

// Error returns the number of the trouble, the key and the reason.
func (e *KeyError) Error() string {
	if e.Trouble > 0 {
		return fmt.Sprintf("trouble %d: %s: %s", e.Trouble, e.Key, e.Reason)
	}
	return e.Key + ": " + e.Reason
}

// Check validates the values that depend on each other. Any error is a *KeyError.
func (w *World) Check() error {
	for _, check := range []func() *KeyError{w.checkRanges, w.checkModelMemory, w.checkTroubles, w.checkCombinations} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkRanges validates the lists that hold a minimum and a maximum.
func (w *World) checkRanges() *KeyError {
	for _, p := range []struct {
		key    string
		values []float64
	}{
		{"receivers.alfa.work_ms", w.Receivers.Alfa.WorkMs},
		{"receivers.beta.work_ms", w.Receivers.Beta.WorkMs},
		{"traffic.prompt_tokens", toFloats(w.Traffic.PromptTokens)},
		{"traffic.out_tokens", toFloats(w.Traffic.OutTokens)},
		{"programs.out_tokens", toFloats(w.Programs.OutTokens)},
		{"programs.budget", toFloats(w.Programs.Budget)},
	} {
		if len(p.values) != 2 || p.values[0] > p.values[1] {
			return &KeyError{Key: p.key, Reason: fmt.Sprintf("%v; allowed: two numbers, the least and the most", p.values)}
		}
	}
	return nil
}

func toFloats(list []int) []float64 {
	out := make([]float64, 0, len(list))
	for _, n := range list {
		out = append(out, float64(n))
	}
	return out
}

// checkModelMemory rejects worlds with requests that no receiver has the memory to run: their clients would be
// refused forever.
func (w *World) checkModelMemory() *KeyError {
	text := w.Traffic.PromptTokens[1] + w.Traffic.OutTokens[1]
	turns := w.Programs.Turns + w.Programs.SubTurns
	program := systemPromptTokens + turns*(maxTurnInputTokens+w.Programs.OutTokens[1])
	if largest := max(text, program); largest > w.Receivers.Model.MemoryTokens {
		return &KeyError{Key: "receivers.model.memory_tokens",
			Reason: fmt.Sprintf("%d, but a request may need %d", w.Receivers.Model.MemoryTokens, largest)}
	}
	return nil
}

// checkTroubles validates each trouble on its own.
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
	k, known := kindSpecOf(t.Kind)
	if !known {
		return unknownValueError("what", string(t.Kind), kindNames())
	}
	if err := w.checkTimes(k, t); err != nil {
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
	if !k.takesSuccessor {
		return unsupportedKeyError("next", k)
	}
	if !slices.Contains(services, t.Next) {
		return unknownValueError("next", t.Next, services)
	}
	return nil
}

func (w *World) checkTimes(k kindSpec, t Trouble) *KeyError {
	switch {
	case !k.hasDuration && t.ForS != 0:
		return unsupportedKeyError("for_s", k)
	case k.hasDuration && t.ForS <= 0:
		return &KeyError{Key: "for_s", Reason: fmt.Sprintf("missing; %s needs a time above 0", k.kind)}
	case t.AtS >= w.Seconds:
		return &KeyError{Key: "at_s", Reason: fmt.Sprintf("%g; the traffic ends at %g", t.AtS, w.Seconds)}
	case t.AtS+t.ForS > w.Seconds:
		why := fmt.Sprintf("%g; it goes on beyond the traffic, which ends at %g", t.ForS, w.Seconds)
		return &KeyError{Key: "for_s", Reason: why}
	}
	return nil
}

func (w *World) checkTarget(k kindSpec, t Trouble) *KeyError {
	switch {
	case t.Target == "" && len(k.targets) > 0 && !k.defaultsToAll && !k.optionalTarget:
		return &KeyError{Key: "on", Reason: "missing; allowed: " + strings.Join(k.targets, ", ")}
	case t.Target != "" && len(k.targets) == 0:
		return unsupportedKeyError("on", k)
	case t.Target != "" && !slices.Contains(k.targets, t.Target):
		return unknownValueError("on", t.Target, k.targets)
	case t.Index != 0 && (len(k.targets) == 0 || k.defaultsToAll):
		return unsupportedKeyError("no", k)
	}
	if k.defaultsToAll || t.Target == "" {
		return nil
	}
	if count := w.targetCount(t.Target); t.Index >= count {
		return &KeyError{Key: "no", Reason: fmt.Sprintf("%d; of %s there are %d, numbered from 0", t.Index, t.Target, count)}
	}
	return nil
}

// targetCount returns the number of processes of a role or receivers of a service.
func (w *World) targetCount(target string) int {
	switch target {
	case ControlPlane:
		return w.Tier.ControlPlanes
	case Store:
		return w.Tier.Stores
	case Proxy:
		return w.Tier.Proxies
	}
	return w.Receivers.receiverCount(target)
}

func checkStrength(k kindSpec, t Trouble) *KeyError {
	switch {
	case k.strength != byShare && t.Share != 0:
		return unsupportedKeyError("share", k)
	case k.strength != byFactor && t.Factor != 0:
		return unsupportedKeyError("factor", k)
	case k.strength == byShare && t.Share <= 0:
		return &KeyError{Key: "share", Reason: fmt.Sprintf("missing; %s needs one above 0", k.kind)}
	case k.strength == byFactor && t.Factor <= 1:
		return &KeyError{Key: "factor", Reason: fmt.Sprintf("%g; %s needs one above 1", t.Factor, k.kind)}
	}
	return nil
}

func unsupportedKeyError(key string, k kindSpec) *KeyError {
	why := fmt.Sprintf("has no meaning for %s, which takes: %s", k.kind, strings.Join(k.acceptedKeys(), ", "))
	return &KeyError{Key: key, Reason: why}
}

func unknownValueError(key, value string, allowed []string) *KeyError {
	why := fmt.Sprintf("%q is not known; allowed: %s", value, strings.Join(allowed, ", "))
	return &KeyError{Key: key, Reason: why}
}

// outage is a period in which a process does not serve.
type outage struct {
	trouble  int // from 1
	kind     TroubleKind
	target   string // role or service; empty: all processes
	index    int
	from, to time.Duration
}

// outages returns the outages caused by the troubles, in the order of the file.
func (w *World) outages() []outage {
	var list []outage
	for i, t := range w.Trouble {
		if !t.Kind.causesOutage() && t.Kind != Retire {
			continue
		}
		o := outage{trouble: i + 1, kind: t.Kind, target: t.Target, index: t.Index,
			from: secondsToDuration(t.AtS), to: secondsToDuration(t.AtS + t.ForS)}
		switch t.Kind {
		case Restart, RestartMachine:
			o.to += gracefulStopTime
		case Retire:
			o.to = w.TrafficDuration() + gracefulStopTime // never serves again
		}
		list = append(list, o)
	}
	return list
}

func (o outage) overlaps(p outage) bool { return o.from <= p.to && p.from <= o.to }

func (o outage) sameProcess(p outage) bool { return o.target == p.target && o.index == p.index }

// checkCombinations rejects troubles that contradict each other or together exceed what the tier is designed to
// tolerate.
func (w *World) checkCombinations() *KeyError {
	list := w.outages()
	for i, late := range list {
		for _, early := range list[:i] {
			if err := checkOutagePair(early, late); err != nil {
				return err
			}
		}
	}
	return w.checkRetiredStores(list)
}

// checkOutagePair validates two outages, which may be in either order of time. The error names the later one in the
// file, b.
func checkOutagePair(a, b outage) *KeyError {
	first, last := a, b
	if b.from < a.from {
		first, last = b, a
	}
	switch {
	case first.kind == KillAll, last.kind == KillAll && first.to >= last.from && first.kind != Retire:
		return &KeyError{Trouble: b.trouble, Key: "at_s",
			Reason: "kill_all is the day's final fault: other troubles of processes are over before it"}
	case a.sameProcess(b) && a.overlaps(b):
		return &KeyError{Trouble: b.trouble, Key: "at_s",
			Reason: fmt.Sprintf("%s %d does not serve yet, or not any more, by trouble %d", b.target, b.index, a.trouble)}
	case a.kind == Wipe && b.kind == Wipe && !a.sameProcess(b) && last.from < first.to+diskRecoveryTime:
		return &KeyError{Trouble: b.trouble, Key: "at_s",
			Reason: fmt.Sprintf("a second disk is lost within %s of trouble %d; the tier bears %d",
				diskRecoveryTime, a.trouble, ToleratedDiskLosses)}
	}
	return nil
}

// checkRetiredStores rejects worlds that retire so many stores that the tier can no longer replicate a turn.
func (w *World) checkRetiredStores(list []outage) *KeyError {
	left := w.Tier.Stores
	for _, o := range list {
		if o.kind != Retire {
			continue
		}
		left--
		if left < ToleratedDiskLosses+1 {
			why := fmt.Sprintf("too few stores would be left: %d, turns need %d", left, ToleratedDiskLosses+1)
			return &KeyError{Trouble: o.trouble, Key: "what", Reason: why}
		}
	}
	return nil
}
