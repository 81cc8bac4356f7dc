package routing_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/tier/routing"
)

var _ = DescribeTable("the route of a request",
	func(host, path, want string) {
		snapshot, err := routing.Parse([]byte(exampleConfig))
		Expect(err).NotTo(HaveOccurred())
		route, found := snapshot.Match(host, path)
		Expect(found).To(Equal(want != ""))
		if found {
			Expect(route.Name).To(Equal(want))
		}
	},
	Entry("a path below the prefix", "ficu95.example", "/lohu930/4b", "r-zji9n73"),
	Entry("the prefix itself", "ficu95.example", "/lohu930/", "r-zji9n73"),
	Entry("the prefix without its trailing slash", "ficu95.example", "/lohu930", ""),
	Entry("a longer path segment with the same beginning", "ficu95.example", "/lohu9301/", ""),
	Entry("a host in another case, with a port", "FICU95.Example:8080", "/pufi791/x", "r-hh2b9wu"),
	Entry("another host", "ficu9.example", "/lohu930/", ""),
	Entry("no host", "", "/lohu930/", ""),
	Entry("a path that contains the host", "", "ficu95.example/lohu930/", ""),
	Entry("a host that contains the path", "ficu95.example/lohu930/", "/", ""),
	Entry("no path", "ficu95.example", "", ""),
	Entry("the asterisk form", "ficu95.example", "*", ""),
)

// manyRoutesConfig returns a configuration of that many routes on three hosts.
func manyRoutesConfig(routes int) string {
	var out strings.Builder
	out.WriteString(`{"version":1,"services":[{"name":"s"}],"routes":[`)
	for i := range routes {
		if i > 0 {
			out.WriteByte(',')
		}
		fmt.Fprintf(&out, `{"name":"r%d","authority":"host%d.example","path_prefix":"/p%d/","timeout_ms":5,"service":"s"}`, i, i%3, i)
	}
	out.WriteString("]}")
	return out.String()
}

var _ = Describe("many routes", func() {
	It("are all found, each by its host and prefix only", func() {
		snapshot := mustParse(manyRoutesConfig(300))
		for i := range 300 {
			for host := range 3 {
				route, found := snapshot.Match(fmt.Sprintf("host%d.example", host), fmt.Sprintf("/p%d/x", i))
				Expect(found).To(Equal(host == i%3))
				if found {
					Expect(route.Name).To(Equal(fmt.Sprintf("r%d", i)))
				}
			}
		}
	})

	It("are looked up without heap allocations", func() {
		snapshot := mustParse(manyRoutesConfig(300))
		path := "/p77/" + strings.Repeat("x", 5000)
		Expect(testing.AllocsPerRun(100, func() { snapshot.Match("Host2.example:8080", path) })).To(BeZero())
	})
})

var _ = Describe("nested prefixes", func() {
	It("match by the longest", func() {
		snapshot := mustParse(exampleWith("/lohu930/", "/pufi791/deep/"))
		for path, want := range map[string]string{"/pufi791/deep/x": "r-zji9n73", "/pufi791/deep": "r-hh2b9wu", "/pufi791/deeper/": "r-hh2b9wu"} {
			route, found := snapshot.Match("ficu95.example", path)
			Expect(found).To(BeTrue())
			Expect(route.Name).To(Equal(want), path)
		}
	})
})

func BenchmarkMatch(b *testing.B) {
	snapshot, err := routing.Parse([]byte(exampleConfig))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, found := snapshot.Match("ficu95.example:8080", "/lohu930/4b/some/longer/path"); !found {
			b.Fatal("no route")
		}
	}
}

func BenchmarkMatchOfMany(b *testing.B) {
	snapshot, err := routing.Parse([]byte(manyRoutesConfig(2000)))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, found := snapshot.Match("host1.example", "/p1999/4b/some/longer/path"); found != (1999%3 == 1) {
			b.Fatal("wrong result for the host")
		}
	}
}

func BenchmarkParse(b *testing.B) {
	body := []byte(manyRoutesConfig(200))
	b.ReportAllocs()
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		if _, err := routing.Parse(body); err != nil {
			b.Fatal(err)
		}
	}
}
