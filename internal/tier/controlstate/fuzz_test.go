package controlstate_test

import (
	"bytes"
	"testing"

	"emberquay/internal/tier/controlstate"
)

// fuzzState returns a state in which every field is used, for tests that run outside of a Ginkgo spec.
func fuzzState(t testing.TB) *controlstate.State {
	t.Helper()
	state := controlstate.New()
	for _, command := range fuzzCommands() {
		state.Apply(controlstate.EncodeCommand(command))
	}
	return state
}

func fuzzCommands() []controlstate.Command {
	return []controlstate.Command{
		register(store(1)), register(store(2)), register(store(3)),
		replace(0, configurationBody(3, "s")), modify(3, `{"version":5,"upsert":{"services":[{"name":"t"}]}}`), replace(9, "x"),
		retire("node-2"), completed("node-2", "id-2"), remove("id-1"),
	}
}

// FuzzRestore checks that any record with a valid checksum is either rejected, or gives a state that encodes to the same
// bytes and accepts commands.
func FuzzRestore(f *testing.F) {
	f.Add(fuzzState(f).Snapshot()[headerBytes:])
	f.Add(controlstate.New().Snapshot()[headerBytes:])
	f.Fuzz(func(t *testing.T, record []byte) {
		state := fuzzState(t)
		before := state.Snapshot()
		snapshot := withHeader(record)
		if err := state.Restore(snapshot); err != nil {
			if !bytes.Equal(state.Snapshot(), before) {
				t.Fatalf("state changed although Restore returned the error %v", err)
			}
			return
		}
		if !bytes.Equal(state.Snapshot(), snapshot) {
			t.Fatalf("restored state encodes to\n%q, want\n%q", state.Snapshot(), snapshot)
		}
		for _, command := range fuzzCommands() {
			state.Apply(controlstate.EncodeCommand(command))
		}
		if err := controlstate.New().Restore(state.Snapshot()); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzApply checks that for any command two replicas reach the same state, the version and the epoch never decrease, the
// reported changed is correct, and the state can be restored.
func FuzzApply(f *testing.F) {
	for _, command := range fuzzCommands() {
		f.Add(controlstate.EncodeCommand(command))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		first, second := fuzzState(t), fuzzState(t)
		before := first.Snapshot()
		version, _ := first.Configuration()
		epoch := first.Stores().Epoch
		result, changed := first.Apply(raw)
		secondResult, _ := second.Apply(raw)
		if !bytes.Equal(result, secondResult) || !bytes.Equal(first.Snapshot(), second.Snapshot()) {
			t.Fatal("two replicas differ after the same command")
		}
		if _, err := controlstate.DecodeResult(result); err != nil {
			t.Fatal(err)
		}
		if changed == bytes.Equal(first.Snapshot(), before) {
			t.Fatalf("Apply returned changed=%v, but the snapshots say otherwise", changed)
		}
		if now, _ := first.Configuration(); now < version || first.Stores().Epoch < epoch {
			t.Fatalf("version %d follows %d, epoch %d follows %d", now, version, first.Stores().Epoch, epoch)
		}
		if err := controlstate.New().Restore(first.Snapshot()); err != nil {
			t.Fatal(err)
		}
	})
}
