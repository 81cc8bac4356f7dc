package tierworld_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/lab/tierworld"
)

func TestTierWorld(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Described days of the tier")
}

const (
	ms = time.Millisecond
	s  = time.Second
)

var _ = Describe("The built-in worlds", func() {
	It("are equal to what Read returns for their printed form", func() {
		for _, w := range []*tierworld.World{tierworld.Default(), tierworld.Short()} {
			raw, err := tierworld.Print(w)
			Expect(err).NotTo(HaveOccurred())
			Expect(tierworld.Read(raw)).To(Equal(w))
		}
	})
	It("are the defaults of a file, except for the troubles", func() {
		w, err := tierworld.Read([]byte("seconds = 5\n[tier]\nstores = 4\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(w.Tier).To(Equal(tierworld.Tier{ControlPlanes: 3, Stores: 4, Proxies: 2}))
		Expect(w.Traffic).To(Equal(tierworld.Default().Traffic))
		Expect(w.Trouble).To(BeEmpty())
	})
})

var _ = Describe("The sample worlds", func() {
	It("are accepted by Read", func() {
		files, err := filepath.Glob("../../../docs/worlds/tier/*.toml")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(HaveLen(3))
		for _, file := range files {
			raw, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			_, err = tierworld.Read(raw)
			Expect(err).NotTo(HaveOccurred(), file)
		}
	})
})

var _ = DescribeTable("Read rejects an invalid world and names the key",
	func(text, named string) {
		_, err := tierworld.Read([]byte(text))
		Expect(err).To(MatchError(ContainSubstring(named)))
	},
	Entry("an unknown key", "second = 3", "line 1: second: this key is not known"),
	Entry("an unknown key of a table", "[tier]\nnodes = 3", "line 2: tier.nodes: this key is not known"),
	Entry("an unknown key of a trouble", "[[trouble]]\nwhen_s = 3", "trouble.when_s: this key is not known"),
	Entry("text instead of a number", `seconds = "long"`, "line 1: seconds: the value has the wrong type"),
	Entry("no traffic", "seconds = 0", "seconds: 0 is out of range; allowed: a number, 1 to 600"),
	Entry("two control planes", "[tier]\ncontrol_planes = 2", "tier.control_planes: 2 is out of range"),
	Entry("two stores", "[tier]\nstores = 2", "tier.stores: 2 is out of range"),
	Entry("too many proxies", "[tier]\nproxies = 121", "tier.proxies: 121 is out of range"),
	Entry("no receivers", "[receivers.model]\ncount = 0", "receivers.model.count: 0 is out of range"),
	Entry("no slots", "[receivers.alfa]\nslots = 0", "receivers.alfa.slots: 0 is out of range"),
	Entry("no work", "[receivers.beta]\nwork_ms = [0.0, 3.0]", "receivers.beta.work_ms: 0 is out of range"),
	Entry("work bounds in the wrong order", "[receivers.beta]\nwork_ms = [9.0, 3.0]",
		"receivers.beta.work_ms: [9 3]; allowed: two numbers"),
	Entry("a single bound", "[programs]\nbudget = [300]", "programs.budget: [300]; allowed: two numbers"),
	Entry("prompt bounds in the wrong order", "[traffic]\nprompt_tokens = [900, 200]",
		"traffic.prompt_tokens: [900 200]"),
	Entry("three bounds of an answer", "[traffic]\nout_tokens = [1, 2, 3]", "traffic.out_tokens: [1 2 3]"),
	Entry("no bounds of a turn", "[programs]\nout_tokens = []", "programs.out_tokens: []"),
	Entry("less memory than a request may need", "[receivers.model]\nmemory_tokens = 1000\n[programs]\nturns = 20",
		"receivers.model.memory_tokens: 1000, but a request may need"),
	Entry("too much traffic", "[traffic]\nplain_per_s = 301.0", "traffic.plain_per_s: 301 is out of range"),
	Entry("a share above 1", "[programs]\nlooping = 1.5", "programs.looping: 1.5 is out of range"),
	Entry("a trouble without a kind", "[[trouble]]\nat_s = 3.0", `trouble 1: what: "" is not known`),
	Entry("an unknown kind of trouble", "[[trouble]]\nwhat = \"flood\"",
		`trouble 1: what: "flood" is not known; allowed: kill, wipe`),
	Entry("a missing duration", trouble(`what = "kill"`, `on = "store"`), "trouble 1: for_s: missing"),
	Entry("an unsupported duration", trouble(`what = "race"`, "for_s = 1.0"),
		"trouble 1: for_s: has no meaning for race"),
	Entry("a start after the end of the traffic", trouble(`what = "race"`, "at_s = 21.0"),
		"trouble 1: at_s: 21; the traffic ends at 21"),
	Entry("an end after the end of the traffic", trouble(`what = "kill_all"`, "at_s = 20.0", "for_s = 2.0"),
		"trouble 1: for_s: 2; it goes on"),
	Entry("a missing target", trouble(`what = "kill"`, "for_s = 1.0"),
		"trouble 1: on: missing; allowed: control-plane, store"),
	Entry("an unsupported target", trouble(`what = "race"`, `on = "store"`),
		"trouble 1: on: has no meaning for race"),
	Entry("a wiped proxy", trouble(`what = "wipe"`, "for_s = 1.0", `on = "proxy"`),
		`trouble 1: on: "proxy" is not known`),
	Entry("a fourth store", trouble(`what = "retire"`, `on = "store"`, "no = 3"),
		"trouble 1: no: 3; of store there are 3"),
	Entry("an unsupported number", trouble(`what = "burst"`, "for_s = 1.0", "factor = 2.0", "no = 1"),
		"trouble 1: no: has no meaning"),
	Entry("errors without a share", trouble(`what = "errors"`, "for_s = 1.0", `on = "alfa"`),
		"trouble 1: share: missing"),
	Entry("a slowdown factor below 1", trouble(`what = "slow"`, "for_s = 1.0", `on = "alfa"`, "factor = 0.5"),
		"trouble 1: factor: 0.5"),
	Entry("an unsupported share", trouble(`what = "crash"`, "for_s = 1.0", `on = "alfa"`, "share = 0.5"),
		"trouble 1: share: has no"),
	Entry("an unsupported factor",
		trouble(`what = "hang"`, "for_s = 1.0", `on = "alfa"`, "share = 0.5", "factor = 3.0"),
		"trouble 1: factor: has no meaning for hang"),
	Entry("an unsupported successor", trouble(`what = "invalid"`, `next = "beta"`),
		"trouble 1: next: has no meaning"),
	Entry("a successor of an unknown service", trouble(`what = "drain"`, "for_s = 1.0", `on = "alfa"`, `next = "gamma"`),
		`trouble 1: next: "gamma" is not known; allowed: alfa, beta, model`),
	Entry("overlapping outages of one process", kill("store", 0, 5)+kill("store", 0, 5.5),
		"trouble 2: at_s: store 0 does not serve"),
	Entry("a kill during a graceful stop",
		trouble(`what = "restart"`, "at_s = 5.0", "for_s = 0.5", `on = "proxy"`)+kill("proxy", 0, 7),
		"trouble 2: at_s: proxy 0 does not serve"),
	Entry("a kill after kill_all",
		trouble(`what = "kill_all"`, "at_s = 5.0", "for_s = 0.5")+kill("store", 0, 9),
		"trouble 2: at_s: kill_all is the day's final fault"),
	Entry("kill_all during another outage",
		kill("store", 0, 5)+trouble(`what = "kill_all"`, "at_s = 5.5", "for_s = 0.5"),
		"trouble 2: at_s: kill_all is the day's final fault"),
	Entry("two disk losses within the recovery time", wipe("store", 0, 5)+wipe("control-plane", 1, 8),
		"trouble 2: at_s: a second disk is lost within"),
	Entry("too few remaining stores",
		trouble(`what = "retire"`, `on = "store"`)+trouble(`what = "retire"`, `on = "store"`, "no = 1"),
		"trouble 2: what: too few stores would be left: 1, turns need 2"),
	Entry("a kill of a retired store", trouble(`what = "retire"`, `on = "store"`)+kill("store", 0, 9),
		"trouble 2: at_s: store 0"),
)

var _ = Describe("Compatible troubles", func() {
	It("affect different processes, do not overlap or lose a single disk", func() {
		for _, text := range []string{
			kill("store", 0, 5) + kill("store", 1, 5) + kill("control-plane", 0, 5),
			kill("store", 0, 5) + kill("store", 0, 8),
			wipe("store", 0, 5) + wipe("control-plane", 0, 10.3),
			kill("store", 0, 5) + trouble(`what = "kill_all"`, "at_s = 9.0", "for_s = 0.5"),
			"[tier]\nstores = 4\n" + trouble(`what = "retire"`, `on = "store"`) + wipe("store", 1, 9) +
				trouble(`what = "kill_all"`, "at_s = 15.0", "for_s = 0.5"),
		} {
			_, err := tierworld.Read([]byte(text))
			Expect(err).NotTo(HaveOccurred(), text)
		}
	})
})

// trouble returns the TOML table of one trouble.
func trouble(lines ...string) string {
	text := "[[trouble]]\n"
	for _, line := range lines {
		text += line + "\n"
	}
	return text
}
