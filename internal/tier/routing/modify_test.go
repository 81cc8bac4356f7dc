package routing_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/tier/routing"
)

// smallConfig is a configuration with distinctive white space and numbers, to see which bytes are kept.
const smallConfig = `{ "version": 3, "new": 1.50,
  "routes": [{"name":"a", "service":"s"}, {"name":"b","service" : "s"}],
  "services": [{"name":"s"}] }`

func mustModify(current, patch string) string {
	GinkgoHelper()
	body, err := routing.Modify([]byte(current), []byte(patch))
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}

var _ = DescribeTable("a change gives the complete document",
	func(current, patch, want string) {
		Expect(mustModify(current, patch)).To(Equal(want))
	},
	Entry("the version only", smallConfig, `{"version":5}`,
		`{"version":5,"new":1.50,"routes":[{"name":"a", "service":"s"}, {"name":"b","service" : "s"}],"services":[{"name":"s"}]}`),
	Entry("an item replaced in place, with its bytes as sent", smallConfig, `{"version":5,"upsert":{"routes":[{ "name":"a","timeout_ms":1.0 }]}}`,
		`{"version":5,"new":1.50,"routes":[{ "name":"a","timeout_ms":1.0 },{"name":"b","service" : "s"}],"services":[{"name":"s"}]}`),
	Entry("an item added at the end", smallConfig, `{"version":5,"upsert":{"routes":[{"name":"c"}]}}`,
		`{"version":5,"new":1.50,"routes":[{"name":"a", "service":"s"},{"name":"b","service" : "s"},{"name":"c"}],"services":[{"name":"s"}]}`),
	Entry("items of both lists", smallConfig, `{"version":5,"upsert":{"services":[{"name":"t"}],"routes":[{"name":"b","service":"t"}]}}`,
		`{"version":5,"new":1.50,"routes":[{"name":"a", "service":"s"},{"name":"b","service":"t"}],"services":[{"name":"s"},{"name":"t"}]}`),
	Entry("items removed", smallConfig, `{"version":5,"remove":{"routes":["a"],"services":["s"]}}`,
		`{"version":5,"new":1.50,"routes":[{"name":"b","service" : "s"}],"services":[]}`),
	Entry("the last item removed and another added", smallConfig, `{"version":5,"remove":{"services":["s"]},"upsert":{"services":[{"name":"t"}]}}`,
		`{"version":5,"new":1.50,"routes":[{"name":"a", "service":"s"}, {"name":"b","service" : "s"}],"services":[{"name":"t"}]}`),
	Entry("unknown names removed", smallConfig, `{"version":5,"remove":{"routes":["x","x"],"services":[],"others":["y"]}}`,
		`{"version":5,"new":1.50,"routes":[{"name":"a", "service":"s"},{"name":"b","service" : "s"}],"services":[{"name":"s"}]}`),
	Entry("limits replaced", `{"version":3,"limits":{"max_body_bytes":1}}`, `{"version":5,"upsert":{"limits":{"idle_timeout_ms":7}}}`,
		`{"version":5,"limits":{"idle_timeout_ms":7}}`),
	Entry("limits added", `{"version":3}`, `{"version":5,"upsert":{"limits":{"idle_timeout_ms":7}}}`,
		`{"version":5,"limits":{"idle_timeout_ms":7}}`),
	Entry("parts that are null", smallConfig, `{"version":5,"upsert":null,"remove":null}`,
		`{"version":5,"new":1.50,"routes":[{"name":"a", "service":"s"}, {"name":"b","service" : "s"}],"services":[{"name":"s"}]}`),
	Entry("lists that are null", `{"version":3,"routes":null}`, `{"version":5,"upsert":{"routes":[{"name":"a"}],"services":null,"limits":null},"remove":{"routes":null}}`,
		`{"version":5,"routes":[{"name":"a"}]}`),
	Entry("a list under an unknown key", `{"version":3,"models":[{"name":"m"}]}`, `{"version":5,"upsert":{"models":[{"name":"n"}]},"remove":{"models":["m"]}}`,
		`{"version":5,"models":[{"name":"n"}]}`),
	Entry("the first configuration", "", `{"version":5,"upsert":{"services":[{"name":"s"}]}}`,
		`{"version":5,"services":[{"name":"s"}]}`),
	Entry("keys and names with escapes", `{"a\"b":1,"version":3,"routes":[{"name":"\u0061"}]}`, `{"version":5,"upsert":{"routes":[{"name":"a","x":1}]}}`,
		`{"a\"b":1,"version":5,"routes":[{"name":"a","x":1}]}`),
)

