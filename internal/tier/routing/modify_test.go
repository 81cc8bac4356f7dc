package routing_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/tier/routing"
)

// small is a configuration whose bytes are easy to follow.
const small = `{ "version": 3, "new": 1.50,
  "routes": [{"name":"a", "service":"s"}, {"name":"b","service" : "s"}],
  "services": [{"name":"s"}] }`

func modify(current, patch string) string {
	GinkgoHelper()
	body, err := routing.Modify([]byte(current), []byte(patch))
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}

var _ = DescribeTable("a change gives the whole document",
	func(current, patch, want string) {
		Expect(modify(current, patch)).To(Equal(want))
	},
	Entry("nothing but the version", small, `{"version":5}`,
		`{"version":5,"new":1.50,"routes":[{"name":"a", "service":"s"}, {"name":"b","service" : "s"}],"services":[{"name":"s"}]}`),
	Entry("an item replaced where it stands, its bytes as sent", small, `{"version":5,"upsert":{"routes":[{ "name":"a","timeout_ms":1.0 }]}}`,
		`{"version":5,"new":1.50,"routes":[{ "name":"a","timeout_ms":1.0 },{"name":"b","service" : "s"}],"services":[{"name":"s"}]}`),
	Entry("an item added at the end", small, `{"version":5,"upsert":{"routes":[{"name":"c"}]}}`,
		`{"version":5,"new":1.50,"routes":[{"name":"a", "service":"s"},{"name":"b","service" : "s"},{"name":"c"}],"services":[{"name":"s"}]}`),
	Entry("items of both lists", small, `{"version":5,"upsert":{"services":[{"name":"t"}],"routes":[{"name":"b","service":"t"}]}}`,
		`{"version":5,"new":1.50,"routes":[{"name":"a", "service":"s"},{"name":"b","service":"t"}],"services":[{"name":"s"},{"name":"t"}]}`),
	Entry("items removed", small, `{"version":5,"remove":{"routes":["a"],"services":["s"]}}`,
		`{"version":5,"new":1.50,"routes":[{"name":"b","service" : "s"}],"services":[]}`),
	Entry("the last item removed and another added", small, `{"version":5,"remove":{"services":["s"]},"upsert":{"services":[{"name":"t"}]}}`,
		`{"version":5,"new":1.50,"routes":[{"name":"a", "service":"s"}, {"name":"b","service" : "s"}],"services":[{"name":"t"}]}`),
	Entry("names that are not there removed", small, `{"version":5,"remove":{"routes":["x","x"],"services":[],"others":["y"]}}`,
		`{"version":5,"new":1.50,"routes":[{"name":"a", "service":"s"},{"name":"b","service" : "s"}],"services":[{"name":"s"}]}`),
	Entry("limits replaced", `{"version":3,"limits":{"max_body_bytes":1}}`, `{"version":5,"upsert":{"limits":{"idle_timeout_ms":7}}}`,
		`{"version":5,"limits":{"idle_timeout_ms":7}}`),
	Entry("limits added", `{"version":3}`, `{"version":5,"upsert":{"limits":{"idle_timeout_ms":7}}}`,
		`{"version":5,"limits":{"idle_timeout_ms":7}}`),
	Entry("parts that are null", small, `{"version":5,"upsert":null,"remove":null}`,
		`{"version":5,"new":1.50,"routes":[{"name":"a", "service":"s"}, {"name":"b","service" : "s"}],"services":[{"name":"s"}]}`),
	Entry("lists that are null", `{"version":3,"routes":null}`, `{"version":5,"upsert":{"routes":[{"name":"a"}],"services":null,"limits":null},"remove":{"routes":null}}`,
		`{"version":5,"routes":[{"name":"a"}]}`),
	Entry("a list of another kind", `{"version":3,"models":[{"name":"m"}]}`, `{"version":5,"upsert":{"models":[{"name":"n"}]},"remove":{"models":["m"]}}`,
		`{"version":5,"models":[{"name":"n"}]}`),
	Entry("the first configuration", "", `{"version":5,"upsert":{"services":[{"name":"s"}]}}`,
		`{"version":5,"services":[{"name":"s"}]}`),
	Entry("keys and names with escapes", `{"a\"b":1,"version":3,"routes":[{"name":"\u0061"}]}`, `{"version":5,"upsert":{"routes":[{"name":"a","x":1}]}}`,
		`{"a\"b":1,"version":5,"routes":[{"name":"a","x":1}]}`),
)

