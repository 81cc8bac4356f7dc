package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const tierConfiguration = `{"version":7,"services":[{"name":"s"}],"routes":[` +
	`{"name":"r","authority":"a.example","path_prefix":"/a/","timeout_ms":900,"service":"s"}]}`

var _ = Describe("config check", func() {
	It("prints a summary of the configuration", func() {
		expectOutput("version=7 routes=1 services=1", "config", "check", writeFile("c.json", tierConfiguration))
	})

	DescribeTable("fails with the file and the key",
		func(old, new, want string) {
			expectError(want, "config", "check", writeFile("c.json", strings.Replace(tierConfiguration, old, new, 1)))
		},
		Entry("no timeout", `"timeout_ms":900`, `"timeout_ms":0`, "c.json: routes[r].timeout_ms: is missing or 0"),
		Entry("an unknown service", `"service":"s"`, `"service":"t"`, "c.json: routes[r].service: there is no service"),
		Entry("truncated JSON", "}]}", "}]", "c.json: this is no whole JSON document"),
	)

	It("names a missing file", func() {
		expectError("/none.json", "config", "check", "/none.json")
	})
})

var _ = Describe("config diff", func() {
	It("lists the differences", func() {
		after := strings.Replace(tierConfiguration, `"version":7,"services":[{"name":"s"}]`,
			`"version":9,"limits":{},"services":[{"name":"s","health_path":"/h"},{"name":"t"}]`, 1)
		after = strings.Replace(after, `"name":"r"`, `"name":"q"`, 1)
		output, status := runProgram("config", "diff", writeFile("before.json", tierConfiguration), writeFile("after.json", after))
		Expect(status).To(BeZero(), output)
		Expect(output).To(Equal("version=9 before=7\nroute=\"q\" added\nroute=\"r\" removed\n" +
			"service=\"t\" added\nservice=\"s\" changed\nlimits changed\n"))
	})

	It("names the invalid file", func() {
		expectError("after.json: version: is missing", "config", "diff", writeFile("before.json", tierConfiguration), writeFile("after.json", "{}"))
	})
})

// fakeControlNode is a control plane with prepared responses, used in order; the last one repeats.
type fakeControlNode struct {
	*httptest.Server
	mu        sync.Mutex
	responses []http.HandlerFunc
	received  []string // method, path, base version and body of each request
}

func newFakeControlNode(responses ...http.HandlerFunc) *fakeControlNode {
	node := &fakeControlNode{responses: responses}
	node.Server = httptest.NewServer(http.HandlerFunc(node.serve))
	DeferCleanup(node.Close)
	return node
}

func (n *fakeControlNode) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	n.mu.Lock()
	n.received = append(n.received, strings.Join([]string{r.Method, r.URL.Path, r.Header.Get("Emberquay-Base-Version"), string(body)}, " "))
	respond := n.responses[0]
	if len(n.responses) > 1 {
		n.responses = n.responses[1:]
	}
	n.mu.Unlock()
	respond(w, r)
}

func (n *fakeControlNode) calls() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.received
}

func (n *fakeControlNode) address() string { return n.Listener.Addr().String() }

// respondWith responds with a status and a body.
func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
}

// dropConnection closes the connection without a response.
func dropConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

