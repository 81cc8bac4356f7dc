package directory

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"emberquay/control"
	"emberquay/internal/delivery/config"
)

const serverJSON = `{"id":"s-%d","addr":"10.1.0.%d:8443","zone":"a","kind":"m2","cell":3,"state":%q,"weight":1.5,"started_ms":0}`

// listJSON returns a list with one server.
func listJSON(version int, full bool, n int, state string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[`+serverJSON+`]}`, version, full, n, n, state) + "\n"
}

// retryWindow is the longest wait of a test's directory before it requests the list again.
var retryWindow = 10 * time.Millisecond

// startDirectory runs a directory against a fake platform that answers each request with the next of answers;
// "hold" keeps a watch open. It returns the updates and the URIs requested.
func startDirectory(t *testing.T, cached string, answers ...string) (<-chan Update, <-chan string) {
	t.Helper()
	requests := make(chan string, 99)
	remaining := make(chan string, len(answers))
	for _, a := range answers {
		remaining <- a
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- r.URL.RequestURI()
		a := "hold"
		if len(remaining) > 0 {
			a = <-remaining
		}
		lines, hold := strings.CutSuffix(a, "hold")
		io.WriteString(w, lines)
		w.(http.Flusher).Flush()
		if hold {
			<-r.Context().Done()
		}
	}))
	t.Cleanup(s.Close)
	updates := make(chan Update, 99)
	d := New(s.Listener.Addr().String(), 1, config.Limits{MailboxSize: 64, WatchSilenceTimeout: 150 * time.Millisecond,
		MinRetryDelay: time.Millisecond, ListRetryWindow: retryWindow}, func(n Update) { updates <- n })
	if cached != "" {
		if err := d.Restore([]byte(cached)); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { d.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return updates, requests
}

// expect receives from a channel, or fails after a timeout.
func expect[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(3 * time.Second):
		t.Fatal("nothing received")
	}
	panic("unreachable")
}

func expectRequests(t *testing.T, requests <-chan string, want ...string) {
	t.Helper()
	for _, w := range want {
		if got := expect(t, requests); got != listPath+w {
			t.Errorf("requested %s, want %s", got, w)
		}
	}
}

func TestWatchContinuesAfterItEnds(t *testing.T) {
	updates, requests := startDirectory(t, listJSON(41, true, 1, "active"), "\n"+listJSON(42, false, 2, "active")+"\n", listJSON(43, false, 1, "left")+"hold")
	want := []control.ReceiverEntry{
		{Receiver: 1, Rate: 1.5, Destination: 3, Kind: "m2", Zone: "a"},
		{Receiver: 2, Rate: 1.5, Destination: 3, Kind: "m2", Zone: "a"},
		{Receiver: 1, Rate: 1.5, Destination: 3, Kind: "m2", Zone: "a", State: control.Removed},
	}
	for i, w := range want {
		if n := expect(t, updates); n.Complete != (i == 0) || len(n.Entries) != 1 || n.Entries[0].ReceiverEntry != w {
			t.Errorf("%+v, want %+v", n, w)
		}
	}
	expectRequests(t, requests, "?stream=1&index=41", "?stream=1&index=42")
}

func TestFullListFirstWithoutACachedOne(t *testing.T) {
	updates, requests := startDirectory(t, "", listJSON(7, true, 1, "leaving"), "hold")
	if n := expect(t, updates); !n.Complete || n.Entries[0].State != control.Draining || n.Entries[0].Addr != "10.1.0.1:8443" {
		t.Errorf("%+v", n)
	}
	expectRequests(t, requests, "", "?stream=1&index=7")
}

// After a lost change, or a change to another list, the sender must not end up with a list that never existed.
func TestFullListAfterALostChange(t *testing.T) {
	for _, invalid := range []string{listJSON(3, false, 1, "active"), "{not json}\n"} {
		updates, requests := startDirectory(t, listJSON(41, true, 1, "active"), invalid, listJSON(4, true, 2, "active"), "hold")
		expect(t, updates)
		if n := expect(t, updates); !n.Complete || n.Entries[0].Receiver != 2 && n.Entries[0].Receiver != 1 {
			t.Errorf("%+v", n)
		}
		expectRequests(t, requests, "?stream=1&index=41", "", "?stream=1&index=4")
	}
}

// A machine that is cut off sends nothing: only the missing heartbeat shows it.
func TestSilentWatchIsRestarted(t *testing.T) {
	updates, requests := startDirectory(t, listJSON(41, true, 1, "active"), "hold", listJSON(42, false, 2, "active")+"hold")
	expect(t, updates)
	startedAt := time.Now()
	if n := expect(t, updates); n.Entries[0].Receiver != 2 || time.Since(startedAt) < 100*time.Millisecond {
		t.Errorf("%+v after %s", n, time.Since(startedAt))
	}
	expectRequests(t, requests, "?stream=1&index=41", "?stream=1&index=41")
}

// In a large fleet a sender waited up to five seconds after a silence of 4.5 seconds, and changes made meanwhile counted as announced.
func TestASilentWatchIsOpenedAgainAtOnce(t *testing.T) {
	before := retryWindow
	defer func() { retryWindow = before }()
	retryWindow = time.Hour // any wait would exceed the test's time
	_, requests := startDirectory(t, listJSON(41, true, 1, "active"), "hold", "hold", "hold")
	expectRequests(t, requests, "?stream=1&index=41", "?stream=1&index=41", "?stream=1&index=41", "?stream=1&index=41")
}

// A watch that ended after some data, or sent an invalid line, was reopened only after up to five seconds in a large
// fleet; changes made meanwhile counted as announced to the sender.
func TestAWatchThatEndsIsOpenedAgainAtOnce(t *testing.T) {
	before := retryWindow
	defer func() { retryWindow = before }()
	retryWindow = time.Hour // any wait would exceed the test's time
	updates, requests := startDirectory(t, listJSON(41, true, 1, "active"), "\n", listJSON(42, false, 1, "leaving"), "{spoilt}\n", listJSON(43, true, 2, "active"))
	expectRequests(t, requests, "?stream=1&index=41", "?stream=1&index=41", "?stream=1&index=42", "", "?stream=1&index=43")
	expect(t, updates)
	if n := expect(t, updates); n.Entries[0].State != control.Draining {
		t.Errorf("%+v", n)
	}
}

// A list on several lines was an error at its first line, and the change was lost.
func TestListsMayComeIndented(t *testing.T) {
	indented := strings.ReplaceAll(listJSON(42, false, 2, "leaving"), ",", ",\n\n  ")
	updates, requests := startDirectory(t, listJSON(41, true, 1, "active"), "\n"+indented+"\n\n"+listJSON(43, false, 3, "active")+"hold")
	expect(t, updates)
	if n := expect(t, updates); n.Entries[0].Receiver != 2 || n.Entries[0].State != control.Draining {
		t.Errorf("%+v", n)
	}
	if n := expect(t, updates); n.Entries[0].Receiver != 3 {
		t.Errorf("%+v", n)
	}
	expectRequests(t, requests, "?stream=1&index=41")
}

// One invalid entry must not affect the others.
func TestInvalidEntriesAreSkipped(t *testing.T) {
	one, two := fmt.Sprintf(serverJSON, 1, 1, "active"), fmt.Sprintf(serverJSON, 2, 2, "active")
	for _, c := range [][2]string{{`"s-1"`, `""`}, {"10.1.0.1:8443", "nowhere"}, {"1.5", "-1"},
		{`"cell":3`, `"cell":"x"`}, {"active", "resting"}} {
		l, err := parseList([]byte(`{"version":1,"servers":[` + strings.Replace(one, c[0], c[1], 1) + "," + two + `]}`))
		if err != nil || len(l.entries) != 1 || l.entries[0].ID != "s-2" {
			t.Errorf("%v: %+v %v", c, l, err)
		}
	}
}

// Removed ids keep their numbers for some time, as they may come back, but not forever.
func TestNumbersOfRemovedIDsAreReleased(t *testing.T) {
	n := newIDAllocator()
	one := func(id string, state string) control.ReceiverID {
		return n.update(&wireList{entries: []wireEntry{{ID: id, State: state}}}).Entries[0].Receiver
	}
	stays, leaves := one("stays", "active"), one("leaves", "active")
	one("leaves", "left")
	if one("leaves", "active") != leaves {
		t.Error("an id that came back has another number")
	}
	one("leaves", "left")
	for i := range 9999 {
		one(fmt.Sprint(i), "active")
		one(fmt.Sprint(i), "left")
	}
	if len(n.ids) > maxRemoved+1 || one("stays", "active") != stays || one("leaves", "active") == leaves {
		t.Errorf("%d numbers are kept", len(n.ids))
	}
}
