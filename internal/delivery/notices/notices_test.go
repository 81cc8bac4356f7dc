package notices

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"emberquay/internal/delivery/config"
	"emberquay/internal/delivery/ledger"
)

func newNotifier(t *testing.T, maxTexts int, platform http.HandlerFunc) (*Notifier, <-chan []string) {
	t.Helper()
	s := httptest.NewServer(platform)
	t.Cleanup(s.Close)
	delivered := make(chan []string, 99)
	return New(s.Listener.Addr().String(), config.Limits{MaxTexts: maxTexts, MailboxSize: 4, MaxBodyBytes: 1024, NoticeTimeout: time.Second,
		MinRetryDelay: time.Millisecond, MaxRetryDelay: 5 * time.Millisecond}, func(all []*ledger.Notice) {
		var ids []string
		for _, n := range all {
			ids = append(ids, n.ID)
		}
		delivered <- ids
	}), delivered
}

func runNotifier(t *testing.T, d *Notifier) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { d.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
}

func TestWireFormatOfNotices(t *testing.T) {
	bodies := make(chan string, 9)
	d, delivered := newNotifier(t, 4, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		bodies <- r.Method + r.URL.Path + " " + string(b)
		w.WriteHeader(http.StatusNoContent)
	})
	d.Post(&ledger.Notice{ID: "a<1"})
	d.Post(&ledger.Notice{ID: "b", Nack: true})
	d.Post(&ledger.Notice{ID: "c", Nack: true, RetryAfter: 4991})
	runNotifier(t, d)
	want := `POST/v2/finals {"message":"a<1","outcome":"given_up"}` + "\n" + `{"message":"b","outcome":"handed_back"}` +
		"\n" + `{"message":"c","outcome":"handed_back","retry_in_ms":500}` + "\n"
	if got := <-bodies; got != want {
		t.Errorf("%s", got)
	}
	if got := <-delivered; !slices.Equal(got, []string{"a<1", "b", "c"}) {
		t.Error(got)
	}
}

// A kept connection to the platform is dead when a notice is sent on it. The end of a text counts as late after
// 0.3 s, so a second attempt on a new connection must come before.
func TestASilentConnectionCostsOneTry(t *testing.T) {
	requests, keptAddr, newAddr := 0, "", ""
	d, delivered := newNotifier(t, 4, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		switch requests++; requests {
		case 1:
			keptAddr = r.RemoteAddr
		case 2:
			if r.RemoteAddr != keptAddr {
				t.Error("the connection was not kept")
			}
			<-r.Context().Done()
			return
		default:
			newAddr = r.RemoteAddr
		}
		w.WriteHeader(http.StatusNoContent)
	})
	runNotifier(t, d)
	for _, id := range []string{"a", "b"} {
		d.Post(&ledger.Notice{ID: id})
		<-delivered
	}
	if requests != 3 || newAddr == keptAddr {
		t.Errorf("%d attempts, last from %s, first from %s", requests, newAddr, keptAddr)
	}
	conf, err := config.Parse([]byte(`{"name":"n","listen":":1","discovery":":2","state":"s","settings":{"RequestClasses":[{"Name":"a"}]}}`),
		func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	d.limits = conf.Limits
	first, second, last := d.attemptTimeout(d.limits.MinRetryDelay), d.attemptTimeout(2*d.limits.MinRetryDelay), d.attemptTimeout(d.limits.MaxRetryDelay)
	if late := 300 * time.Millisecond; first+d.limits.MinRetryDelay+second/2 > late || last < late {
		t.Errorf("timeouts: %s, then %s, last %s", first, second, last)
	}
}

// The platform may be down, or reject one notice: all others are delivered, and that one is retried.
func TestNoticesAreRetried(t *testing.T) {
	n := 0
	d, delivered := newNotifier(t, 4, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		n++
		switch {
		case n <= 2:
			w.WriteHeader(http.StatusServiceUnavailable)
		case n < 20 && slices.Contains([]byte(string(b)), '!'):
			w.WriteHeader(http.StatusBadRequest)
		default:
			w.WriteHeader(http.StatusNoContent)
		}
	})
	for _, id := range []string{"!", "b", "c"} {
		d.Post(&ledger.Notice{ID: id})
	}
	runNotifier(t, d)
	var all []string
	for len(all) < 3 {
		select {
		case ids := <-delivered:
			all = append(all, ids...)
		case <-time.After(5 * time.Second):
			t.Fatal("timeout; delivered: ", all)
		}
	}
	if slices.Sort(all); !slices.Equal(all, []string{"!", "b", "c"}) {
		t.Error(all)
	}
}

// The platform accepts a limited body size.
func TestManyNoticesAreSplitIntoBodies(t *testing.T) {
	d, _ := newNotifier(t, 4, nil)
	var due []*ledger.Notice
	for range 50 {
		due = append(due, &ledger.Notice{ID: "0123456789"})
	}
	total := 0
	for total < 50 {
		body, n := d.encodeBatch(due[total:])
		if n == 0 || len(body) > 1024 || bytes.Count(body, []byte("\n")) != n {
			t.Fatalf("%d in %d bytes", n, len(body))
		}
		total += n
	}
}

func TestQueueIsBounded(t *testing.T) {
	d, _ := newNotifier(t, 1, nil)
	n := 0
	for d.Post(&ledger.Notice{ID: "a"}) && n < 1000 {
		n++
	}
	if n != 6 {
		t.Error(n)
	}
}
