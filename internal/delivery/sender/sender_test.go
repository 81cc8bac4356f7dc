package sender

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"emberquay/control"
	"emberquay/internal/delivery/config"
	"emberquay/internal/delivery/directory"
	"emberquay/internal/delivery/ledger"
	"emberquay/internal/delivery/protocol"
	"emberquay/internal/delivery/receivers"
	"emberquay/internal/delivery/warmstart"
	"emberquay/internal/vfs"
	"emberquay/internal/vfs/memfs"
)

var settings = control.Settings{
	"Contract.ColdFrom": "0.2", "Contract.FallMultiple": "2.0", "Contract.FallUs": "100000", "Instances": "1",
	"Contract.RampTimeUs": "200000", "Kinds": "one", "Permissions.MayCancel": "true", "Permissions.TryLimit": "4",
	"Permissions.RetryAfter": "true", "Permissions.MaxRetryAfterUs": "3000000", "RequestClasses.count": "4",
	"RequestClasses.0.Name": "free", "RequestClasses.0.Repeat": "safe",
	"RequestClasses.1.Name": "marked", "RequestClasses.1.Repeat": "keyed", "RequestClasses.1.Group": "all",
	"RequestClasses.2.Name": "once", "RequestClasses.2.Repeat": "unsafe", "Specifics.MaxCalls": "8",
	"RequestClasses.3.Name": "queued", "RequestClasses.3.Repeat": "safe", "RequestClasses.3.SerialByKey": "true",
}

func init() {
	for i := range 4 {
		at := fmt.Sprintf("RequestClasses.%d.", i)
		settings[at+"ObjectiveUs"], settings[at+"HardLimitUs"] = "100000", "2000000"
		settings[at+"RepeatWindowUs"], settings[at+"Value"] = "1000000", "1"
	}
}

// rig is a sender with a stand-in receiver of destination 3 and a desk that keeps what is posted.
type rig struct {
	t     *testing.T
	dir   string
	disk  int64
	power bool
	files vfs.FS
	addr  string
	dial  time.Duration
	set   control.Settings
	*Sender
	stop, stopped chan struct{}

	mu      sync.Mutex
	calls   map[string]int
	answer  func(id string, w http.ResponseWriter, r *http.Request)
	notices chan *ledger.Notice
}

func newRig(t *testing.T, answer func(id string, w http.ResponseWriter, r *http.Request)) *rig {
	g := &rig{t: t, dir: t.TempDir(), disk: 3e6, dial: time.Second, set: settings, files: vfs.OS{}, calls: map[string]int{}, answer: answer,
		notices: make(chan *ledger.Notice, 999)}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) // else the server does not see that the caller goes
		id := r.Header.Get("X-Call-Id")
		g.mu.Lock()
		g.calls[id]++
		g.mu.Unlock()
		g.answer(id, w, r)
	}))
	t.Cleanup(s.Close)
	t.Cleanup(func() { g.kill() })
	g.addr = s.Listener.Addr().String()
	return g
}

func (g *rig) Post(n *ledger.Notice) bool {
	g.notices <- n
	return true
}

// start starts a sender on what the folder holds, as after a restart.
func (g *rig) start() {
	g.t.Helper()
	conf := &config.Config{Settings: g.set, Limits: config.Limits{MaxCalls: 8, MaxTexts: 50, MailboxSize: 64, MaxBodyBytes: 64 << 10,
		MaxHeaderBytes: 16 << 10, MaxReceiverConns: 64, DialTimeout: g.dial, ReceiverIdleTimeout: time.Second, AnswerTimeout: 300 * time.Millisecond,
		DrainTimeout: 50 * time.Millisecond}}
	l, err := ledger.Open(g.files, g.dir, ledger.Options{MaxBytes: g.disk, PowerLossSafe: g.power})
	if err != nil {
		g.t.Fatal(err)
	}
	if g.Sender, err = New(conf, l, receivers.New(conf.Limits, nil)); err != nil {
		g.t.Fatal(err)
	}
	g.LoadReceivers(directory.Update{Complete: true, Entries: []directory.Entry{{Addr: g.addr,
		ReceiverEntry: control.ReceiverEntry{Receiver: 1, Rate: 1000, Destination: 3, Kind: "one"}}}})
	g.Recover(g)
	g.stop, g.stopped = make(chan struct{}), make(chan struct{})
	go func(s *Sender, stop, stopped chan struct{}) {
		defer close(stopped)
		s.Run(stop)
	}(g.Sender, g.stop, g.stopped)
}