var _ = DescribeTable("a change that cannot be read is refused with its key",
	func(current, patch, want string) {
		body, err := routing.Modify([]byte(current), []byte(patch))
		Expect(body).To(BeNil())
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
	Entry("cut short", small, `{"version":5`, "no whole JSON"),
	Entry("bytes behind the end", small, `{"version":5}x`, "no whole JSON"),
	Entry("empty", small, "", "no whole JSON"),
	Entry("no version", small, "{}", "version: is missing"),
	Entry("version 0", small, `{"version":0}`, "version: must be above 0"),
	Entry("upsert no object", small, `{"version":5,"upsert":[]}`, "upsert: must be an object"),
	Entry("remove no object", small, `{"version":5,"remove":["a"]}`, "remove: must be an object"),
	Entry("routes no list", small, `{"version":5,"upsert":{"routes":{"name":"a"}}}`, "upsert.routes: must be a list"),
	Entry("an item without a name", small, `{"version":5,"upsert":{"routes":[{"service":"s"}]}}`, "upsert.routes[0].name: is missing"),
	Entry("an item that is no object", small, `{"version":5,"upsert":{"routes":["a"]}}`, "upsert.routes[0]: must be an object"),
	Entry("two items of one name", small, `{"version":5,"upsert":{"routes":[{"name":"a"},{"name":"a"}]}}`, "upsert.routes[a].name: another item"),
	Entry("a name that is a number", small, `{"version":5,"remove":{"routes":[1]}}`, "remove.routes: must hold texts"),
	Entry("names that are an object", small, `{"version":5,"remove":{"routes":{}}}`, "remove.routes: must be a list"),
	Entry("a name both put and removed", small, `{"version":5,"upsert":{"routes":[{"name":"a"}]},"remove":{"routes":["a"]}}`, `remove.routes: "a" is also in upsert`),
	Entry("a version inside", small, `{"version":5,"upsert":{"version":9}}`, "upsert.version: stands beside upsert"),
	Entry("a key twice", small, `{"version":5,"upsert":{"routes":[],"routes":[]}}`, "upsert.routes: stands there twice"),
	Entry("a damaged configuration", `{"version":3`, `{"version":5}`, "the current configuration: "),
	Entry("a configuration whose list is none", `{"version":3,"routes":1}`, `{"version":5,"upsert":{"routes":[{"name":"a"}]}}`, "the current configuration: routes: must be a list"),
)

var _ = Describe("a change as the operator sends it", func() {
	It("gives a valid configuration", func() {
		body := modify(example, `{"version":9,"upsert":{"routes":[{"name":"r-zji9n73","authority":"ficu95.example","path_prefix":"/new/","timeout_ms":9,"service":"wuno96b"}]},"remove":{"routes":["r-old","r-hh2b9wu"]}}`)
		snapshot := parse(body)
		Expect(snapshot.Version).To(BeEquivalentTo(9))
		_, found := snapshot.Match("ficu95.example", "/pufi791/x")
		Expect(found).To(BeFalse())
		route, found := snapshot.Match("ficu95.example", "/new/x")
		Expect(found).To(BeTrue())
		Expect(route.ChooseTarget(0.5).Service).To(Equal("wuno96b"))
	})

	It("may lead to an invalid one", func() {
		_, err := routing.Parse([]byte(modify(example, `{"version":9,"remove":{"services":["wuno96b"]}}`)))
		Expect(err).To(MatchError(ContainSubstring("there is no service")))
	})

	It("leaves what it was given as it was", func() {
		current, patch := []byte(small), []byte(`{"version":5,"upsert":{"routes":[{"name":"c"}]}}`)
		_, err := routing.Modify(current, patch)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(current)).To(Equal(small))
	})
})

var _ = Describe("the difference of two configurations", func() {
	It("names the items", func() {
		after := parse(modify(example, `{"version":9,"upsert":{
			"routes":[{"name":"new","authority":"x.example","path_prefix":"/","timeout_ms":9,"service":"huvo11a"}],
			"services":[{"name":"huvo11a","health_path":"/health","max_connections":221}],
			"limits":{"max_body_bytes":1}},"remove":{"routes":["r-hh2b9wu"]}}`))
		difference := routing.Diff(parse(example), after)
		Expect(difference.Routes).To(Equal(routing.Changes{Added: []string{"new"}, Removed: []string{"r-hh2b9wu"}}))
		Expect(difference.Services).To(Equal(routing.Changes{Changed: []string{"huvo11a"}}))
		Expect(difference.Limits).To(BeTrue())
	})

	It("sees keys that are not known, and not how they are written", func() {
		one := `{"version":1,"services":[{"name":"a","x":1},{"name":"b","y":2}]}`
		two := `{"version":2,"services":[{ "y":2.0,"name":"b" },{"name":"a","x":2}]}`
		difference := routing.Diff(parse(one), parse(two))
		Expect(difference.Services).To(Equal(routing.Changes{Changed: []string{"a"}}))
		Expect(difference.Routes.Empty()).To(BeTrue())
		Expect(difference.Limits).To(BeFalse())
	})
})