var _ = Describe("config read", func() {
	It("prints the current configuration byte for byte", func() {
		node := newFakeControlNode(respondWith(http.StatusOK, tierConfiguration))
		output, status := runProgram("config", "read", "--control", node.address())
		Expect(status).To(BeZero(), output)
		Expect(output).To(Equal(tierConfiguration))
		Expect(node.calls()).To(Equal([]string{"GET /api/Config.Read  "}))
	})

	It("tries the next address", func() {
		first, second := newFakeControlNode(dropConnection), newFakeControlNode(respondWith(http.StatusOK, "{}"))
		expectOutput("{}", "config", "read", "--control", first.address()+","+second.address())
		Expect(first.calls()).To(HaveLen(1))
	})

	It("follows at most two redirects", func() {
		node := newFakeControlNode(respondWith(http.StatusOK, "{}"))
		to := func(n *fakeControlNode) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				http.Redirect(w, r, n.URL+r.URL.Path, http.StatusTemporaryRedirect)
			}
		}
		second := newFakeControlNode(to(node))
		first := newFakeControlNode(to(second))
		expectOutput("{}", "config", "read", "--control", first.address())
		zeroth := newFakeControlNode(to(first))
		other := newFakeControlNode(respondWith(http.StatusOK, "other"))
		expectOutput("other", "config", "read", "--control", zeroth.address()+","+other.address())
		Expect(node.calls()).To(HaveLen(1))
	})

	It("reports a refusal with its reason", func() {
		node := newFakeControlNode(respondWith(http.StatusNotFound, "none\nyet"))
		expectError("refused with 404: none yet", "config", "read", "--control", node.address())
	})

	It("reports a malformed address", func() {
		expectError("missing port", "config", "read", "--control", "10.0.0.1")
	})

	It("reports that nobody answers", func() {
		node := newFakeControlNode(dropConnection)
		expectError("no clear answer", "config", "read", "--timeout", "50ms", "--control", node.address())
	})
})

var _ = Describe("config replace", func() {
	It("sends the file unchanged, with the given base version", func() {
		node := newFakeControlNode(respondWith(http.StatusOK, ""))
		path := writeFile("c.json", tierConfiguration+"\n")
		expectOutput("acknowledged version=7", "config", "replace", "--control", node.address(), "--base", "5", path)
		Expect(node.calls()).To(Equal([]string{"POST /api/Config.Replace 5 " + tierConfiguration + "\n"}))
	})

	It("repeats the same request until there is a final answer", func() {
		node := newFakeControlNode(dropConnection, respondWith(http.StatusServiceUnavailable, ""), respondWith(http.StatusTooManyRequests, ""), respondWith(http.StatusOK, ""))
		path := writeFile("c.json", tierConfiguration)
		expectOutput("acknowledged", "config", "replace", "--control", node.address(), "--base", "5", path)
		calls := node.calls()
		Expect(calls).To(HaveLen(4))
		Expect(calls).To(HaveEach(calls[0]))
	})

	It("sends the same request to the target of a redirect", func() {
		node := newFakeControlNode(respondWith(http.StatusOK, ""))
		first := newFakeControlNode(func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, node.URL+r.URL.Path, http.StatusTemporaryRedirect)
		})
		path := writeFile("c.json", tierConfiguration)
		expectOutput("acknowledged", "config", "replace", "--control", first.address(), "--base", "5", path)
		Expect(node.calls()).To(Equal(first.calls()))
	})

	DescribeTable("stops at a refusal",
		func(status int, want string) {
			node := newFakeControlNode(respondWith(status, "because"), respondWith(http.StatusOK, ""))
			path := writeFile("c.json", tierConfiguration)
			expectError(want, "config", "replace", "--control", node.address(), "--base", "5", path)
			Expect(node.calls()).To(HaveLen(1))
		},
		Entry("another base version", http.StatusPreconditionFailed, "refused with 412, another version is in force: because"),
		Entry("an invalid configuration", http.StatusBadRequest, "refused with 400: because"),
	)

	It("does not send an invalid configuration", func() {
		node := newFakeControlNode(respondWith(http.StatusOK, ""))
		path := writeFile("c.json", strings.Replace(tierConfiguration, "900", "0", 1))
		expectError("timeout_ms", "config", "replace", "--control", node.address(), "--base", "5", path)
		expectError("version: 7 is not above 7", "config", "replace", "--control", node.address(), "--base", "7", writeFile("c.json", tierConfiguration))
		Expect(node.calls()).To(BeEmpty())
	})

	It("requires a base version", func() {
		expectError("--base", "config", "replace", "--control", "127.0.0.1:1", os.DevNull)
	})
})