// kill ends the sender as SIGKILL does: what is in the file stays, and connections break.
func (g *rig) kill() {
	if g.Sender == nil {
		return
	}
	close(g.stop)
	<-g.stopped
	for _, h := range g.texts {
		if h.call != nil {
			h.call.Cancel()
		}
	}
	go func(s *Sender) { // results that still come are for nobody
		for do := range s.mail {
			_ = do
		}
	}(g.Sender)
	g.CloseLedger()
	g.Sender = nil
}

func (g *rig) hand(id, product string, left time.Duration) Verdict {
	g.t.Helper()
	x := &ledger.Text{ID: id, Product: product, Destination: 3, IdempotencyKey: id, Body: []byte(id),
		ValidUntil: g.now() + protocol.Ticks(left)}
	if product == "queued" {
		x.Key = "k"
	}
	return g.handed(x)
}

// handed hands one text in and waits for the verdict.
func (g *rig) handed(x *ledger.Text) Verdict {
	g.t.Helper()
	reply := make(chan Answer, 1)
	if !g.HandIn(x, reply) {
		g.t.Fatal("the mailbox is full")
	}
	select {
	case a := <-reply:
		return a.Verdict
	case <-time.After(3 * time.Second):
		g.t.Fatal("no answer")
	}
	panic("unreachable")
}

func (g *rig) notice() *ledger.Notice {
	g.t.Helper()
	select {
	case n := <-g.notices:
		return n
	case <-time.After(5 * time.Second):
		g.t.Fatal("no notice")
	}
	panic("unreachable")
}

func (g *rig) called(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.calls[id]
}

// until waits for what must come true.
func (g *rig) until(what string, is func() bool) {
	g.t.Helper()
	for end := time.Now().Add(5 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			g.t.Fatal(what)
		}
	}
}

// asks has the actor count something.
func (g *rig) asks(count func() int) int {
	n := make(chan int)
	g.Enqueue(func() { n <- count() })
	return <-n
}

// holds asks the actor how many texts it holds.
func (g *rig) holds() int { return g.asks(func() int { return len(g.texts) }) }

