package proxy

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

var (
	errTooLarge    = errors.New("body exceeds its size limit")
	errMemoryLimit = errors.New("memory limit for bodies reached")
)

const (
	// maxPooledBufferBytes is the largest buffer that is returned to the pool.
	maxPooledBufferBytes = 64 << 10
	// readStepBytes is how much memory is reserved at a time for a body of unknown length.
	readStepBytes = 32 << 10
)

// memoryBudget bounds the total size of all buffered bodies.
type memoryBudget struct {
	limitBytes int64
	usedBytes  atomic.Int64
}

func (b *memoryBudget) reserve(n int64) bool {
	if b.usedBytes.Add(n) <= b.limitBytes {
		return true
	}
	b.usedBytes.Add(-n)
	return false
}

func (b *memoryBudget) release(n int64) { b.usedBytes.Add(-n) }

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// bufferedBody is a body in memory. Its bytes are invalid after release.
type bufferedBody struct {
	budget        *memoryBudget
	buffer        *bytes.Buffer
	reservedBytes int64
}

func (b *bufferedBody) bytes() []byte {
	if b.buffer == nil {
		return nil
	}
	return b.buffer.Bytes()
}

func (b *bufferedBody) release() {
	if b.buffer == nil {
		return
	}
	b.budget.release(b.reservedBytes)
	if b.buffer.Cap() <= maxPooledBufferBytes {
		b.buffer.Reset()
		bufferPool.Put(b.buffer)
	}
	b.buffer, b.reservedBytes = nil, 0
}

// readBody reads a body of at most limit bytes; length is the announced length, or -1. After an error the part that was
// read remains buffered, as a long response is forwarded from there.
func (b *memoryBudget) readBody(from io.Reader, length, limit int64) (bufferedBody, error) {
	body := bufferedBody{budget: b}
	if length == 0 {
		return body, nil
	}
	if length > limit {
		return body, errTooLarge
	}
	body.buffer = bufferPool.Get().(*bytes.Buffer)
	if length > 0 {
		return body, body.readLength(from, length)
	}
	return body, body.readToEOF(from, limit)
}

func (b *bufferedBody) readLength(from io.Reader, length int64) error {
	if !b.budget.reserve(length) {
		return errMemoryLimit
	}
	b.reservedBytes = length
	// The spare MinRead bytes let ReadFrom reach EOF without growing the buffer.
	b.buffer.Grow(int(length) + bytes.MinRead)
	n, err := b.buffer.ReadFrom(from)
	if err == nil && n != length {
		err = io.ErrUnexpectedEOF
	}
	return err
}

func (b *bufferedBody) readToEOF(from io.Reader, limit int64) error {
	for {
		step := min(readStepBytes, limit+1-b.reservedBytes)
		if !b.budget.reserve(step) {
			return errMemoryLimit
		}
		b.reservedBytes += step
		n, err := io.CopyN(b.buffer, from, step)
		if int64(b.buffer.Len()) > limit {
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
