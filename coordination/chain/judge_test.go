package chain_test

import (
	"encoding/binary"
	"fmt"
	"time"

	"emberquay/coordination/chain"
)

// call is one call of a client.
type call struct {
	read        bool
	base, value uint64
	atLeast     int // versions acknowledged or read when the call began
	began       time.Duration
}

// judge holds what clients were told against one history, at each answer and each committed state.
type judge struct {
	history  []uint64           // the longest committed state seen: all others are a beginning of it
	refused  map[[2]uint64]bool // base and value of those that were refused
	acked    map[uint64]uint64  // base -> value
	known    int                // the longest history that a client was told
	answers  int
	refusals int
	values   uint64
}

func fail(w *world, format string, arguments ...any) {
	panic(fmt.Sprintf("%v: ", w.now) + fmt.Sprintf(format, arguments...))
}

// extend holds a state against the history.
func (j *judge) extend(w *world, where string, values []uint64) {
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

func (j *judge) committed(w *world, h *host, c chain.CommittedState) {
	values, err := parse(c.Snapshot)
	if err != nil {
		fail(w, "%s: %v", h.address, err)
	}
	if int64(len(values)) != c.Sequence {
		fail(w, "%s tells sequence %d of a state of %d", h.address, c.Sequence, len(values))
	}
	j.extend(w, h.address, values)
}

func (j *judge) begin(w *world, c *call) *call {
	c.atLeast, c.began = j.known, w.now
	return c
}

func (j *judge) answered(w *world, h *host, r chain.Reply) {
	c := h.calls[r.Number]
	delete(h.calls, r.Number)
	if c == nil || r.Unknown {
		return
	}
	j.answers++
	if c.read {
		j.read(w, h, c, r)
		return
	}
	version, taken := binary.BigEndian.Uint64(r.Result), r.Result[8] == 1
	if taken {
		j.acknowledged(w, h, c)
		return
	}
	if r.Changed {
		fail(w, "%s: changed, but not taken", h.address)
	}
	j.refusals++
	if int(version) < c.atLeast {
		fail(w, "%s refuses from version %d, %d was known", h.address, version, c.atLeast)
	}
	if c.base < uint64(len(j.history)) && j.history[c.base] == c.value {
		fail(w, "%s refuses %d on %d, which is in force", h.address, c.value, c.base)
	}
	j.refused[[2]uint64{c.base, c.value}] = true
	j.known = max(j.known, int(version))
}

func (j *judge) acknowledged(w *world, h *host, c *call) {
	if other, ok := j.acked[c.base]; ok && other != c.value {
		fail(w, "%s acknowledges %d on %d, %d was acknowledged", h.address, c.value, c.base, other)
	}
	if c.base < uint64(len(j.history)) && j.history[c.base] != c.value {
		fail(w, "%s acknowledges %d on %d, where %d is", h.address, c.value, c.base, j.history[c.base])
	}
	j.acked[c.base] = c.value
	j.known = max(j.known, int(c.base)+1)
}

func (j *judge) read(w *world, h *host, c *call, r chain.Reply) {
	values, err := parse(r.Snapshot)
	if err != nil {
		fail(w, "%s: %v", h.address, err)
	}
	if len(values) < c.atLeast {
		fail(w, "%s reads %d versions, %d were known at %v", h.address, len(values), c.atLeast, c.began)
	}
	j.extend(w, h.address, values)
	for base, value := range j.acked {
		if base < uint64(len(values)) && values[base] != value {
			fail(w, "%s reads %d as version %d, %d was acknowledged", h.address, values[base], base+1, value)
		}
	}
	j.known = max(j.known, len(values))
}

// call has a client call a host.
func (w *world) call(h *host) {
	if h.node == nil || h.frozen {
		return
	}
	j := &w.judge
	var c *call
	var number int64
	var out chain.Output
	var ok bool
	if w.random.IntN(3) == 0 {
		c = j.begin(w, &call{read: true})
		number, out, ok = h.node.Read(w.now)
	} else {
		j.values++
		c = j.begin(w, &call{base: uint64(j.known), value: j.values})
		if j.known > 0 && w.random.IntN(4) == 0 {
			c.base -= uint64(w.random.IntN(min(3, j.known) + 1))
		}
		if w.random.IntN(8) == 0 && j.values > 3 {
			c.value -= uint64(w.random.IntN(3)) // perhaps one that was sent before
		}
		if w.judge.refused[[2]uint64{c.base, c.value}] {
			return
		}
		number, out, ok = h.node.Propose(w.now, command(c.base, c.value))
	}
	if !ok {
		return
	}
	h.calls[number] = c
	w.carryOut(h, out)
	w.schedule(h)
}
