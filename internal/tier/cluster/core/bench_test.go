package core_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// BenchmarkIdle simulates one second of an idle fleet and encodes each envelope once. It reports the processor time,
// including that of the scheduler, and the bytes and envelopes that a node sends in that second.
func BenchmarkIdle(b *testing.B) {
	for _, size := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			RegisterTestingT(b)
			s := newSimulation(1)
			s.startFleet(size, 4)
			s.advance(6 * time.Second)
			s.measure = true
			b.ReportAllocs()
			for b.Loop() {
				s.advance(time.Second)
			}
			perNode := float64(b.N * size)
			b.ReportMetric(float64(b.Elapsed().Microseconds())/perNode, "µs/node")
			b.ReportMetric(float64(s.sentBytes)/perNode, "bytes/node")
			b.ReportMetric(float64(s.sentEnvelopes)/perNode, "envelopes/node")
		})
	}
}
