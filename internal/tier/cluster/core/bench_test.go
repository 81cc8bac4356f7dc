package core_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// BenchmarkIdle plays one second of a fleet that nothing happens to, each envelope encoded once. It reports the
// processor time, the scheduler's included, and the bytes that a node sends in that second.
func BenchmarkIdle(b *testing.B) {
	for _, size := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			RegisterTestingT(b)
			w := newWorld(1)
			w.fleet(size, 4)
			w.run(6 * time.Second)
			w.measure = true
			b.ReportAllocs()
			for b.Loop() {
				w.run(time.Second)
			}
			perNode := float64(b.N * size)
			b.ReportMetric(float64(b.Elapsed().Microseconds())/perNode, "µs/node")
			b.ReportMetric(float64(w.bytes)/perNode, "bytes/node")
			b.ReportMetric(float64(w.sent)/perNode, "envelopes/node")
		})
	}
}
