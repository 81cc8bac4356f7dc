package records_test

import (
	"errors"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"emberquay/coordination/membership"
	"emberquay/internal/tier/cluster/records"
)

func TestRecords(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cluster/records")
}

var validReceiver = records.ReceiverRecord{
	ID: "i-7f3a91c2", Service: "models", Address: "10.128.0.9:8080", Zone: "a", Version: "v1", Slots: 24,
	State: records.ReceiverDraining, ColdRemainingMillis: 1500, Stage: "both", Models: []string{"m", "n"}, Sequence: 4, Owner: "front-1",
}

var _ = Describe("records", func() {
	It("are equal after encoding and decoding", func() {
		value, err := records.ReceiverCodec.Encode(validReceiver)
		Expect(err).NotTo(HaveOccurred())
		Expect(records.ReceiverCodec.Decode(value)).To(Equal(validReceiver))

		configuration := records.ConfigurationRecord{Version: 1<<63 + 5, Body: []byte(`{"version":1}`)}
		value, err = records.ConfigurationCodec.Encode(configuration)
		Expect(err).NotTo(HaveOccurred())
		Expect(records.ConfigurationCodec.Decode(value)).To(Equal(configuration))

		stores := records.StoresRecord{View: []byte{1, 2, 3}}
		value, err = records.StoresCodec.Encode(stores)
		Expect(err).NotTo(HaveOccurred())
		Expect(records.StoresCodec.Decode(value)).To(Equal(stores))

		node := records.NodeRecord{Name: "front-1", Role: membership.Store, Zone: "a", Region: "r", Address: "10.0.0.1:7380", State: membership.Left}
		value, err = records.EncodeNode(node)
		Expect(err).NotTo(HaveOccurred())
		Expect(records.DecodeNode(value)).To(Equal(node))
	})

	DescribeTable("of a receiver are rejected with the name of the field that is out of bounds",
		func(field string, change func(*records.ReceiverRecord)) {
			bad := validReceiver
			change(&bad)
			_, err := records.ReceiverCodec.Encode(bad)
			var fieldError *records.FieldError
			Expect(errors.As(err, &fieldError)).To(BeTrue())
			Expect(fieldError.Field).To(Equal(field))
		},
		Entry("empty id", "id", func(r *records.ReceiverRecord) { r.ID = "" }),
		Entry("too long address", "address", func(r *records.ReceiverRecord) { r.Address = strings.Repeat("x", records.MaxTextBytes+1) }),
		Entry("negative slots", "slots", func(r *records.ReceiverRecord) { r.Slots = -1 }),
		Entry("unknown state", "state", func(r *records.ReceiverRecord) { r.State = 4 }),
		Entry("too many models", "models", func(r *records.ReceiverRecord) { r.Models = make([]string, records.MaxModels+1) }),
	)

	DescribeTable("of a report are rejected with the name of the field that is out of bounds",
		func(field string, change func(*records.ReportRecord)) {
			bad := records.ReportRecord{Instance: "i", Running: 3, Queued: 1, KVUsed: 200_000, KVTotal: 220_394, AgeMillis: 12, Sequence: 9}
			Expect(bad.CheckBounds()).To(Succeed())
			change(&bad)
			var fieldError *records.FieldError
			Expect(errors.As(bad.CheckBounds(), &fieldError)).To(BeTrue())
			Expect(fieldError.Field).To(Equal(field))
		},
		Entry("empty instance", "instance", func(r *records.ReportRecord) { r.Instance = "" }),
		Entry("negative number of running requests", "running", func(r *records.ReportRecord) { r.Running = -1 }),
		Entry("negative queue length", "queued", func(r *records.ReportRecord) { r.Queued = -1 }),
		Entry("too many used tokens", "kv_used", func(r *records.ReportRecord) { r.KVUsed = 1 << 50 }),
		Entry("negative total tokens", "kv_total", func(r *records.ReportRecord) { r.KVTotal = -1 }),
		Entry("negative age", "age_millis", func(r *records.ReportRecord) { r.AgeMillis = -1 }),
	)

	It("of a node are rejected if they hold a suspicion", func() {
		_, err := records.EncodeNode(records.NodeRecord{Name: "a", Role: membership.Proxy, Address: "x", State: membership.Suspect})
		Expect(err).To(HaveOccurred())
	})
})

func TestDecodeToleratesAnyBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "value")
		_, _ = records.ReceiverCodec.Decode(value)
		_, _ = records.ConfigurationCodec.Decode(value)
		_, _ = records.StoresCodec.Decode(value)
		_, _ = records.DecodeNode(value)
	})
}
