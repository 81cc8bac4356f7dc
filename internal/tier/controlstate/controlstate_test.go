package controlstate_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/tier/controlstate"
)

func TestControlState(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Control state")
}

// apply applies a command and returns its decoded result.
func apply(state *controlstate.State, command controlstate.Command) (controlstate.Result, bool) {
	GinkgoHelper()
	raw, changed := state.Apply(controlstate.EncodeCommand(command))
	result, err := controlstate.DecodeResult(raw)
	Expect(err).NotTo(HaveOccurred())
	return result, changed
}

// restoreCopy returns a copy of a state that was restored from its snapshot.
func restoreCopy(state *controlstate.State) *controlstate.State {
	GinkgoHelper()
	other := controlstate.New()
	Expect(other.Restore(state.Snapshot())).To(Succeed())
	return other
}

var _ = Describe("a state", func() {
	It("is unchanged after a snapshot and a restore", func() {
		state := controlstate.New()
		result, changed := apply(state, controlstate.Command{
			Kind: controlstate.RegisterStore, Tolerance: 1, Bootstrap: true,
			Store: controlstate.StoreMember{ID: "s-1", Node: "store-a-1", Zone: "a", Address: "10.0.0.1:7382"},
		})
		Expect(result).To(Equal(controlstate.Result{Status: controlstate.StatusOK, Version: 1}))
		Expect(changed).To(BeTrue())
		other := restoreCopy(state)
		Expect(other.Stores()).To(Equal(state.Stores()))
		Expect(other.Snapshot()).To(Equal(state.Snapshot()))
	})
})