func ok(_ string, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// silent answers nothing until the caller goes.
func silent(_ string, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func TestDelivered(t *testing.T) {
	g := newRig(t, ok)
	g.start()
	if v := g.hand("a", "once", time.Second); v != Accepted {
		t.Fatal(v)
	}
	g.until("it stays held", func() bool { return g.holds() == 0 })
	g.kill()
	g.start()
	if g.holds() != 0 || g.called("a") != 1 || len(g.notices) > 0 {
		t.Errorf("%d held, %d calls, %d notices", g.holds(), g.called("a"), len(g.notices))
	}
}

func TestNackAtOnceIsTheAnswer(t *testing.T) {
	g := newRig(t, ok)
	g.start()
	if v := g.hand("a", "once", 0); v != Nacked {
		t.Error(v)
	}
	if g.holds() != 0 || len(g.notices) > 0 || g.called("a") > 0 {
		t.Error("more came of it")
	}
}

// A process killed just after a nack must not send the text at its next start: the client has it back.
func TestNackIsWrittenBeforeItIsSaid(t *testing.T) {
	g := newRig(t, ok)
	g.start()
	reply := make(chan Answer) // the actor stands still until the answer is taken
	defer func() { go func() { <-reply }() }()
	g.HandIn(&ledger.Text{ID: "a", Product: "free", Destination: 3, ValidUntil: g.now()}, reply)
	g.until("the end is not written", func() bool {
		found, owed, _, err := ledger.Inspect(vfs.OS{}, g.dir)
		if err != nil {
			t.Fatal(err)
		}
		return found.Records > 1 && len(owed) == 0
	})
	if a := <-reply; a.Verdict != Nacked {
		t.Error(a)
	}
}

func TestLaterEndsAreNotices(t *testing.T) {
	for product, nack := range map[string]bool{"free": true, "marked": true, "once": false} {
		g := newRig(t, silent)
		g.start()
		if v := g.hand("a", product, 200*time.Millisecond); v != Accepted {
			t.Fatal(v)
		}
		if n := g.notice(); n.ID != "a" || n.Nack != nack {
			t.Errorf("%s: %+v", product, n)
		}
		// The notice is owed until it has arrived, over restarts too.
		g.kill()
		g.start()
		if n := g.notice(); n.ID != "a" || n.Nack != nack {
			t.Errorf("%s: %+v", product, n)
		}
		g.NoticesDelivered([]*ledger.Notice{{ID: "a"}})
		g.holds()
		g.kill()
		g.start()
		if len(g.notices) > 0 {
			t.Errorf("%s: told, and told again", product)
		}
		g.kill()
	}
}

// What was out when the process died may have run: only what may be repeated goes again, and the tries of
// before the restart count.
func TestRestartWithSubmitOut(t *testing.T) {
	for product, calls := range map[string]int{"free": 4, "marked": 4, "once": 1} {
		g := newRig(t, silent)
		g.start()
		g.hand("a", product, 2*time.Second)
		for n := 1; n <= 6; n++ {
			g.until("no call", func() bool { return g.called("a") >= min(n, calls) })
			g.kill()
			g.start()
		}
		if n := g.notice(); n.Nack != (product != "once") || g.called("a") != calls {
			t.Errorf("%s: %+v after %d calls, want %d", product, n, g.called("a"), calls)
		}
		g.kill()
	}
}

// A repeat is known only within the window of the first submit that may have run, whoever restarts.
func TestRestartKeepsTheWindow(t *testing.T) {
	g := newRig(t, silent)
	g.start()
	g.hand("a", "marked", 2*time.Second)
	g.until("no call", func() bool { return g.called("a") == 1 })
	g.kill()
	time.Sleep(1050 * time.Millisecond)
	g.start()
	if n := g.notice(); !n.Nack || g.called("a") != 1 {
		t.Errorf("%+v after %d calls", n, g.called("a"))
	}
}

func TestOrderOutlastsARestart(t *testing.T) {
	var mu sync.Mutex
	var order []string
	g := newRig(t, func(id string, w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		order = append(order, id)
		mu.Unlock()
		w.WriteHeader(http.StatusOK)
	})
	g.start()
	g.UpdateReceivers(directory.Update{Complete: true}) // none is listed, so all are held
	for i := range 9 {
		g.hand(fmt.Sprint(i), "once", 2*time.Second)
	}
	g.kill()
	g.start()
	g.until("not delivered", func() bool { return g.holds() == 0 })
	mu.Lock()
	defer mu.Unlock()
	if order[0] != "0" || len(order) != 9 { // the first goes alone; later ones share the window
		t.Error(order)
	}
}

// One answer within a fraction of a millisecond had the calls after it given up after a few, and what may not be repeated
// ended so: a receiver or a process that is busy for some tens of milliseconds lost texts.
func TestOneQuickAnswerEndsNoCall(t *testing.T) {
	g := newRig(t, func(id string, w http.ResponseWriter, _ *http.Request) {
		if id != "0" {
			<-time.After(40 * time.Millisecond)
		}
	})
	g.start()
	for i := range 4 {
		g.hand(fmt.Sprint(i), "once", 2*time.Second)
		g.until("answered", func() bool { return g.holds() == 0 })
	}
	if counts, ok := g.Status(); !ok || counts.Delivered != 4 || len(g.notices) > 0 {
		t.Errorf("%+v, %d notices", counts, len(g.notices))
	}
}

// A text of a key was given up and the next one left in the same moment, ahead of the notice: the platform saw it sent
// while the first was not over. Here the desk keeps the notice, over a kill too, until the test lets it arrive.
func TestTheNextOfAKeyWaitsForTheNotice(t *testing.T) {
	g := newRig(t, func(id string, w http.ResponseWriter, r *http.Request) {
		if id == "a" {
			<-r.Context().Done()
		}
	})
	g.power = true // a call and a notice of one batch wait for the same sync
	g.start()
	g.hand("a", "queued", 200*time.Millisecond)
	g.hand("b", "queued", 5*time.Second)
	for range 2 {
		n := g.notice() // a has its end, and b is the first of the key
		g.hand("c", "free", 5*time.Second)
		g.until("not delivered", func() bool { return g.called("c") > 0 && g.holds() == 1 }) // what may go has gone
		if n.ID != "a" || n.Key != "k" || g.called("b") > 0 {
			t.Errorf("%+v, and %d calls of b", n, g.called("b"))
		}
		g.kill()
		g.start()
	}
	g.NoticesDelivered([]*ledger.Notice{g.notice()})
	g.until("not delivered", func() bool { return g.called("b") == 1 && g.holds() == 0 })
}

// What waited for its connection is asked about with the news of meanwhile.
func TestACallThatWaitedHearsOfTheDrain(t *testing.T) {
	g := newRig(t, silent)
	g.start()
	g.hand("t1", "free", 2*time.Second)
	g.until("out", func() bool { return g.called("t1") == 1 })
	before := g.still(t.Context(), "t1", 0)
	drains := control.ReceiverEntry{Receiver: 1, Rate: 1000, Destination: 3, Kind: "one", State: control.Draining}
	g.UpdateReceivers(directory.Update{Entries: []directory.Entry{{Addr: g.addr, ReceiverEntry: drains}}})
	if after := g.still(t.Context(), "t1", 0); !before || after {
		t.Errorf("it may leave: %v, and for a receiver that drains: %v", before, after)
	}
}

func TestCapsRefuse(t *testing.T) {
	g := newRig(t, silent)
	g.start()
	taken := 0
	for i := range 60 {
		if g.hand(fmt.Sprint(i), "free", 2*time.Second) == Accepted {
			taken++
		}
	}
	if taken != 50 {
		t.Errorf("%d taken", taken)
	}
	if v := g.hand("0", "free", time.Second); v != Accepted {
		t.Error("a text that is held and comes again is taken on already:", v)
	}
}

// A folder without room must refuse, and no submit may go out that a restart would not know of.
func TestFullFolder(t *testing.T) {
	g := newRig(t, silent)
	g.disk = 12 << 10
	g.start()
	var taken int
	for i := range 30 {
		if g.hand(fmt.Sprint(i), "free", 2*time.Second) == Accepted {
			taken++
		}
	}
	if taken == 0 || taken == 30 {
		t.Errorf("%d taken", taken)
	}
	g.Enqueue(func() { g.ledger.Close(); os.RemoveAll(g.dir) })
	for i := range 3 {
		if v := g.hand(fmt.Sprint("x", i), "free", time.Second); v != Nacked {
			t.Error(v)
		}
	}
}

func TestWithdrawn(t *testing.T) {
	gone := make(chan bool, 1)
	g := newRig(t, func(_ string, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done(); gone <- true })
	g.start()
	x := &ledger.Text{ID: "a", Product: "free", Destination: 3, Body: []byte("b"), ValidUntil: g.now() + 20000}
	reply := make(chan Answer, 1)
	g.HandIn(x, reply)
	g.until("no call", func() bool { return g.called("a") == 1 })
	g.Withdraw(x)
	select {
	case <-gone:
	case <-time.After(time.Second):
		t.Error("the call goes on")
	}
	if g.holds() != 0 || len(g.notices) > 0 {
		t.Error("it is still owed something")
	}
}

func TestStopping(t *testing.T) {
	release := make(chan bool)
	g := newRig(t, func(_ string, w http.ResponseWriter, _ *http.Request) { <-release; w.WriteHeader(http.StatusOK) })
	g.start()
	for i := range 12 { // more than there are slots
		g.hand(fmt.Sprint(i), "free", 2*time.Second)
	}
	g.Stop()
	g.holds()
	select {
	case <-g.Idle():
		t.Fatal("idle with calls out")
	default:
	}
	g.StopSending()
	g.holds()
	close(release)
	select {
	case <-g.Idle():
	case <-time.After(time.Second):
		t.Fatal("not idle")
	}
	if n := g.holds(); n == 0 {
		t.Error("calls went out after the freeze")
	}
}

// Receivers do anything, and the sender dies again and again: every text ends once, once-only ones run once.
func TestRestartsAtRandom(t *testing.T) {
	var mu sync.Mutex
	chance := rand.New(rand.NewSource(7))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return chance.Intn(n)
	}
	ran, delivered := map[string]int{}, map[string]bool{}
	g := newRig(t, func(id string, w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(draw(8)) * time.Millisecond)
		mu.Lock()
		x := chance.Intn(8)
		if x < 6 {
			ran[id]++
		}
		mu.Unlock()
		switch x {
		case 0:
			<-r.Context().Done()
		case 1:
			panic(http.ErrAbortHandler)
		case 2:
			w.WriteHeader(http.StatusInternalServerError)
		case 6:
			w.Header().Set("X-Retry-In-Ms", "3")
			w.WriteHeader(http.StatusTooManyRequests)
		case 7:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			w.WriteHeader(http.StatusOK)
			mu.Lock()
			delivered[id] = true
			mu.Unlock()
		}
	})
	products := []string{"free", "marked", "once"}
	taken := map[string]string{}
	for round := range 12 {
		g.start()
		for i := range 5 {
			id, p := fmt.Sprint(round, "-", i), products[draw(3)]
			if g.hand(id, p, 1500*time.Millisecond) == Accepted {
				taken[id] = p
			}
			time.Sleep(time.Duration(draw(10)) * time.Millisecond)
		}
		g.kill()
	}
	g.start()
	g.until("texts stay held", func() bool { return g.holds() == 0 })
	told := map[string]bool{}
	for len(g.notices) > 0 {
		told[(<-g.notices).ID] = true
	}
	mu.Lock()
	defer mu.Unlock()
	for id, p := range taken {
		if !delivered[id] && !told[id] {
			t.Errorf("%s %s has no end", p, id)
		}
		if p == "once" && ran[id] > 1 {
			t.Errorf("%s ran %d times", id, ran[id])
		}
	}
	if len(taken) < 10 || len(delivered) < 3 {
		t.Errorf("%d taken, %d delivered", len(taken), len(delivered))
	}
}

