package tierreport_test

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/lab/referee/tierrules"
	"emberquay/internal/lab/tierlab"
	"emberquay/internal/lab/tierreport"
)

func TestTierReport(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Reports of days of the tier")
}

const (
	ms = time.Millisecond
	s  = time.Second
)

// recordedResult returns a fixed day with four seconds of traffic that starts at 1 s on its clock.
func recordedResult() *tierlab.Result {
	read := &tierrules.Request{ID: "1", Class: "read", Kind: tierrules.Safe, Sent: 1500 * ms, Ended: 1510 * ms,
		Answer: &tierrules.Answer{Status: http.StatusOK, Complete: true}}
	turn := &tierrules.Request{ID: "2", Class: "turn", Kind: tierrules.Streaming, Sent: 2 * s, Ended: 3 * s,
		Answer: &tierrules.Answer{Status: http.StatusOK, Complete: true,
			Events: []tierrules.Event{{ID: 1, At: 2250 * ms}, {ID: 2, At: 3 * s}}}}
	refusedTurn := &tierrules.Request{ID: "3", Class: "turn", Kind: tierrules.Streaming, Sent: 3 * s,
		Ended: 3010 * ms, Answer: &tierrules.Answer{Status: http.StatusServiceUnavailable, Complete: true}}
	unanswered := &tierrules.Request{ID: "4", Class: "read", Kind: tierrules.Safe, Sent: 4 * s, Ended: 6 * s}
	return &tierlab.Result{
		Verdict: &tierrules.Verdict{
			Breaches: []tierrules.Breach{{Rule: tierrules.Twice, At: 2 * s, Request: "2", Reason: "it ran twice"}},
			Checked:  map[tierrules.Rule]int{tierrules.Twice: 4},
		},
		Classes: []tierlab.ClassSummary{
			{Class: "read", Attempts: 2, Completed: 1, Failed: 1},
			{Class: "turn", Attempts: 2, Completed: 1, Refused: 1},
		},
		Crashes: []string{"front-a-1/proxy ended by itself\nat once"},
		Notes:   []string{"3 arrivals were left out"},
		Elapsed: 6 * s,
		Recording: &tierlab.Recording{
			From: 1 * s, To: 5 * s,
			Requests: []*tierrules.Request{read, turn, refusedTurn, unanswered},
			Runs: []*tierrules.Run{
				{Instance: "i-model-1", Service: "model"},
				{Instance: "i-alfa-2", Service: "alfa", Aborted: true},
			},
			Faults: []tierlab.FaultInterval{
				{Fault: "kill store 0 for 0.5s", From: 2 * s, To: 2500 * ms},
				{Fault: "race", From: 3 * s, To: 3 * s},
			},
			Loads: []tierlab.Load{
				{At: 1100 * ms, Instance: "i-model-1", Service: "model", Slots: 8, Running: 4, Queued: 0},
				{At: 1200 * ms, Instance: "i-model-1", Service: "model", Slots: 8, Running: 8, Queued: 3},
				{At: 1100 * ms, Instance: "i-alfa-2", Service: "alfa", Slots: 6},
				{At: 1200 * ms, Instance: "i-alfa-2", Service: "alfa", Slots: 6},
			},
			Programs: []tierlab.ProgramRun{
				{Started: 1 * s, Ended: 4 * s, Outcome: tierlab.Completed},
				{Started: 2 * s, Ended: 3 * s, Outcome: tierlab.Failed},
			},
		},
	}
}

var _ = Describe("WriteTables", func() {
	It("writes the results of the day", func() {
		var out bytes.Buffer
		Expect(tierreport.WriteTables(&out, "A fixed day", recordedResult())).To(Succeed())
		text := out.String()
		for _, line := range []string{
			"# A fixed day",
			"| TWICE | **broken 1 times** | 4 |",
			"| MIXED | kept | 0 |",
			"- TWICE at 2.000s, request 2: it ran twice",
			"- CRASH: front-a-1/proxy ended by itself at once",
			"- 3 arrivals were left out",
			"| read | 2 | 1 | 0 | 1 | 10.0 | 10.0 | 10.0 | 10.0 |",
			"| turn | 2 | 1 | 1 | 0 | 250.1 | 250.1 | 250.1 | 250.1 |",
			"| ended | 1 | 3.0 | 3.0 | 3.0 | 3.0 |",
			"| failed | 1 | 1.0 | 1.0 | 1.0 | 1.0 |",
			"| alfa | i-alfa-2 | 6 | 1 | 1 | 0 % | 0 |",
			"| model | i-model-1 | 8 | 1 | 0 | 75 % | 11 |",
			"| 1 | 1.00 | 1.50 | kill store 0 for 0.5s |",
			"| 2 | 2.00 | 2.00 | race |",
		} {
			Expect(text).To(ContainSubstring(line + "\n"))
		}
	})
	It("reports a day without troubles", func() {
		withoutTroubles := recordedResult()
		withoutTroubles.Recording.Faults = nil
		var out bytes.Buffer
		Expect(tierreport.WriteTables(&out, "Calm", withoutTroubles)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("## Troubles\n\nNone struck.\n"))
	})
})

var _ = DescribeTable("Charts are well-formed SVG and contain the titles of their panels",
	func(write func(io.Writer, string, *tierlab.Result) error, names ...string) {
		var out bytes.Buffer
		Expect(write(&out, "A fixed day", recordedResult())).To(Succeed())
		Expect(checkWellFormed(out.Bytes())).To(Succeed())
		for _, name := range names {
			Expect(out.String()).To(ContainSubstring(name))
		}
	},
	Entry("over time", tierreport.WriteDay, "A fixed day: tries", "To the first event", "Receivers of alfa",
		"Receivers of model"),
	Entry("distributions", tierreport.WriteDistribution, "A fixed day: to the first event", "turn (1)", "read (1)",
		"ended (1)"),
)

var _ = Describe("Write", func() {
	It("creates the directory and writes all files, also for a day without requests", func() {
		dir := filepath.Join(GinkgoT().TempDir(), "new", "report")
		empty := &tierlab.Result{Verdict: &tierrules.Verdict{}, Recording: &tierlab.Recording{From: 1 * s, To: 2 * s}}
		Expect(tierreport.Write(dir, "Empty", empty)).To(Succeed())
		for _, name := range []string{tierreport.TablesFile, tierreport.DayFile, tierreport.DistributionFile} {
			Expect(os.ReadFile(filepath.Join(dir, name))).NotTo(BeEmpty())
		}
	})
	It("returns the error when the directory cannot be created", func() {
		file := filepath.Join(GinkgoT().TempDir(), "file")
		Expect(os.WriteFile(file, nil, 0o600)).To(Succeed())
		err := tierreport.Write(filepath.Join(file, "report"), "Title", recordedResult())
		Expect(err).To(MatchError(ContainSubstring("not a directory")))
	})
})

// checkWellFormed reads XML to its end and returns the first syntax error.
func checkWellFormed(raw []byte) error {
	decoder := xml.NewDecoder(bytes.NewReader(raw))
	for {
		_, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
