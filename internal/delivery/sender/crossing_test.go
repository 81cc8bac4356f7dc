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

// again is the same hand-in once more, as a client sends it whose connection ended under its request.
func again(x *ledger.Text) *ledger.Text {
	return &ledger.Text{ID: x.ID, Product: x.Product, Destination: 3, Body: []byte("b"), ValidUntil: x.ValidUntil}
}

func (g *rig) text(id, product string) *ledger.Text {
	return &ledger.Text{ID: id, Product: product, Destination: 3, Body: []byte("b"), ValidUntil: g.now() + 2*control.Second}
}

// A hand-in comes once more on a new connection and is told that the text is taken on; only then is the first found to
// have had no answer. The text was owed to the second, and was withdrawn with the first.
func TestWithdrawnAfterItCameAgain(t *testing.T) {
	release := make(chan bool)
	g := newRig(t, func(_ string, w http.ResponseWriter, _ *http.Request) { <-release })
	g.start()
	first := g.text("a", "once")
	second, third := again(first), again(first)
	for _, x := range []*ledger.Text{first, second, third} {
		if v := g.handed(x); v != Accepted {
			t.Fatal(v)
		}
	}
	g.Withdraw(first)
	g.Withdraw(third)
	if g.holds() != 1 {
		t.Error("the text is gone")
	}
	g.until("no call", func() bool { return g.called("a") == 1 })
	close(release)
	g.until("it stays held", func() bool { return g.holds() == 0 })
	if g.called("a") != 1 || len(g.notices) > 0 {
		t.Errorf("%d calls, %d notices", g.called("a"), len(g.notices))
	}
	// Where none has heard, nobody owns it.
	fourth := g.text("b", "free")
	fifth := again(fourth)
	g.Enqueue(func() { g.Sender.hand(fourth, make(chan Answer, 1)); g.Sender.hand(fifth, make(chan Answer, 1)) })
	g.Withdraw(fourth)
	g.Withdraw(fifth)
	g.until("a text is kept that nobody wants", func() bool { return g.holds() == 0 })
}

// A process that stops knows that a call has not left: what must not run twice is still sent after the start.
func TestStoppedWhileAConnectionIsMade(t *testing.T) {
	g := newRig(t, ok)
	there := g.addr
	g.addr, g.dial = fullListener(t), time.Minute
	g.set = maps.Clone(settings) // calls may take long
	g.set["RequestClasses.2.ObjectiveUs"], g.set["RequestClasses.2.HardLimitUs"] = "100000000", "200000000"
	g.start()
	g.hand("a", "once", time.Minute)
	out := func() int { return g.asks(func() int { return g.counts.InFlight }) }
	g.until("no call", func() bool { return out() == 1 })
	g.StopSending()
	g.until("a call that cannot leave stays out", func() bool { return out() == 0 })
	g.kill()
	g.addr = there
	g.start()
	g.until("it is not sent after the start", func() bool { return g.called("a") == 1 })
	if len(g.notices) > 0 {
		t.Errorf("%+v", <-g.notices)
	}
}

// fullListener is a place to which no further connection comes up, and none is refused.
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
	t.Fatal("it takes every connection")
	return ""
}

// A process ends while the answer to a call stands in the actor's mailbox: it is heard, and nothing is sent again.
func TestStoppedWithAnAnswerInTheMailbox(t *testing.T) {
	release := make(chan bool)
	g := newRig(t, func(_ string, w http.ResponseWriter, _ *http.Request) { <-release })
	g.start()
	g.hand("a", "free", time.Minute)
	g.until("no call", func() bool { return g.called("a") == 1 })
	s, stand, on := g.Sender, make(chan bool), make(chan bool)
	g.Enqueue(func() { s.later = append(s.later, func() { stand <- true; <-on }) }) // within a settle, after the mailbox was read
	<-stand
	close(release)
	g.until("no answer", func() bool { return len(s.mail) > 0 })
	close(g.stop)
	on <- true
	<-g.stopped
	g.CloseLedger()
	g.Sender = nil
	g.start()
	if g.holds() != 0 || g.called("a") != 1 {
		t.Errorf("%d held, %d calls", g.holds(), g.called("a"))
	}
}

// A text is withdrawn and its id comes again while its call is still out: that call's end was taken for the new one's.
func TestTheIDOfACallThatIsOut(t *testing.T) {
	g := newRig(t, silent)
	g.start()
	first := g.text("a", "once")
	if v := g.handed(first); v != Accepted {
		t.Fatal(v)
	}
	g.until("no call", func() bool { return g.called("a") == 1 })
	reply := make(chan Answer, 1)
	g.Enqueue(func() { // in one step, so that the end of the call comes after it
		g.Sender.withdraw(g.texts["a"])
		g.Sender.hand(again(first), reply)
	})
	if a := <-reply; a.Verdict != Nacked {
		t.Errorf("%v while a call of that id is out", a)
	}
	left := func() int { return len(g.left) }
	g.until("the call that was called off is not over", func() bool { return g.asks(left) == 0 })
	if g.called("a") != 1 || len(g.notices) > 0 || g.holds() > 0 {
		t.Errorf("%d calls, %d notices, %d held", g.called("a"), len(g.notices), g.holds())
	}
	if v := g.handed(again(first)); v != Accepted { // all of it is over
		t.Error(v)
	}
}

// The id of a text that has its end comes once more: nothing is sent for it again, and its notice ends nothing else.
func TestTheIDOfATextThatIsOver(t *testing.T) {
	g := newRig(t, ok)
	g.start()
	x := g.text("a", "once")
	g.handed(x)
	g.until("it stays held", func() bool { return g.holds() == 0 })
	if v := g.handed(again(x)); v != Accepted || g.holds() > 0 || g.called("a") != 1 {
		t.Errorf("%v, %d held, %d calls", v, g.holds(), g.called("a"))
	}
	g.mu.Lock()
	g.answer = silent
	g.mu.Unlock()
	y := g.text("b", "once")
	y.ValidUntil = g.now() + control.Second/5
	g.handed(y)
	g.notice() // it is owed, over a restart too
	for range 2 {
		if v := g.handed(again(y)); v != Accepted || g.holds() > 0 || g.called("b") != 1 {
			t.Errorf("%v, %d held, %d calls", v, g.holds(), g.called("b"))
		}
		g.kill()
		g.start()
	}
}
