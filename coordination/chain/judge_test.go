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
	minVersions int // versions acknowledged or read when the call started
	startedAt   time.Duration
}

// checker compares every answer to a client and every committed state with a single history of versions.
type checker struct {
	history       []uint64           // the longest committed state seen; all others must be a prefix of it
	refused       map[[2]uint64]bool // base and value of refused changes
	acked         map[uint64]uint64  // acknowledged values by their bases
	knownVersions int                // the highest version reported to any client
	answers       int
	refusals      int
	lastValue     uint64
}

func fail(s *simulation, format string, arguments ...any) {
	panic(fmt.Sprintf("%v: ", s.now) + fmt.Sprintf(format, arguments...))
}

// checkHistory compares a state with the history and extends the history.
func (ck *checker) checkHistory(s *simulation, where string, values []uint64) {
	for i, v := range values {
		switch {
		case i < len(ck.history):
			if ck.history[i] != v {
				fail(s, "%s has %d as version %d, another host has %d", where, v, i+1, ck.history[i])
			}
		case ck.refused[[2]uint64{uint64(i), v}]:
			fail(s, "%s has the refused value %d as version %d", where, v, i+1)
		default:
			ck.history = append(ck.history, v)
			if acked, ok := ck.acked[uint64(i)]; ok && acked != v {
				fail(s, "%s has %d as version %d, %d was acknowledged", where, v, i+1, acked)
			}
		}
	}
}

func (ck *checker) checkCommitted(s *simulation, h *host, c chain.CommittedState) {
	values, err := parseSnapshot(c.Snapshot)
	if err != nil {
		fail(s, "%s: %v", h.address, err)
	}
	if int64(len(values)) != c.Sequence {
		fail(s, "%s reports sequence %d for a state of %d versions", h.address, c.Sequence, len(values))
	}
	ck.checkHistory(s, h.address, values)
}

func (ck *checker) startCall(s *simulation, c *clientCall) *clientCall {
	c.minVersions, c.startedAt = ck.knownVersions, s.now
	return c
}

func (ck *checker) checkReply(s *simulation, h *host, r chain.Reply) {
	c := h.calls[r.Number]
	delete(h.calls, r.Number)
	if c == nil || r.Unknown {
		return
	}
	ck.answers++
	if c.read {
		ck.checkRead(s, h, c, r)
		return
	}
	version, taken := binary.BigEndian.Uint64(r.Result), r.Result[8] == 1
	if taken {
		ck.checkAcknowledged(s, h, c)
		return
	}
	if r.Changed {
		fail(s, "%s: the reply says changed, but the value was not taken", h.address)
	}
	ck.refusals++
	if int(version) < c.minVersions {
		fail(s, "%s refuses at version %d, %d was already known", h.address, version, c.minVersions)
	}
	if c.base < uint64(len(ck.history)) && ck.history[c.base] == c.value {
		fail(s, "%s refuses %d on base %d, although it is in the history", h.address, c.value, c.base)
	}
	ck.refused[[2]uint64{c.base, c.value}] = true
	ck.knownVersions = max(ck.knownVersions, int(version))
}

func (ck *checker) checkAcknowledged(s *simulation, h *host, c *clientCall) {
	if other, ok := ck.acked[c.base]; ok && other != c.value {
		fail(s, "%s acknowledges %d on base %d, %d was acknowledged before", h.address, c.value, c.base, other)
	}
	if c.base < uint64(len(ck.history)) && ck.history[c.base] != c.value {
		fail(s, "%s acknowledges %d on base %d, the history has %d", h.address, c.value, c.base, ck.history[c.base])
	}
	ck.acked[c.base] = c.value
	ck.knownVersions = max(ck.knownVersions, int(c.base)+1)
}

func (ck *checker) checkRead(s *simulation, h *host, c *clientCall, r chain.Reply) {
	values, err := parseSnapshot(r.Snapshot)
	if err != nil {
		fail(s, "%s: %v", h.address, err)
	}
	if len(values) < c.minVersions {
		fail(s, "%s reads %d versions, %d were known at %v", h.address, len(values), c.minVersions, c.startedAt)
	}
	ck.checkHistory(s, h.address, values)
	for base, value := range ck.acked {
		if base < uint64(len(values)) && values[base] != value {
			fail(s, "%s reads %d as version %d, %d was acknowledged", h.address, values[base], base+1, value)
		}
	}
	ck.knownVersions = max(ck.knownVersions, len(values))
}

// startClientCall makes a random client call at a host.
func (s *simulation) startClientCall(h *host) {
	if h.node == nil || h.frozen {
		return
	}
	j := &s.checker
	var c *clientCall
	var number int64
	var out chain.Output
	var ok bool
	if s.random.IntN(3) == 0 {
		c = j.startCall(s, &clientCall{read: true})
		number, out, ok = h.node.Read(s.now)
	} else {
		j.lastValue++
		c = j.startCall(s, &clientCall{base: uint64(j.knownVersions), value: j.lastValue})
		if j.knownVersions > 0 && s.random.IntN(4) == 0 {
			c.base -= uint64(s.random.IntN(min(3, j.knownVersions) + 1))
		}
		if s.random.IntN(8) == 0 && j.lastValue > 3 {
			c.value -= uint64(s.random.IntN(3)) // possibly a value that was sent before
		}
		if s.checker.refused[[2]uint64{c.base, c.value}] {
			return
		}
		number, out, ok = h.node.Propose(s.now, encodeCommand(c.base, c.value))
	}
	if !ok {
		return
	}
	h.calls[number] = c
	s.handleOutput(h, out)
	s.schedule(h)
}
