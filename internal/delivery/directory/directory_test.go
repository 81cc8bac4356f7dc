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

// listJSON writes a list of one server.
func listJSON(version int, full bool, n int, state string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[`+serverJSON+`]}`, version, full, n, n, state) + "\n"
}

// retryWindow is how long a test's directory rests at most before it asks again.
var retryWindow = 10 * time.Millisecond

// startDirectory runs a directory against a stand-in of the platform that answers each request in turn with lines;
// "hold" keeps a watch open. It gives what is told and what was asked.
func startDirectory(t *testing.T, known string, answers ...string) (<-chan Update, <-chan string) {
	t.Helper()
	asked := make(chan string, 99)
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- a
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RequestURI()
		a := "hold"
		if len(next) > 0 {
			a = <-next
		}
		lines, hold := strings.CutSuffix(a, "hold")
		io.WriteString(w, lines)
		w.(http.Flusher).Flush()
		if hold {
			<-r.Context().Done()
		}
	}))
	t.Cleanup(s.Close)
	news := make(chan Update, 99)
	d := New(s.Listener.Addr().String(), 1, config.Limits{MailboxSize: 64, WatchSilenceTimeout: 150 * time.Millisecond,
		MinRetryDelay: time.Millisecond, ListRetryWindow: retryWindow}, func(n Update) { news <- n })
	if known != "" {
		if err := d.Restore([]byte(known)); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { d.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return news, asked
}

// expect reads one from a channel, or fails.
func expect[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(3 * time.Second):
		t.Fatal("nothing came")
	}
	panic("unreachable")
}

func expectRequests(t *testing.T, asked <-chan string, want ...string) {
	t.Helper()
	for _, w := range want {
		if got := expect(t, asked); got != listPath+w {
			t.Errorf("asked %s, want %s", got, w)
		}
	}
}

func TestWatchGoesOnAfterItEnds(t *testing.T) {
	news, asked := startDirectory(t, listJSON(41, true, 1, "active"), "\n"+listJSON(42, false, 2, "active")+"\n", listJSON(43, false, 1, "left")+"hold")
	want := []control.ReceiverEntry{
		{Receiver: 1, Rate: 1.5, Destination: 3, Kind: "m2", Zone: "a"},
		{Receiver: 2, Rate: 1.5, Destination: 3, Kind: "m2", Zone: "a"},
		{Receiver: 1, Rate: 1.5, Destination: 3, Kind: "m2", Zone: "a", State: control.Removed},
	}
	for i, w := range want {
		if n := expect(t, news); n.Complete != (i == 0) || len(n.Entries) != 1 || n.Entries[0].ReceiverEntry != w {
			t.Errorf("%+v, want %+v", n, w)
		}
	}
	expectRequests(t, asked, "?stream=1&index=41", "?stream=1&index=42")
}

func TestWholeListFirstWhereNoneIsKnown(t *testing.T) {
	news, asked := startDirectory(t, "", listJSON(7, true, 1, "leaving"), "hold")
	if n := expect(t, news); !n.Complete || n.Entries[0].State != control.Draining || n.Entries[0].Addr != "10.1.0.1:8443" {
		t.Errorf("%+v", n)
	}
	expectRequests(t, asked, "", "?stream=1&index=7")
}

// A change that is lost, or made to another list, must not leave the sender with a list that never was.
func TestWholeListAfterAGap(t *testing.T) {
	for _, odd := range []string{listJSON(3, false, 1, "active"), "{not json}\n"} {
		news, asked := startDirectory(t, listJSON(41, true, 1, "active"), odd, listJSON(4, true, 2, "active"), "hold")
		expect(t, news)
		if n := expect(t, news); !n.Complete || n.Entries[0].Receiver != 2 && n.Entries[0].Receiver != 1 {
			t.Errorf("%+v", n)
		}
		expectRequests(t, asked, "?stream=1&index=41", "", "?stream=1&index=4")
	}
}

// A machine that was cut off says nothing: only the missing heartbeat tells.
func TestSilentWatchIsMadeAnew(t *testing.T) {
	news, asked := startDirectory(t, listJSON(41, true, 1, "active"), "hold", listJSON(42, false, 2, "active")+"hold")
	expect(t, news)
	began := time.Now()
	if n := expect(t, news); n.Entries[0].Receiver != 2 || time.Since(began) < 100*time.Millisecond {
		t.Errorf("%+v after %s", n, time.Since(began))
	}
	expectRequests(t, asked, "?stream=1&index=41", "?stream=1&index=41")
}

// A fleet of many rested up to five seconds after a silence of four and a half, and what came meanwhile counted as told.
func TestASilentWatchIsOpenedAgainAtOnce(t *testing.T) {
	before := retryWindow
	defer func() { retryWindow = before }()
	retryWindow = time.Hour // a rest would outlast the test
	_, asked := startDirectory(t, listJSON(41, true, 1, "active"), "hold", "hold", "hold")
	expectRequests(t, asked, "?stream=1&index=41", "?stream=1&index=41", "?stream=1&index=41", "?stream=1&index=41")
}

// A watch that had brought something and ended, or brought what makes no sense, was opened again only after up to five
// seconds in a fleet of many; what the platform had for the sender meanwhile counted as told.
func TestAWatchThatEndsIsOpenedAgainAtOnce(t *testing.T) {
	before := retryWindow
	defer func() { retryWindow = before }()
	retryWindow = time.Hour // a rest would outlast the test
	news, asked := startDirectory(t, listJSON(41, true, 1, "active"), "\n", listJSON(42, false, 1, "leaving"), "{spoilt}\n", listJSON(43, true, 2, "active"))
	expectRequests(t, asked, "?stream=1&index=41", "?stream=1&index=41", "?stream=1&index=42", "", "?stream=1&index=43")
	expect(t, news)
	if n := expect(t, news); n.Entries[0].State != control.Draining {
		t.Errorf("%+v", n)
	}
}

// A list over several lines was an error at its first one, and the change was lost.
func TestListsMayComeIndented(t *testing.T) {
	indented := strings.ReplaceAll(listJSON(42, false, 2, "leaving"), ",", ",\n\n  ")
	news, asked := startDirectory(t, listJSON(41, true, 1, "active"), "\n"+indented+"\n\n"+listJSON(43, false, 3, "active")+"hold")
	expect(t, news)
	if n := expect(t, news); n.Entries[0].Receiver != 2 || n.Entries[0].State != control.Draining {
		t.Errorf("%+v", n)
	}
	if n := expect(t, news); n.Entries[0].Receiver != 3 {
		t.Errorf("%+v", n)
	}
	expectRequests(t, asked, "?stream=1&index=41")
}

// One entry that makes no sense must not cost the others.
func TestBadEntriesAreLeftOut(t *testing.T) {
	one, two := fmt.Sprintf(serverJSON, 1, 1, "active"), fmt.Sprintf(serverJSON, 2, 2, "active")
	for _, c := range [][2]string{{`"s-1"`, `""`}, {"10.1.0.1:8443", "nowhere"}, {"1.5", "-1"},
		{`"cell":3`, `"cell":"x"`}, {"active", "resting"}} {
		l, err := parseList([]byte(`{"version":1,"servers":[` + strings.Replace(one, c[0], c[1], 1) + "," + two + `]}`))
		if err != nil || len(l.entries) != 1 || l.entries[0].ID != "s-2" {
			t.Errorf("%v: %+v %v", c, l, err)
		}
	}
}

// Ids that are gone keep their numbers for a while, as they may come back; but not all of them for ever.
func TestNumbersEnd(t *testing.T) {
	n := newIDAllocator()
	one := func(id string, state string) control.ReceiverID {
		return n.update(&wireList{entries: []wireEntry{{ID: id, State: state}}}).Entries[0].Receiver
	}
	stays, leaves := one("stays", "active"), one("leaves", "active")
	one("leaves", "left")
	if one("leaves", "active") != leaves {
		t.Error("one that comes back has another number")
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
