package controlstate_test

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/tier/controlstate"
)

// fullState returns a state in which every field is used.
func fullState() *controlstate.State {
	GinkgoHelper()
	state := stateWithStores(4)
	expectAccepted(state, replace(0, configurationBody(3, "s")))
	expectAccepted(state, modify(3, `{"version":5,"upsert":{"services":[{"name":"t"}]}}`))
	apply(state, replace(9, configurationBody(12, "early")))
	expectAccepted(state, retire("node-2"))
	expectAccepted(state, completed("node-2", "id-2"))
	expectAccepted(state, retire("node-3"))
	return state
}

// withHeader returns a snapshot of a record, with a valid checksum.
func withHeader(record []byte) []byte {
	raw := binary.BigEndian.AppendUint64([]byte{1}, xxhash.Sum64(record))
	return append(raw, record...)
}

// headerBytes is the size of a snapshot's header.
const headerBytes = 9

var _ = Describe("a snapshot", func() {
	It("is the same for the same commands", func() {
		Expect(fullState().Snapshot()).To(Equal(fullState().Snapshot()))
	})

	It("restores a state that behaves like the original", func() {
		original, restored := fullState(), restoreCopy(fullState())
		Expect(restored.Snapshot()).To(Equal(original.Snapshot()))
		for _, command := range []controlstate.Command{
			replace(0, configurationBody(3, "s")), replace(5, configurationBody(9, "u")), register(store(2)), register(store(5)), retire("node-3"),
			remove("id-1"), completed("node-3", "id-3"), replace(9, configurationBody(12, "early")),
		} {
			originalResult, originalChanged := apply(original, command)
			restoredResult, restoredChanged := apply(restored, command)
			Expect(restoredResult).To(Equal(originalResult))
			Expect(restoredChanged).To(Equal(originalChanged))
			Expect(restored.Snapshot()).To(Equal(original.Snapshot()))
		}
	})

	It("is not modified by later commands", func() {
		state := fullState()
		snapshot := state.Snapshot()
		before := append([]byte(nil), snapshot...)
		expectAccepted(state, replace(5, configurationBody(9, "u")))
		expectAccepted(state, register(store(5)))
		expectAccepted(state, fail("id-4"))
		expectAccepted(state, remove("id-4"))
		Expect(snapshot).To(Equal(before))
	})

	DescribeTable("that is damaged is rejected with an error that names the place, and leaves the state unchanged",
		func(damage func([]byte) []byte, want string) {
			state := fullState()
			before := state.Snapshot()
			err := state.Restore(damage(fullState().Snapshot()))
			Expect(err).To(MatchError(ContainSubstring("snapshot of the control state: ")))
			Expect(err).To(MatchError(ContainSubstring(want)))
			Expect(state.Snapshot()).To(Equal(before))
		},
		Entry("empty", func([]byte) []byte { return nil }, "header: 0 bytes, need at least 9"),
		Entry("no record", func(raw []byte) []byte { return raw[:headerBytes] }, "header: checksum of the 0 record bytes"),
		Entry("an unknown format", func(raw []byte) []byte { raw[0] = 9; return raw }, "header: unknown format 9, want 1"),
		Entry("a bit of the checksum", func(raw []byte) []byte { raw[4] ^= 1; return raw }, "header: checksum"),
		Entry("a bit of the record", func(raw []byte) []byte { raw[len(raw)-1] ^= 1; return raw }, "header: checksum"),
		Entry("truncated", func(raw []byte) []byte { return raw[:len(raw)-1] }, "header: checksum"),
		Entry("truncated, with a valid checksum", func(raw []byte) []byte { return withHeader(raw[headerBytes:40]) }, "Body: unexpected EOF"),
		Entry("trailing bytes, with a valid checksum", func(raw []byte) []byte { return withHeader(append(raw[headerBytes:], 0)) }, "go on behind the record's end"),
		Entry("a list with a negative count", func([]byte) []byte {
			record := controlstate.New().Snapshot()[headerBytes:]
			upToLists := record[:len(record)-2]
			least := []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1} // -1<<63
			return withHeader(append(append(upToLists, least...), 0, 0, 0))
		}, "not in canonical encoding"),
		Entry("a list with a very large count", func([]byte) []byte {
			record := controlstate.New().Snapshot()[headerBytes:]
			return withHeader(append(record[:len(record)-2], 0xfe, 0xff, 0xff, 0xff, 0xff, 0x1f, 0, 0))
		}, "Members: avro: decode array: size is greater"),
		Entry("a version that differs from its body's, with a valid checksum", func(raw []byte) []byte { raw[headerBytes] += 2; return withHeader(raw[headerBytes:]) }, "body: version is 5, want 6"),
	)

	It("whose record is truncated at any place is rejected", func() {
		record := fullState().Snapshot()[headerBytes:]
		for end := range len(record) {
			Expect(controlstate.New().Restore(withHeader(record[:end]))).NotTo(Succeed(), "%d of %d bytes", end, len(record))
		}
	})

	It("with any bit flipped is rejected", func() {
		snapshot := fullState().Snapshot()
		random := rand.New(rand.NewPCG(1, 2))
		for range 500 {
			raw := append([]byte(nil), snapshot...)
			raw[random.IntN(len(raw))] ^= 1 << random.IntN(8)
			Expect(controlstate.New().Restore(raw)).NotTo(Succeed())
		}
	})
})

