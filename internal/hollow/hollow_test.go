package hollow_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/hollow"
)

func TestHollow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hollow")
}

var _ = Describe("A fleet of ten hollow nodes", func() {
	It("comes to know every node, receiver, configuration and drain, also while nodes restart", func() {
		options := hollow.Options{
			Nodes: 10, Controls: 3, Receivers: 12, Zones: 3, Changes: 2, Window: 3 * time.Second,
			RestartShare: 0.2, Reports: []float64{20}, ConfigurationBytes: 4000, Heartbeat: 300 * time.Millisecond,
		}
		result, err := hollow.Measure(context.Background(), options, hollow.Within, func(step string) { GinkgoWriter.Println(step) })
		Expect(err).NotTo(HaveOccurred())
		for _, l := range []hollow.Latency{result.Configuration, result.Drain} {
			Expect(l.Changes).To(Equal(2))
			Expect(l.Known).To(BeEquivalentTo(2 * 10))
			Expect(l.Missing).To(BeZero())
		}
		for _, l := range []hollow.Latency{result.ConfigurationInRestarts, result.DrainInRestarts} {
			Expect(l.Known).To(BeEquivalentTo(2 * 8))
			Expect(l.Missing).To(BeZero())
		}
		Expect(result.Restarts).To(BeNumerically(">=", 2))
		Expect(result.Rest.KBSent).To(BeNumerically(">", 0))
		Expect(result.Reports[0].Usage.ReportsASecond).To(BeNumerically(">", 0))

		var text, table, chart, whole bytes.Buffer
		results := []hollow.Result{result}
		Expect(hollow.WriteText(&text, results)).To(Succeed())
		Expect(hollow.WriteCSV(&table, results)).To(Succeed())
		Expect(hollow.WriteChart(&chart, results)).To(Succeed())
		Expect(hollow.WriteJSON(&whole, results)).To(Succeed())
		Expect(bytes.Count(table.Bytes(), []byte("\n"))).To(Equal(2))
		Expect(chart.String()).To(ContainSubstring("</svg>"))
		Expect(hollow.ReadJSON(&whole)).To(Equal(results))
	})
})

var _ = Describe("The bounds of a measurement", func() {
	DescribeTable("are kept", func(change func(*hollow.Options), reason string) {
		options := hollow.Options{Nodes: 10, Receivers: 40}.Defaults()
		Expect(options.Check()).To(Succeed())
		change(&options)
		Expect(options.Check()).To(MatchError(ContainSubstring(reason)))
	},
		Entry("nodes", func(o *hollow.Options) { o.Nodes = 1001 }, "nodes"),
		Entry("control planes", func(o *hollow.Options) { o.Controls = 10 }, "control planes"),
		Entry("receivers that drain", func(o *hollow.Options) { o.Receivers = 39 - 20 }, "receivers"),
		Entry("time", func(o *hollow.Options) { o.Window = time.Hour }, "window"),
		Entry("reports", func(o *hollow.Options) { o.Reports = []float64{1e6} }, "reports"),
	)
})
