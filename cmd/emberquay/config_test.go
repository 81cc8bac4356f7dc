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
	It("says what a configuration comes to", func() {
		expectSays("version=7 routes=1 services=1", "config", "check", fileOf("c.json", tierConfiguration))
	})

	DescribeTable("ends badly and names file and key",
		func(old, new, want string) {
			expectRefused(want, "config", "check", fileOf("c.json", strings.Replace(tierConfiguration, old, new, 1)))
		},
		Entry("no time-out", `"timeout_ms":900`, `"timeout_ms":0`, "c.json: routes[r].timeout_ms: is missing or 0"),
		Entry("a service that is not there", `"service":"s"`, `"service":"t"`, "c.json: routes[r].service: there is no service"),
		Entry("an end that is missing", "}]}", "}]", "c.json: this is no whole JSON document"),
	)

	It("names a file that is not there", func() {
		expectRefused("/none.json", "config", "check", "/none.json")
	})
})

var _ = Describe("config diff", func() {
	It("names what differs", func() {
		after := strings.Replace(tierConfiguration, `"version":7,"services":[{"name":"s"}]`,
			`"version":9,"limits":{},"services":[{"name":"s","health_path":"/h"},{"name":"t"}]`, 1)
		after = strings.Replace(after, `"name":"r"`, `"name":"q"`, 1)
		said, status := asProgram("config", "diff", fileOf("before.json", tierConfiguration), fileOf("after.json", after))
		Expect(status).To(BeZero(), said)
		Expect(said).To(Equal("version=9 before=7\nroute=\"q\" added\nroute=\"r\" removed\n" +
			"service=\"t\" added\nservice=\"s\" changed\nlimits changed\n"))
	})

	It("names the file that is invalid", func() {
		expectRefused("after.json: version: is missing", "config", "diff", fileOf("before.json", tierConfiguration), fileOf("after.json", "{}"))
	})
})

// controlNode is a stand-in of a control node; it answers what it is told to, one answer after the other.
type controlNode struct {
	*httptest.Server
	mu      sync.Mutex
	answers []http.HandlerFunc
	seen    []string // method, path, base version and body of each call
}

func newControlNode(answers ...http.HandlerFunc) *controlNode {
	node := &controlNode{answers: answers}
	node.Server = httptest.NewServer(http.HandlerFunc(node.serve))
	DeferCleanup(node.Close)
	return node
}

func (n *controlNode) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	n.mu.Lock()
	n.seen = append(n.seen, strings.Join([]string{r.Method, r.URL.Path, r.Header.Get("Emberquay-Base-Version"), string(body)}, " "))
	answer := n.answers[0]
	if len(n.answers) > 1 {
		n.answers = n.answers[1:]
	}
	n.mu.Unlock()
	answer(w, r)
}

func (n *controlNode) calls() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.seen
}

func (n *controlNode) address() string { return n.Listener.Addr().String() }

// answer gives a status and a body.
func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		io.WriteString(w, body)
	}
}

// lost closes the connection without an answer.
func lost(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

var _ = Describe("config read", func() {
	It("prints what is in force, byte for byte", func() {
		node := newControlNode(answer(http.StatusOK, tierConfiguration))
		said, status := asProgram("config", "read", "--control", node.address())
		Expect(status).To(BeZero(), said)
		Expect(said).To(Equal(tierConfiguration))
		Expect(node.calls()).To(Equal([]string{"GET /api/Config.Read  "}))
	})

	It("goes on to the next address", func() {
		first, second := newControlNode(lost), newControlNode(answer(http.StatusOK, "{}"))
		expectSays("{}", "config", "read", "--control", first.address()+","+second.address())
		Expect(first.calls()).To(HaveLen(1))
	})

	It("follows to another node, twice at most", func() {
		node := newControlNode(answer(http.StatusOK, "{}"))
		to := func(n *controlNode) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				http.Redirect(w, r, n.URL+r.URL.Path, http.StatusTemporaryRedirect)
			}
		}
		second := newControlNode(to(node))
		first := newControlNode(to(second))
		expectSays("{}", "config", "read", "--control", first.address())
		zeroth := newControlNode(to(first))
		other := newControlNode(answer(http.StatusOK, "other"))
		expectSays("other", "config", "read", "--control", zeroth.address()+","+other.address())
		Expect(node.calls()).To(HaveLen(1))
	})

	It("tells a refusal with what it says", func() {
		node := newControlNode(answer(http.StatusNotFound, "none\nyet"))
		expectRefused("refused with 404: none yet", "config", "read", "--control", node.address())
	})

	It("tells an address that is none", func() {
		expectRefused("missing port", "config", "read", "--control", "10.0.0.1")
	})

	It("tells that nobody answers", func() {
		node := newControlNode(lost)
		expectRefused("no clear answer", "config", "read", "--timeout", "50ms", "--control", node.address())
	})
})

var _ = Describe("config replace", func() {
	It("sends the file as it is, on the version named", func() {
		node := newControlNode(answer(http.StatusOK, ""))
		path := fileOf("c.json", tierConfiguration+"\n")
		expectSays("acknowledged version=7", "config", "replace", "--control", node.address(), "--base", "5", path)
		Expect(node.calls()).To(Equal([]string{"POST /api/Config.Replace 5 " + tierConfiguration + "\n"}))
	})

	It("sends the same again until there is a clear answer", func() {
		node := newControlNode(lost, answer(http.StatusServiceUnavailable, ""), answer(http.StatusTooManyRequests, ""), answer(http.StatusOK, ""))
		path := fileOf("c.json", tierConfiguration)
		expectSays("acknowledged", "config", "replace", "--control", node.address(), "--base", "5", path)
		calls := node.calls()
		Expect(calls).To(HaveLen(4))
		Expect(calls).To(HaveEach(calls[0]))
	})

	It("sends the same to a node that it is led to", func() {
		node := newControlNode(answer(http.StatusOK, ""))
		first := newControlNode(func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, node.URL+r.URL.Path, http.StatusTemporaryRedirect)
		})
		path := fileOf("c.json", tierConfiguration)
		expectSays("acknowledged", "config", "replace", "--control", first.address(), "--base", "5", path)
		Expect(node.calls()).To(Equal(first.calls()))
	})

	DescribeTable("ends at a refusal",
		func(status int, want string) {
			node := newControlNode(answer(status, "because"), answer(http.StatusOK, ""))
			path := fileOf("c.json", tierConfiguration)
			expectRefused(want, "config", "replace", "--control", node.address(), "--base", "5", path)
			Expect(node.calls()).To(HaveLen(1))
		},
		Entry("another version is in force", http.StatusPreconditionFailed, "refused with 412, another version is in force: because"),
		Entry("invalid", http.StatusBadRequest, "refused with 400: because"),
	)

	It("sends nothing that is invalid", func() {
		node := newControlNode(answer(http.StatusOK, ""))
		path := fileOf("c.json", strings.Replace(tierConfiguration, "900", "0", 1))
		expectRefused("timeout_ms", "config", "replace", "--control", node.address(), "--base", "5", path)
		expectRefused("version: 7 is not above 7", "config", "replace", "--control", node.address(), "--base", "7", fileOf("c.json", tierConfiguration))
		Expect(node.calls()).To(BeEmpty())
	})

	It("needs a base", func() {
		expectRefused("--base", "config", "replace", "--control", "127.0.0.1:1", os.DevNull)
	})
})