var _ = DescribeTable("a command that cannot be decoded is refused and changes nothing",
	func(raw []byte) {
		state := fullState()
		before := state.Snapshot()
		encoded, changed := state.Apply(raw)
		result, err := controlstate.DecodeResult(encoded)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Status).To(Equal(controlstate.StatusBadRequest))
		Expect(changed).To(BeFalse())
		Expect(state.Snapshot()).To(Equal(before))
	},
	Entry("empty", []byte{}),
	Entry("truncated", controlstate.EncodeCommand(replace(5, configurationBody(9, "s")))[:40]),
	Entry("trailing bytes", append(controlstate.EncodeCommand(replace(5, configurationBody(9, "s"))), 0)),
	Entry("random bytes", []byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff")),
)

var _ = Describe("a command", func() {
	DescribeTable("is unchanged after encoding and decoding",
		func(command controlstate.Command) {
			decoded, err := controlstate.DecodeCommand(controlstate.EncodeCommand(command))
			Expect(err).NotTo(HaveOccurred())
			Expect(controlstate.EncodeCommand(decoded)).To(Equal(controlstate.EncodeCommand(command)))
			Expect(decoded.Kind).To(Equal(command.Kind))
			Expect(decoded.Base).To(Equal(command.Base))
			Expect(decoded.HasBase).To(Equal(command.HasBase))
			Expect(decoded.Store).To(Equal(command.Store))
			Expect(decoded.Node).To(Equal(command.Node))
			Expect(decoded.StoreID).To(Equal(command.StoreID))
			Expect(decoded.DeadlineSeconds).To(Equal(command.DeadlineSeconds))
			Expect(string(decoded.Body)).To(Equal(string(command.Body)))
		},
		Entry("replace", replace(7, "x")),
		Entry("modify", modify(0, "")),
		Entry("register", register(store(1))),
		Entry("retire", retire("node-1")),
		Entry("completed", completed("node-1", "id-1")),
		Entry("remove", remove("id-1")),
	)

	It("has a kind with a name", func() {
		Expect(controlstate.RetireStore.String()).To(Equal("RetireStore"))
	})
})

var _ = Describe("a result that cannot be decoded", func() {
	It("is an error", func() {
		_, err := controlstate.DecodeResult([]byte{1})
		Expect(err).To(MatchError(ContainSubstring("result: ")))
	})
})
