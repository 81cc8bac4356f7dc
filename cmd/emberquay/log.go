package main

import (
	"fmt"
	"io"
	"time"
)

// bounded writes log lines, so many a second at most: peers that misbehave must not have the sender write all
// day. What is left out is counted and told. The log package calls it for one line at a time.
type bounded struct {
	to   io.Writer
	most int
	now  func() time.Time

	second  time.Time // the present one began
	lines   int       // in it
	dropped int
}

func (b *bounded) Write(line []byte) (int, error) {
	if now := b.now(); now.Sub(b.second) >= time.Second {
		if b.dropped > 0 {
			fmt.Fprintf(b.to, "part=log event=dropped lines=%d\n", b.dropped)
		}
		b.second, b.lines, b.dropped = now, 0, 0
	}
	if b.lines++; b.lines > b.most {
		b.dropped++
		return len(line), nil
	}
	return b.to.Write(line)
}