// A new receiver of another destination comes at the address of one that the list still names: what is for the
// old one must not reach it.
func TestAReusedAddressIsTheNewOnes(t *testing.T) {
	g := newRig(t, ok)
	g.start()
	list := func(hosts ...directory.Entry) {
		g.UpdateReceivers(directory.Update{Entries: hosts})
	}
	entry := func(id control.ReceiverID, dest int64, l control.ReceiverState, addr string) directory.Entry {
		return directory.Entry{Addr: addr, ReceiverEntry: control.ReceiverEntry{Receiver: id, Rate: 1000, Destination: dest, Kind: "one", State: l}}
	}
	list(entry(2, 4, control.Up, g.addr))
	list(entry(1, 3, control.Draining, g.addr)) // late news of the old one
	if v := g.hand("a", "free", 200*time.Millisecond); v != Accepted {
		t.Fatal(v)
	}
	if g.notice(); g.called("a") > 0 {
		t.Error("sent to what is another's")
	}
	reply := make(chan Answer, 1)
	g.HandIn(&ledger.Text{ID: "b", Product: "free", Destination: 4, ValidUntil: g.now() + control.Second}, reply)
	g.until("the new one gets nothing", func() bool { return g.called("b") == 1 })
	list(entry(1, 3, control.Up, "127.0.0.1:1"), entry(2, 4, control.Removed, g.addr))
	n := make(chan [2]int)
	if g.Enqueue(func() { n <- [2]int{len(g.listed), len(g.at)} }); <-n != [2]int{1, 1} {
		t.Error("more than the one that is listed is kept")
	}
}

