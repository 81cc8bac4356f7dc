package sender

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"emberquay/control"
	"emberquay/internal/delivery/ledger"
)

// duplicate returns the same hand-in again, as a client repeats it whose connection ended during its request.
func duplicate(x *ledger.Text) *ledger.Text {
	return &ledger.Text{ID: x.ID, Product: x.Product, Destination: 3, Body: []byte("b"), ValidUntil: x.ValidUntil}
}

func (g *harness) newText(id, product string) *ledger.Text {
	return &ledger.Text{ID: id, Product: product, Destination: 3, Body: []byte("b"), ValidUntil: g.now() + 2*control.Second}
}

// A client repeats a hand-in on a new connection and is told that the text is accepted; only then does the first
// connection turn out to have ended without an answer. Withdrawing the first hand-in must not withdraw the text.
func TestWithdrawnAfterItCameAgain(t *testing.T) {
	release := make(chan bool)
	g := newHarness(t, func(_ string, w http.ResponseWriter, _ *http.Request) { <-release })
	g.start()
	first := g.newText("a", "unsafe")
	second, third := duplicate(first), duplicate(first)
	for _, x := range []*ledger.Text{first, second, third} {
		if v := g.handInAndWait(x); v != Accepted {
			t.Fatal(v)
		}
	}
	g.Withdraw(first)
	g.Withdraw(third)
	if g.heldCount() != 1 {
		t.Error("the text is no longer held")
	}
	g.waitFor("no call", func() bool { return g.callCount("a") == 1 })
	close(release)
	g.waitFor("the text is still held", func() bool { return g.heldCount() == 0 })
	if g.callCount("a") != 1 || len(g.notices) > 0 {
		t.Errorf("%d calls, %d notices", g.callCount("a"), len(g.notices))
	}
	// If no hand-in was answered, the last withdrawal removes the text.
	fourth := g.newText("b", "safe")
	fifth := duplicate(fourth)
	g.Enqueue(func() { g.Sender.handIn(fourth, make(chan Answer, 1)); g.Sender.handIn(fifth, make(chan Answer, 1)) })
	g.Withdraw(fourth)
	g.Withdraw(fifth)
	g.waitFor("a text is held after all its hand-ins were withdrawn", func() bool { return g.heldCount() == 0 })
}

// A stopping process records that a call was never sent: a text that must not run twice is then sent after the restart.
func TestStoppedWhileAConnectionIsMade(t *testing.T) {
	g := newHarness(t, respondOK)
	listening := g.addr
	g.addr, g.dialTimeout = fullListener(t), time.Minute
	g.settings = maps.Clone(settings) // long time limits
	g.settings["RequestClasses.2.ObjectiveUs"], g.settings["RequestClasses.2.HardLimitUs"] = "100000000", "200000000"
	g.start()
	g.handInText("a", "unsafe", time.Minute)
	inFlight := func() int { return g.query(func() int { return g.counts.InFlight }) }
	g.waitFor("no call", func() bool { return inFlight() == 1 })
	g.StopSending()
	g.waitFor("a call that cannot be sent stays in flight", func() bool { return inFlight() == 0 })
	g.kill()
	g.addr = listening
	g.start()
	g.waitFor("it is not sent after the restart", func() bool { return g.callCount("a") == 1 })
	if len(g.notices) > 0 {
		t.Errorf("%+v", <-g.notices)
	}
}

// fullListener returns an address at which new connections are neither established nor refused.
func fullListener(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	at, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", at.(*syscall.SockaddrInet4).Port)
	for range 16 {
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("the listener accepts every connection")
	return ""
}

// A process stops while the result of a call is in the actor's mailbox: it is processed, and nothing is sent again.
func TestStoppedWithAnAnswerInTheMailbox(t *testing.T) {
	release := make(chan bool)
	g := newHarness(t, func(_ string, w http.ResponseWriter, _ *http.Request) { <-release })
	g.start()
	g.handInText("a", "safe", time.Minute)
	g.waitFor("no call", func() bool { return g.callCount("a") == 1 })
	s, paused, resume := g.Sender, make(chan bool), make(chan bool)
	g.Enqueue(func() { s.deferred = append(s.deferred, func() { paused <- true; <-resume }) }) // in finishBatch, after the mailbox was read
	<-paused
	close(release)
	g.waitFor("no result", func() bool { return len(s.mailbox) > 0 })
	close(g.stop)
	resume <- true
	<-g.stopped
	g.CloseLedger()
	g.Sender = nil
	g.start()
	if g.heldCount() != 0 || g.callCount("a") != 1 {
		t.Errorf("%d held, %d calls", g.heldCount(), g.callCount("a"))
	}
}

// A text is withdrawn and its ID is handed in again while its call is in flight: the result of that call must not be taken
// for one of the new text.
func TestTheIDOfACallThatIsOut(t *testing.T) {
	g := newHarness(t, neverRespond)
	g.start()
	first := g.newText("a", "unsafe")
	if v := g.handInAndWait(first); v != Accepted {
		t.Fatal(v)
	}
	g.waitFor("no call", func() bool { return g.callCount("a") == 1 })
	reply := make(chan Answer, 1)
	g.Enqueue(func() { // in one step, so that the call ends after it
		g.Sender.withdraw(g.texts["a"])
		g.Sender.handIn(duplicate(first), reply)
	})
	if a := <-reply; a.Verdict != Nacked {
		t.Errorf("%v while a call of that ID is in flight", a)
	}
	withdrawnInFlight := func() int { return len(g.withdrawnInFlight) }
	g.waitFor("the cancelled call has not ended", func() bool { return g.query(withdrawnInFlight) == 0 })
	if g.callCount("a") != 1 || len(g.notices) > 0 || g.heldCount() > 0 {
		t.Errorf("%d calls, %d notices, %d held", g.callCount("a"), len(g.notices), g.heldCount())
	}
	if v := g.handInAndWait(duplicate(first)); v != Accepted { // the call has ended
		t.Error(v)
	}
}

// The ID of a text with a final answer is handed in again: nothing is sent again, and its notice does not end another text.
func TestTheIDOfATextThatIsOver(t *testing.T) {
	g := newHarness(t, respondOK)
	g.start()
	x := g.newText("a", "unsafe")
	g.handInAndWait(x)
	g.waitFor("the text is still held", func() bool { return g.heldCount() == 0 })
	if v := g.handInAndWait(duplicate(x)); v != Accepted || g.heldCount() > 0 || g.callCount("a") != 1 {
		t.Errorf("%v, %d held, %d calls", v, g.heldCount(), g.callCount("a"))
	}
	g.mu.Lock()
	g.respond = neverRespond
	g.mu.Unlock()
	y := g.newText("b", "unsafe")
	y.ValidUntil = g.now() + control.Second/5
	g.handInAndWait(y)
	g.nextNotice() // it stays pending, also over a restart
	for range 2 {
		if v := g.handInAndWait(duplicate(y)); v != Accepted || g.heldCount() > 0 || g.callCount("b") != 1 {
			t.Errorf("%v, %d held, %d calls", v, g.heldCount(), g.callCount("b"))
		}
		g.kill()
		g.start()
	}
}
