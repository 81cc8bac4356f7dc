package tierlab

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/lab/referee/tierrules"
)

// faultProxy is a reverse proxy between clients and a front that breaks a rule at intervals.
type faultProxy struct {
	target *url.URL
	proxy  *httputil.ReverseProxy
	orders atomic.Int64
	reads  atomic.Int64
}

func newFaultProxy(front string) *faultProxy {
	target := &url.URL{Scheme: "http", Host: front}
	m := &faultProxy{target: target}
	m.proxy = &httputil.ReverseProxy{
		Rewrite:        func(r *httputil.ProxyRequest) { r.SetURL(target); r.Out.Host = r.In.Host },
		FlushInterval:  -1,
		ModifyResponse: m.corruptResponse,
	}
	return m
}

// ServeHTTP forwards a request: some orders twice, some with a changed body.
func (m *faultProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, orderRoute.prefix) {
		m.proxy.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	again := func() *http.Request {
		copied := r.Clone(r.Context())
		copied.Body = io.NopCloser(bytes.NewReader(body))
		return copied
	}
	switch m.orders.Add(1) % 8 {
	case 1:
		m.proxy.ServeHTTP(httptest.NewRecorder(), again())
	case 2:
		body = []byte("another")
		r.ContentLength = int64(len(body))
		r.Header.Set("Content-Length", "7")
	case 3:
		m.proxy.ServeHTTP(httptest.NewRecorder(), again())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	m.proxy.ServeHTTP(w, again())
}

// corruptResponse removes the stamp from some answers, and one event from each stream.
func (m *faultProxy) corruptResponse(resp *http.Response) error {
	path := resp.Request.URL.Path
	switch {
	case strings.HasPrefix(path, readRoute.prefix) && m.reads.Add(1)%4 == 0:
		resp.Header.Del("Emberquay-Server-Stamp")
	case strings.HasPrefix(path, textRoute.prefix) && resp.StatusCode == http.StatusOK:
		raw, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		pieces := strings.SplitAfter(string(raw), "\n\n")
		if len(pieces) > 3 {
			pieces = append(pieces[:1], pieces[2:]...)
		}
		resp.Body = io.NopCloser(strings.NewReader(strings.Join(pieces, "")))
	}
	return nil
}

var _ = Describe("Faults injected between clients and proxies", func() {
	It("are detected, each as a breach of its rule", func(ctx SpecContext) {
		var mu sync.Mutex
		servers := map[string]*httptest.Server{}
		front := func(address string) string {
			mu.Lock()
			defer mu.Unlock()
			if servers[address] == nil {
				servers[address] = httptest.NewServer(newFaultProxy(address))
			}
			return servers[address].Listener.Addr().String()
		}
		result, err := Run(ctx, Options{Program: binary, Scenario: Scenario{Length: 3 * time.Second, PlainPerSecond: 30, StreamsPerSecond: 4, ProgramsPerSecond: 0.1}, frontAddress: front})
		for _, server := range servers {
			server.CloseClientConnections()
			server.Close()
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Passed()).To(BeFalse())
		for _, rule := range []tierrules.Rule{tierrules.Mixed, tierrules.Twice, tierrules.Refused, tierrules.Unasked, tierrules.Order} {
			Expect(result.Verdict.BreachCount(rule)).To(BeNumerically(">", 0), "%s", rule)
		}
	}, SpecTimeout(2*time.Minute))
})
