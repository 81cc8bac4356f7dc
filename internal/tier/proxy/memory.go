package proxy

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

var (
	errTooLarge = errors.New("the body is too long")
	errNoMemory = errors.New("no memory left for bodies")
)

const (
	// keptBuffer is the largest buffer that is kept for another body.
	keptBuffer = 64 << 10
	// readStep is by how much a body of unknown length is let grow at a time.
	readStep = 32 << 10
)

// memory bounds the bytes of all bodies in hand.
type memory struct {
	limit int64
	used  atomic.Int64
}

func (m *memory) take(n int64) bool {
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

func (m *memory) give(n int64) { m.used.Add(-n) }

var bodies = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// held is a body in memory; release gives its memory back, after which its bytes are no longer valid.
type held struct {
	memory *memory
	buffer *bytes.Buffer
	taken  int64
}

func (h *held) bytes() []byte {
	if h.buffer == nil {
		return nil
	}
	return h.buffer.Bytes()
}

func (h *held) release() {
	if h.buffer == nil {
		return
	}
	h.memory.give(h.taken)
	if h.buffer.Cap() <= keptBuffer {
		h.buffer.Reset()
		bodies.Put(h.buffer)
	}
	h.buffer, h.taken = nil, 0
}

// hold reads a body of at most limit bytes; length is what was announced, or -1. What was read of a body that fails
// stays held, as a long answer is passed on from there.
func (m *memory) hold(from io.Reader, length, limit int64) (held, error) {
	h := held{memory: m}
	if length == 0 {
		return h, nil
	}
	if length > limit {
		return h, errTooLarge
	}
	h.buffer = bodies.Get().(*bytes.Buffer)
	if length > 0 {
		return h, h.readKnown(from, length)
	}
	return h, h.readUnknown(from, limit)
}

func (h *held) readKnown(from io.Reader, length int64) error {
	if !h.memory.take(length) {
		return errNoMemory
	}
	h.taken = length
	// A spare MinRead lets the reader find the end without growing the buffer.
	h.buffer.Grow(int(length) + bytes.MinRead)
	n, err := h.buffer.ReadFrom(from)
	if err == nil && n != length {
		err = io.ErrUnexpectedEOF
	}
	return err
}

func (h *held) readUnknown(from io.Reader, limit int64) error {
	for {
		step := min(readStep, limit+1-h.taken)
		if !h.memory.take(step) {
			return errNoMemory
		}
		h.taken += step
		n, err := io.CopyN(h.buffer, from, step)
		if int64(h.buffer.Len()) > limit {
			return errTooLarge
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		_ = n
	}
}