// What is refused for its destination leaves no trace, and the id of a text that waits for its answer is not
// taken on a second time: both hand-ins hear of the one text.
func TestRefusedBeforeAnythingIsKept(t *testing.T) {
	g := newRig(t, ok)
	g.start()
	x := &ledger.Text{ID: "a", Product: "free", Destination: 99, Body: make([]byte, 60000), ValidUntil: g.now() + control.Second}
	reply := make(chan Answer, 2)
	if g.HandIn(x, reply); (<-reply).Verdict != Nacked {
		t.Error("taken on for a destination that does not exist")
	}
	if found, _, _, err := ledger.Inspect(vfs.OS{}, g.dir); err != nil || found.Records > 0 || g.holds() > 0 {
		t.Error(found, err)
	}
	first, second := make(chan Answer, 1), make(chan Answer, 1)
	b := &ledger.Text{ID: "b", Product: "free", Destination: 3, ValidUntil: g.now() + control.Second}
	g.Enqueue(func() { g.Sender.hand(b, first); c := *b; g.Sender.hand(&c, second) })
	if a, b := <-first, <-second; a.Verdict != Accepted || b.Verdict != Accepted {
		t.Error(a, b)
	}
	g.until("it stays held", func() bool { return g.holds() == 0 })
	if g.called("b") != 1 {
		t.Errorf("%d calls", g.called("b"))
	}
}