var _ = DescribeTable("an invalid change is refused with its key",
	func(current, patch, want string) {
		body, err := routing.Modify([]byte(current), []byte(patch))
		Expect(body).To(BeNil())
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
	Entry("cut short", smallConfig, `{"version":5`, "no whole JSON"),
	Entry("trailing bytes", smallConfig, `{"version":5}x`, "no whole JSON"),
	Entry("empty", smallConfig, "", "no whole JSON"),
	Entry("no version", smallConfig, "{}", "version: is missing"),
	Entry("version 0", smallConfig, `{"version":0}`, "version: must be above 0"),
	Entry("upsert not an object", smallConfig, `{"version":5,"upsert":[]}`, "upsert: must be an object"),
	Entry("remove not an object", smallConfig, `{"version":5,"remove":["a"]}`, "remove: must be an object"),
	Entry("routes not a list", smallConfig, `{"version":5,"upsert":{"routes":{"name":"a"}}}`, "upsert.routes: must be a list"),
	Entry("an item without a name", smallConfig, `{"version":5,"upsert":{"routes":[{"service":"s"}]}}`, "upsert.routes[0].name: is missing"),
	Entry("an item that is not an object", smallConfig, `{"version":5,"upsert":{"routes":["a"]}}`, "upsert.routes[0]: must be an object"),
	Entry("two items with the same name", smallConfig, `{"version":5,"upsert":{"routes":[{"name":"a"},{"name":"a"}]}}`, "upsert.routes[a].name: another item"),
	Entry("a name that is a number", smallConfig, `{"version":5,"remove":{"routes":[1]}}`, "remove.routes: must hold texts"),
	Entry("names that are an object", smallConfig, `{"version":5,"remove":{"routes":{}}}`, "remove.routes: must be a list"),
	Entry("a name both upserted and removed", smallConfig, `{"version":5,"upsert":{"routes":[{"name":"a"}]},"remove":{"routes":["a"]}}`, `remove.routes: "a" is also in upsert`),
	Entry("a version inside upsert", smallConfig, `{"version":5,"upsert":{"version":9}}`, "upsert.version: stands beside upsert"),
	Entry("a duplicate key", smallConfig, `{"version":5,"upsert":{"routes":[],"routes":[]}}`, "upsert.routes: stands there twice"),
	Entry("a damaged configuration", `{"version":3`, `{"version":5}`, "the current configuration: "),
	Entry("a configuration with a number in place of a list", `{"version":3,"routes":1}`, `{"version":5,"upsert":{"routes":[{"name":"a"}]}}`, "the current configuration: routes: must be a list"),
)

var _ = Describe("a change as the operator sends it", func() {
	It("gives a valid configuration", func() {
		body := mustModify(exampleConfig, `{"version":9,"upsert":{"routes":[{"name":"r-zji9n73","authority":"ficu95.example","path_prefix":"/new/","timeout_ms":9,"service":"wuno96b"}]},"remove":{"routes":["r-old","r-hh2b9wu"]}}`)
		snapshot := mustParse(body)
		Expect(snapshot.Version).To(BeEquivalentTo(9))
		_, found := snapshot.Match("ficu95.example", "/pufi791/x")
		Expect(found).To(BeFalse())
		route, found := snapshot.Match("ficu95.example", "/new/x")
		Expect(found).To(BeTrue())
		Expect(route.ChooseTarget(0.5).Service).To(Equal("wuno96b"))
	})

	It("may give an invalid configuration", func() {
		_, err := routing.Parse([]byte(mustModify(exampleConfig, `{"version":9,"remove":{"services":["wuno96b"]}}`)))
		Expect(err).To(MatchError(ContainSubstring("there is no service")))
	})

	It("does not modify its arguments", func() {
		current, patch := []byte(smallConfig), []byte(`{"version":5,"upsert":{"routes":[{"name":"c"}]}}`)
		_, err := routing.Modify(current, patch)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(current)).To(Equal(smallConfig))
	})
})

var _ = Describe("the difference between two configurations", func() {
	It("names the items that differ", func() {
		after := mustParse(mustModify(exampleConfig, `{"version":9,"upsert":{
			"routes":[{"name":"new","authority":"x.example","path_prefix":"/","timeout_ms":9,"service":"huvo11a"}],
			"services":[{"name":"huvo11a","health_path":"/health","max_connections":221}],
			"limits":{"max_body_bytes":1}},"remove":{"routes":["r-hh2b9wu"]}}`))
		difference := routing.Diff(mustParse(exampleConfig), after)
		Expect(difference.Routes).To(Equal(routing.Changes{Added: []string{"new"}, Removed: []string{"r-hh2b9wu"}}))
		Expect(difference.Services).To(Equal(routing.Changes{Changed: []string{"huvo11a"}}))
		Expect(difference.Limits).To(BeTrue())
	})

	It("includes unknown keys and ignores how values are written", func() {
		one := `{"version":1,"services":[{"name":"a","x":1},{"name":"b","y":2}]}`
		two := `{"version":2,"services":[{ "y":2.0,"name":"b" },{"name":"a","x":2}]}`
		difference := routing.Diff(mustParse(one), mustParse(two))
		Expect(difference.Services).To(Equal(routing.Changes{Changed: []string{"a"}}))
		Expect(difference.Routes.Empty()).To(BeTrue())
		Expect(difference.Limits).To(BeFalse())
	})
})
