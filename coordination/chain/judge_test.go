package chain_test

import (
	"encoding/binary"
	"fmt"
	"time"

	"emberquay/coordination/chain"
)

// clientCall is one call of a client.
type clientCall struct {
	read        bool
	base, value uint64
	minVersions int // versions acknowledged or read when the call began
	startedAt   time.Duration
}

// checker holds what clients were told against one history, at each answer and each committed state.
type checker struct {
	history       []uint64           // the longest committed state seen: all others are a beginning of it
	refused       map[[2]uint64]bool // base and value of those that were refused
	acked         map[uint64]uint64  // base -> value
	knownVersions int                // the longest history that a client was told
	answers       int
	refusals      int
	lastValue     uint64
}

func fail(w *simulation, format string, arguments ...any) {
	panic(fmt.Sprintf("%v: ", w.now) + fmt.Sprintf(format, arguments...))
}

// checkHistory holds a state against the history.
func (j *checker) checkHistory(w *simulation, where string, values []uint64) {
	for at, v := range values {
		switch {
		case at < len(j.history):
			if j.history[at] != v {
				fail(w, "%s has %d as version %d, elsewhere it is %d", where, v, at+1, j.history[at])
			}
		case j.refused[[2]uint64{uint64(at), v}]:
			fail(w, "%s has the refused value %d as version %d", where, v, at+1)
		default:
			j.history = append(j.history, v)
			if acked, ok := j.acked[uint64(at)]; ok && acked != v {
				fail(w, "%s has %d as version %d, %d was acknowledged", where, v, at+1, acked)
			}
		}
	}
}

func (j *checker) checkCommitted(w *simulation, h *host, c chain.CommittedState) {
	values, err := parseSnapshot(c.Snapshot)
	if err != nil {
		fail(w, "%s: %v", h.address, err)
	}
	if int64(len(values)) != c.Sequence {
		fail(w, "%s tells sequence %d of a state of %d", h.address, c.Sequence, len(values))
	}
	j.checkHistory(w, h.address, values)
}

func (j *checker) startCall(w *simulation, c *clientCall) *clientCall {
	c.minVersions, c.startedAt = j.knownVersions, w.now
	return c
}

func (j *checker) checkReply(w *simulation, h *host, r chain.Reply) {
	c := h.calls[r.Number]
	delete(h.calls, r.Number)
	if c == nil || r.Unknown {
		return
	}
	j.answers++
	if c.read {
		j.checkRead(w, h, c, r)
		return
	}
	version, taken := binary.BigEndian.Uint64(r.Result), r.Result[8] == 1
	if taken {
		j.checkAcknowledged(w, h, c)
		return
	}
	if r.Changed {
		fail(w, "%s: changed, but not taken", h.address)
	}
	j.refusals++
	if int(version) < c.minVersions {
		fail(w, "%s refuses from version %d, %d was known", h.address, version, c.minVersions)
	}
	if c.base < uint64(len(j.history)) && j.history[c.base] == c.value {
		fail(w, "%s refuses %d on %d, which is in force", h.address, c.value, c.base)
	}
	j.refused[[2]uint64{c.base, c.value}] = true
	j.knownVersions = max(j.knownVersions, int(version))
}

func (j *checker) checkAcknowledged(w *simulation, h *host, c *clientCall) {
	if other, ok := j.acked[c.base]; ok && other != c.value {
		fail(w, "%s acknowledges %d on %d, %d was acknowledged", h.address, c.value, c.base, other)
	}
	if c.base < uint64(len(j.history)) && j.history[c.base] != c.value {
		fail(w, "%s acknowledges %d on %d, where %d is", h.address, c.value, c.base, j.history[c.base])
	}
	j.acked[c.base] = c.value
	j.knownVersions = max(j.knownVersions, int(c.base)+1)
}

func (j *checker) checkRead(w *simulation, h *host, c *clientCall, r chain.Reply) {
	values, err := parseSnapshot(r.Snapshot)
	if err != nil {
		fail(w, "%s: %v", h.address, err)
	}
	if len(values) < c.minVersions {
		fail(w, "%s reads %d versions, %d were known at %v", h.address, len(values), c.minVersions, c.startedAt)
	}
	j.checkHistory(w, h.address, values)
	for base, value := range j.acked {
		if base < uint64(len(values)) && values[base] != value {
			fail(w, "%s reads %d as version %d, %d was acknowledged", h.address, values[base], base+1, value)
		}
	}
	j.knownVersions = max(j.knownVersions, len(values))
}

// startClientCall has a client call a host.
func (w *simulation) startClientCall(h *host) {
	if h.node == nil || h.frozen {
		return
	}
	j := &w.checker
	var c *clientCall
	var number int64
	var out chain.Output
	var ok bool
	if w.random.IntN(3) == 0 {
		c = j.startCall(w, &clientCall{read: true})
		number, out, ok = h.node.Read(w.now)
	} else {
		j.lastValue++
		c = j.startCall(w, &clientCall{base: uint64(j.knownVersions), value: j.lastValue})
		if j.knownVersions > 0 && w.random.IntN(4) == 0 {
			c.base -= uint64(w.random.IntN(min(3, j.knownVersions) + 1))
		}
		if w.random.IntN(8) == 0 && j.lastValue > 3 {
			c.value -= uint64(w.random.IntN(3)) // perhaps one that was sent before
		}
		if w.checker.refused[[2]uint64{c.base, c.value}] {
			return
		}
		number, out, ok = h.node.Propose(w.now, encodeCommand(c.base, c.value))
	}
	if !ok {
		return
	}
	h.calls[number] = c
	w.handleOutput(h, out)
	w.schedule(h)
}