// Kept so that it outlasts the loss of power, nothing leaves before the sync that it rests on: while the disk's sync
// fails texts are refused, nothing is submitted, and what is over is still told.
func TestNothingLeavesBeforeItIsSynced(t *testing.T) {
	g := newRig(t, ok)
	m := memfs.New()
	var broken, syncs atomic.Int64
	m.Hook = func(c memfs.Call) memfs.Fault {
		if c.Op == "sync" {
			syncs.Add(1)
			if broken.Load() == 1 {
				time.Sleep(50 * time.Millisecond) // what leaves too early would get through
				return memfs.Fault{Err: syscall.EIO}
			}
		}
		return memfs.Fault{}
	}
	g.files, g.power = m, true
	g.start()
	if v := g.hand("a", "free", 2*time.Second); v != Accepted {
		t.Fatal(v)
	}
	g.until("no call", func() bool { return g.called("a") == 1 })
	g.until("not over", func() bool { return g.holds() == 0 })
	broken.Store(1)
	if v := g.hand("b", "free", 2*time.Second); v != Nacked {
		t.Error(v)
	}
	broken.Store(0)
	before := syncs.Load()
	replies := make(chan Answer, 30)
	g.Enqueue(func() { // one batch
		for i := range 30 {
			g.Sender.hand(&ledger.Text{ID: fmt.Sprint("c", i), Product: "free", Destination: 3, ValidUntil: g.now() + control.Second}, replies)
		}
	})
	for range 30 {
		if a := <-replies; a.Verdict != Accepted {
			t.Error(a)
		}
	}
	if n := syncs.Load() - before; n > 10 {
		t.Errorf("%d syncs for a batch of 30", n)
	}
	g.until("not over", func() bool { return g.holds() == 0 })
	if g.called("b") != 0 {
		t.Error("b was refused and sent")
	}
}

// The clock was put back between two starts: how long ago a text may have run is not known, so what must not run twice
// past its window is not sent again, and nothing is held for longer than its client waits.
func TestClockPutBack(t *testing.T) {
	g := newRig(t, ok)
	l, err := ledger.Open(vfs.OS{}, g.dir, ledger.Options{MaxBytes: 3e6})
	if err != nil {
		t.Fatal(err)
	}
	later := protocol.UnixTicks(time.Now()) + 3600*control.Second
	for id, product := range map[string]string{"a": "marked", "b": "free"} {
		l.RecordAccepted(&ledger.Text{ID: id, Product: product, Destination: 3, AcceptedAt: later, ValidUntil: later + 2*control.Second})
		l.RecordAttempt(id, later, "")
	}
	l.Close()
	g.start()
	if n := g.notice(); n.ID != "a" || g.called("a") != 0 {
		t.Errorf("%+v after %d calls", n, g.called("a"))
	}
	g.until("b is not sent", func() bool { return g.called("b") == 1 })
	g.until("b is held for an hour", func() bool { return g.holds() == 0 })
}

// News comes in the moment in which a wake is due: the module plans with it and asks for its next wake, once, before the
// timer is heard. If that one is lost, a text that is held ends only when something else happens, perhaps too late.
func TestAWakeAskedForWhileOneIsDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Sender{began: time.Now(), timer: time.NewTimer(time.Hour)}
		s.WakeAt(s.now()+control.Second, 1)
		time.Sleep(protocol.Duration(control.Second))
		next := s.now() + control.Second
		s.WakeAt(next, 2)
		s.WakeAt(next+control.Second, 3) // a later one changes nothing
		if <-s.timer.C; s.now() != next {
			t.Errorf("woken %s from the wake that was asked for", protocol.Duration(s.now()-next))
		}
	})
}

