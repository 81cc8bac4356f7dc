package tierlab

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/lab/referee/tierrules"
)

func TestTierLab(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "The tier on loopback")
}

// binary is the path of emberquay, built for the suite; volatileBinary is that of a build that loses what is not synced when
// it is killed.
var binary, volatileBinary string

var _ = BeforeSuite(func() {
	binary = filepath.Join(GinkgoT().TempDir(), "emberquay")
	out, err := exec.Command("go", "build", "-o", binary, "emberquay/cmd/emberquay").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	volatileBinary = binary + "-powerloss"
	out, err = exec.Command("go", "build", "-tags", "powerloss", "-o", volatileBinary, "emberquay/cmd/emberquay").CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
})

var _ = Describe("A short scenario against the real processes", func() {
	It("is served and breaches no rule", func(ctx SpecContext) {
		result, err := Run(ctx, Options{Program: binary, Scenario: ShortScenario()})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Crashes).To(BeEmpty())
		Expect(result.Verdict.Breaches).To(BeEmpty())
		for _, rule := range []tierrules.Rule{tierrules.Mixed, tierrules.Unasked, tierrules.Twice, tierrules.Budget, tierrules.Drain, tierrules.Config, tierrules.Order} {
			Expect(result.Verdict.Checked[rule]).To(BeNumerically(">", 0), "%s", rule)
		}
		classes := map[string]int{}
		for _, s := range result.Classes {
			classes[s.Class] = s.Completed
		}
		for _, class := range []string{"read", "order", "added", "text", "turn", "tool"} {
			Expect(classes[class]).To(BeNumerically(">", 0), class)
		}
	}, SpecTimeout(2*time.Minute))

	It("reports the log of a program that ends at once", func(ctx SpecContext) {
		_, err := Run(ctx, Options{Program: "/bin/false", Scenario: ShortScenario()})
		Expect(err).To(MatchError(ContainSubstring("ended by itself")))
	}, SpecTimeout(time.Minute))
})
