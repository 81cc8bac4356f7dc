package routing_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/routing"
)

var _ = DescribeTable("the route of a request",
	func(host, path, want string) {
		snapshot, err := routing.Parse([]byte(example))
		Expect(err).NotTo(HaveOccurred())
		route, found := snapshot.Match(host, path)
		Expect(found).To(Equal(want != ""))
		if found {
			Expect(route.Name).To(Equal(want))
		}
	},
	Entry("the prefix and more", "ficu95.example", "/lohu930/4b", "r-zji9n73"),
	Entry("the prefix itself", "ficu95.example", "/lohu930/", "r-zji9n73"),
	Entry("the prefix without its last slash", "ficu95.example", "/lohu930", ""),
	Entry("a name that only begins alike", "ficu95.example", "/lohu9301/", ""),
	Entry("a host in other letters, with a port", "FICU95.Example:8080", "/pufi791/x", "r-hh2b9wu"),
	Entry("another host", "ficu9.example", "/lohu930/", ""),
	Entry("no host", "", "/lohu930/", ""),
	Entry("a path that holds the host", "", "ficu95.example/lohu930/", ""),
	Entry("a host that holds the path", "ficu95.example/lohu930/", "/", ""),
	Entry("no path", "ficu95.example", "", ""),
	Entry("all paths", "ficu95.example", "*", ""),
)

func BenchmarkMatch(b *testing.B) {
	snapshot, err := routing.Parse([]byte(example))
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
