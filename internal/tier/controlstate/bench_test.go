package controlstate_test

import (
	"fmt"
	"testing"

	"emberquay/internal/tier/controlstate"
)

// BenchmarkSnapshot measures the encoding of the whole state, which each commit costs at each member, and its restoration by
// another replica.
func BenchmarkSnapshot(b *testing.B) {
	for _, changes := range []uint64{10, 1000, 8192} {
		state := controlstate.New()
		for version := uint64(1); version <= changes; version++ {
			state.Apply(controlstate.EncodeCommand(replace(version-1, configurationBody(version, "s"))))
		}
		snapshot := state.Snapshot()
		b.Run(fmt.Sprintf("snapshot/%d", changes), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(snapshot)))
			for b.Loop() {
				state.Snapshot()
			}
		})
		b.Run(fmt.Sprintf("restore/%d", changes), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(snapshot)))
			for b.Loop() {
				if err := controlstate.New().Restore(snapshot); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
