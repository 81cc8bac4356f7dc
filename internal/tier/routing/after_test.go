package routing_test

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"emberquay/internal/tier/routing"
)

// drawnConfiguration is a configuration of few names and prefixes, so that drawn ones have much in common and are invalid
// at times.
type drawnConfiguration struct {
	version  int
	services []string
	routes   []string // JSON
	extra    string   // a further member, or empty
}

func (d drawnConfiguration) body() []byte {
	services := make([]string, 0, len(d.services))
	for _, name := range d.services {
		services = append(services, fmt.Sprintf(`{"name":%q}`, name))
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[%s]%s}`, d.version, strings.Join(d.routes, ","), strings.Join(services, ", "), d.extra)
}

func drawRoute(t *rapid.T) string {
	return fmt.Sprintf(`{"name":"r%d","authority":"%s","path_prefix":"/%d/","timeout_ms":%d,"service":"s%d"}`,
		rapid.IntRange(0, 9).Draw(t, "name"), rapid.SampledFrom([]string{"a.example", "A.example:80", "b.example"}).Draw(t, "authority"),
		rapid.IntRange(0, 9).Draw(t, "prefix"), rapid.SampledFrom([]int{0, 100, 100, 100, 200, 200}).Draw(t, "timeout"),
		rapid.SampledFrom([]int{1, 1, 1, 1, 2}).Draw(t, "service"))
}

// drawNext changes a few things of a configuration.
func drawNext(t *rapid.T, d drawnConfiguration) drawnConfiguration {
	next := drawnConfiguration{version: d.version + rapid.IntRange(0, 2).Draw(t, "step"), services: slices.Clone(d.services), routes: slices.Clone(d.routes), extra: d.extra}
	for range rapid.IntRange(0, 3).Draw(t, "changes") {
		index := rapid.IntRange(0, max(0, len(next.routes)-1)).Draw(t, "index")
		switch change := rapid.IntRange(0, 5).Draw(t, "change"); {
		case change == 0 || len(next.routes) == 0:
			next.routes = append(next.routes, drawRoute(t))
		case change == 1:
			next.routes = slices.Delete(next.routes, index, index+1)
		case change == 2:
			next.routes[index] = drawRoute(t)
		case change == 3:
			next.routes = append(next.routes, next.routes[index])
		case change == 4:
			next.services = rapid.SampledFrom([][]string{{"s1"}, {"s1", "s2"}, {"s2"}, {"s1", "s1"}}).Draw(t, "services")
		default:
			next.extra = rapid.SampledFrom([]string{"", `,"limits":{"max_body_bytes":7}`, `,"limits":3`, `,"version":9`}).Draw(t, "extra")
		}
	}
	return next
}

// expectSameConfiguration compares all that a reader of a snapshot can see.
func expectSameConfiguration(t *rapid.T, got, want *routing.Snapshot) {
	if got.Version != want.Version || !reflect.DeepEqual(got.Routes, want.Routes) || !reflect.DeepEqual(got.Services, want.Services) ||
		got.Limits != want.Limits || string(got.Body) != string(want.Body) {
		t.Fatalf("%s is read as %+v, want %+v", want.Body, got, want)
	}
	for _, host := range []string{"a.example", "b.example", "c.example"} {
		for i := range 10 {
			path := fmt.Sprintf("/%d/x", i)
			gotRoute, gotFound := got.Match(host, path)
			wantRoute, wantFound := want.Match(host, path)
			if gotFound != wantFound || !reflect.DeepEqual(gotRoute, wantRoute) {
				t.Fatalf("%s%s goes to %+v, want %+v", host, path, gotRoute, wantRoute)
			}
		}
	}
}

// Guards against a configuration that is read differently by a process that had the one before: proxies and replicas would
// then differ by what they had seen.
func TestAConfigurationIsReadTheSameAfterAnyOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := drawnConfiguration{version: 1, services: []string{"s1", "s2"}}
		for range rapid.IntRange(0, 8).Draw(t, "routes") {
			current.routes = append(current.routes, drawRoute(t))
		}
		snapshot, _ := routing.Parse(current.body())
		for range 6 {
			next := drawNext(t, current)
			got, err := routing.ParseAfter(snapshot, next.body())
			want, wantErr := routing.Parse(next.body())
			if fmt.Sprint(err) != fmt.Sprint(wantErr) {
				t.Fatalf("error %v, want %v", err, wantErr)
			}
			if err == nil {
				expectSameConfiguration(t, got, want)
				current, snapshot = next, got
			}
		}
	})
}

// Guards against replicas that disagree on the text of a changed configuration: those that have just started read it from
// its text, others have it read already.
func TestAChangeGivesTheSameTextWithAndWithoutReadingAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := drawnConfiguration{version: 1, services: []string{"s1", "s2"}, extra: rapid.SampledFrom([]string{"", `,"models":[{"name":"m"}]`}).Draw(t, "extra")}
		for range rapid.IntRange(0, 6).Draw(t, "routes") {
			current.routes = append(current.routes, drawRoute(t))
		}
		snapshot, err := routing.Parse(current.body())
		if err != nil {
			return
		}
		var upserts []string
		for range rapid.IntRange(0, 3).Draw(t, "upserts") {
			upserts = append(upserts, drawRoute(t))
		}
		patch := fmt.Appendf(nil, `{"version":5,"upsert":{"routes":[%s],"models":[{"name":"n"}]},"remove":{"routes":["r%d"],"services":["s%d"]}}`,
			strings.Join(upserts, ","), rapid.IntRange(0, 9).Draw(t, "removed"), rapid.IntRange(1, 9).Draw(t, "service"))
		for range 2 { // a change leaves the snapshot as it was
			got, gotErr := snapshot.Modify(patch)
			want, wantErr := routing.Modify(current.body(), patch)
			if string(got) != string(want) || fmt.Sprint(gotErr) != fmt.Sprint(wantErr) {
				t.Fatalf("%s and %v, want %s and %v", got, gotErr, want, wantErr)
			}
		}
	})
}

var _ = Describe("A configuration that follows another one", func() {
	It("shares the routes whose text has not changed", func() {
		body := func(version, timeout int) []byte {
			return fmt.Appendf(nil, `{"version":%d,"services":[{"name":"s"}],"routes":[{"name":"a","authority":"x","path_prefix":"/a/","timeout_ms":1,"service":"s"},
				{"name":"b","authority":"x","path_prefix":"/b/","timeout_ms":1,"service":"s"},{"name":"c","authority":"x","path_prefix":"/c/","timeout_ms":%d,"service":"s"}]}`, version, timeout)
		}
		first, err := routing.Parse(body(1, 5))
		Expect(err).NotTo(HaveOccurred())
		second, err := routing.ParseAfter(first, body(2, 6))
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Routes[0]).To(BeIdenticalTo(first.Routes[0]))
		Expect(second.Routes[1]).To(BeIdenticalTo(first.Routes[1]))
		Expect(second.Routes[2].Timeout).To(BeNumerically(">", first.Routes[2].Timeout))
	})

	// Guards against the work that made a change of one route in thousands late at every process: reading all of them again.
	It("is read with far less work than by itself if few of its routes have changed", func() {
		const routes = 2000
		body := func(version int) []byte {
			d := drawnConfiguration{version: version, services: []string{"s1"}}
			for i := range routes {
				d.routes = append(d.routes, fmt.Sprintf(`{"name":"r%d","authority":"a","path_prefix":"/%d/","timeout_ms":%d,"service":"s1"}`, i, i, 1+version*(i/(routes-1))))
			}
			return d.body()
		}
		first, err := routing.Parse(body(1))
		Expect(err).NotTo(HaveOccurred())
		next := body(2)
		whole := testing.AllocsPerRun(3, func() { _, _ = routing.Parse(next) })
		after := testing.AllocsPerRun(3, func() { _, _ = routing.ParseAfter(first, next) })
		Expect(after).To(BeNumerically("<", routes/2), "allocations; by itself it takes %v", whole)
	})
})