// What a sender has done since its last line is told once, at most so often, and only if there is something to tell.
func TestWhatWasDoneIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		before := slog.Default()
		defer slog.SetDefault(before)
		slog.SetDefault(slog.New(slog.NewTextHandler(&out, nil)))
		s := &Sender{fleet: receivers.New(config.Limits{}, nil)}
		s.LogCounts(time.Second)
		s.counts.Accepted, s.counts.Attempts = 3, 4
		s.counts.add(control.Result{Outcome: control.Refused, ConnLimitReached: true})
		s.count()
		time.Sleep(time.Second)
		s.count()
		time.Sleep(time.Second)
		s.count()
		s.counts.Delivered = 2
		s.count()
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		if len(lines) != 2 || !strings.Contains(lines[0], "taken=3 refused=0 delivered=0 nacked=0 undeliverable=0 submits=4 full=1 crowded=1") ||
			!strings.Contains(lines[1], "taken=0 refused=0 delivered=2 ") {
			t.Errorf("told:\n%s", out.String())
		}
	})
}

// The first seconds after the switch to a deployment of another shape: what was told and what was seen of a receiver
// still holds, the readings of the fleet that is left do not.
func TestTheFirstSecondsAfterTheSwitch(t *testing.T) {
	moved := maps.Clone(settings)
	maps.Copy(moved, control.Settings{"Instances": "200", "RegistryMode": "ask", "Contract.FallUs": "1500000", "Contract.RampTimeUs": "12000000",
		"RequestClasses.0.Name": "status-update", "RequestClasses.0.ObjectiveUs": "1000000", "RequestClasses.0.HardLimitUs": "5000000"})
	at := func(addr string, id control.ReceiverID, dest int64) directory.Entry {
		return directory.Entry{Addr: addr, ReceiverEntry: control.ReceiverEntry{Receiver: id, Rate: 5, Destination: dest, Kind: "one"}}
	}
	host := at("127.0.0.1:9", 1, 3)
	start := func(set control.Settings, kept []warmstart.Receiver, h directory.Entry) *Sender {
		conf := &config.Config{Settings: set, Limits: config.Limits{MaxCalls: 8, MaxTexts: 50, MailboxSize: 64}}
		l, err1 := ledger.Open(memfs.New(), "d", ledger.Options{MaxBytes: 3e6})
		s, err2 := New(conf, l, receivers.New(conf.Limits, nil))
		if err := errors.Join(err1, err2); err != nil {
			t.Fatal(err)
		}
		s.RestoreHistory(kept)
		s.LoadReceivers(directory.Update{Complete: true, Entries: []directory.Entry{h}})
		return s
	}
	before := start(settings, nil, host)
	before.module.HandleArrival(control.Arrival{ID: "a", Product: "free", Destination: 3, TimeLeft: 2 * control.Second})
	before.texts["a"] = &held{Text: &ledger.Text{ID: "a"}}
	before.module.Schedule() // the receiver is one that nobody is at: what it tells comes from here
	before.module.HandleResult("a", 0, control.Result{Outcome: control.Refused, RetryAfter: 2 * control.Second, Report: []float64{0.9, 50}})
	learntAt, kept := before.History()
	if len(kept) != 1 || kept[0].Addr != host.Addr || kept[0].RetryAfterUntil != kept[0].RefusedAt+2*control.Second+1 {
		t.Fatalf("%+v", kept)
	}
	kept[0].RecoveredAt = learntAt // and it came back just now

	for _, c := range []struct {
		name string
		host directory.Entry
		told bool
	}{
		{"the same under another number", at(host.Addr, 8, 3), true},
		{"the address is another destination's now", at(host.Addr, 1, 4), false},
		{"another address", at("127.0.0.1:10", 1, 3), false},
	} {
		s := start(moved, kept, c.host)
		_, now := s.History()
		i := slices.IndexFunc(now, func(r warmstart.Receiver) bool { return r.Addr == c.host.Addr && r.Destination == c.host.Destination })
		if wait, cold := now[i].RetryAfterUntil == kept[0].RetryAfterUntil, now[i].RecoveredAt == learntAt; wait != c.told || cold != c.told {
			t.Errorf("%s: the told wait is known: %v, that it is cold: %v", c.name, wait, cold)
		}
		if gone := !slices.ContainsFunc(now, func(r warmstart.Receiver) bool { return r.Addr == host.Addr && r.Destination == 3 }); gone != (c.host.Destination == 4) {
			t.Errorf("%s: forgotten: %v", c.name, gone)
		}
	}
}
