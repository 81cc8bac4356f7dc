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
	"RequestClasses.0.Name": "safe", "RequestClasses.0.Repeat": "safe",
	"RequestClasses.1.Name": "keyed", "RequestClasses.1.Repeat": "keyed", "RequestClasses.1.Group": "all",
	"RequestClasses.2.Name": "unsafe", "RequestClasses.2.Repeat": "unsafe", "Specifics.MaxCalls": "8",
	"RequestClasses.3.Name": "ordered", "RequestClasses.3.Repeat": "safe", "RequestClasses.3.SerialByKey": "true",
}

func init() {
	for i := range 4 {
		at := fmt.Sprintf("RequestClasses.%d.", i)
		settings[at+"ObjectiveUs"], settings[at+"HardLimitUs"] = "100000", "2000000"
		settings[at+"RepeatWindowUs"], settings[at+"Value"] = "1000000", "1"
	}
}

// harness is a sender with a fake receiver at destination 3 and a notifier that keeps the posted notices.
type harness struct {
	t                *testing.T
	dir              string
	ledgerBytes      int64
	survivePowerLoss bool
	files            vfs.FS
	addr             string
	dialTimeout      time.Duration
	settings         control.Settings
	*Sender
	stop, stopped chan struct{}

	mu      sync.Mutex
	calls   map[string]int
	respond func(id string, w http.ResponseWriter, r *http.Request)
	notices chan *ledger.Notice
}

func newHarness(t *testing.T, respond func(id string, w http.ResponseWriter, r *http.Request)) *harness {
	g := &harness{t: t, dir: t.TempDir(), ledgerBytes: 3e6, dialTimeout: time.Second, settings: settings, files: vfs.OS{}, calls: map[string]int{}, respond: respond,
		notices: make(chan *ledger.Notice, 999)}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) // otherwise the server does not notice that the caller disconnects
		id := r.Header.Get("X-Call-Id")
		g.mu.Lock()
		g.calls[id]++
		g.mu.Unlock()
		g.respond(id, w, r)
	}))
	t.Cleanup(s.Close)
	t.Cleanup(func() { g.kill() })
	g.addr = s.Listener.Addr().String()
	return g
}

func (g *harness) Post(n *ledger.Notice) bool {
	g.notices <- n
	return true
}

// start starts a sender on the content of the ledger folder, as after a restart.
func (g *harness) start() {
	g.t.Helper()
	conf := &config.Config{Settings: g.settings, Limits: config.Limits{MaxCalls: 8, MaxTexts: 50, MailboxSize: 64, MaxBodyBytes: 64 << 10,
		MaxHeaderBytes: 16 << 10, MaxReceiverConns: 64, DialTimeout: g.dialTimeout, ReceiverIdleTimeout: time.Second, AnswerTimeout: 300 * time.Millisecond,
		DrainTimeout: 50 * time.Millisecond}}
	l, err := ledger.Open(g.files, g.dir, ledger.Options{MaxBytes: g.ledgerBytes, PowerLossSafe: g.survivePowerLoss})
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

// kill ends the sender as SIGKILL does: written files remain, and connections break.
func (g *harness) kill() {
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
	go func(s *Sender) { // discards results that still arrive
		for do := range s.mailbox {
			_ = do
		}
	}(g.Sender)
	g.CloseLedger()
	g.Sender = nil
}

func (g *harness) handInText(id, product string, validity time.Duration) Verdict {
	g.t.Helper()
	x := &ledger.Text{ID: id, Product: product, Destination: 3, IdempotencyKey: id, Body: []byte(id),
		ValidUntil: g.now() + protocol.Ticks(validity)}
	if product == "ordered" {
		x.Key = "k"
	}
	return g.handInAndWait(x)
}

// handInAndWait hands in one text and waits for the verdict.
func (g *harness) handInAndWait(x *ledger.Text) Verdict {
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

func (g *harness) nextNotice() *ledger.Notice {
	g.t.Helper()
	select {
	case n := <-g.notices:
		return n
	case <-time.After(5 * time.Second):
		g.t.Fatal("no notice")
	}
	panic("unreachable")
}

func (g *harness) callCount(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.calls[id]
}

// waitFor waits until a condition holds.
func (g *harness) waitFor(failure string, condition func() bool) {
	g.t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			g.t.Fatal(failure)
		}
	}
}

// query runs count in the actor and returns its result.
func (g *harness) query(count func() int) int {
	n := make(chan int)
	g.Enqueue(func() { n <- count() })
	return <-n
}

// heldCount returns how many texts the actor holds.
func (g *harness) heldCount() int { return g.query(func() int { return len(g.texts) }) }

func respondOK(_ string, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }

// neverRespond sends no response until the caller disconnects.
func neverRespond(_ string, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func TestDelivered(t *testing.T) {
	g := newHarness(t, respondOK)
	g.start()
	if v := g.handInText("a", "unsafe", time.Second); v != Accepted {
		t.Fatal(v)
	}
	g.waitFor("the text is still held", func() bool { return g.heldCount() == 0 })
	g.kill()
	g.start()
	if g.heldCount() != 0 || g.callCount("a") != 1 || len(g.notices) > 0 {
		t.Errorf("%d held, %d calls, %d notices", g.heldCount(), g.callCount("a"), len(g.notices))
	}
}

func TestNackAtOnceIsTheOnlyAnswer(t *testing.T) {
	g := newHarness(t, respondOK)
	g.start()
	if v := g.handInText("a", "unsafe", 0); v != Nacked {
		t.Error(v)
	}
	if g.heldCount() != 0 || len(g.notices) > 0 || g.callCount("a") > 0 {
		t.Error("a rejected text had further effects")
	}
}

// A process killed just after a nack must not send the text after its restart: the client has been given it back.
func TestNackIsWrittenBeforeItIsSaid(t *testing.T) {
	g := newHarness(t, respondOK)
	g.start()
	reply := make(chan Answer) // unbuffered: the actor blocks until the answer is received
	defer func() { go func() { <-reply }() }()
	g.HandIn(&ledger.Text{ID: "a", Product: "safe", Destination: 3, ValidUntil: g.now()}, reply)
	g.waitFor("the end is not recorded", func() bool {
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
	for product, nack := range map[string]bool{"safe": true, "keyed": true, "unsafe": false} {
		g := newHarness(t, neverRespond)
		g.start()
		if v := g.handInText("a", product, 200*time.Millisecond); v != Accepted {
			t.Fatal(v)
		}
		if n := g.nextNotice(); n.ID != "a" || n.Nack != nack {
			t.Errorf("%s: %+v", product, n)
		}
		// The notice is pending until the platform has received it, also over restarts.
		g.kill()
		g.start()
		if n := g.nextNotice(); n.ID != "a" || n.Nack != nack {
			t.Errorf("%s: %+v", product, n)
		}
		g.NoticesDelivered([]*ledger.Notice{{ID: "a"}})
		g.heldCount()
		g.kill()
		g.start()
		if len(g.notices) > 0 {
			t.Errorf("%s: notice sent again after it was delivered", product)
		}
		g.kill()
	}
}

// An attempt in flight when the process died may have run: only a text that may be repeated is sent again, and the
// attempts before the restart count.
func TestRestartWithSubmitOut(t *testing.T) {
	for product, calls := range map[string]int{"safe": 4, "keyed": 4, "unsafe": 1} {
		g := newHarness(t, neverRespond)
		g.start()
		g.handInText("a", product, 2*time.Second)
		for n := 1; n <= 6; n++ {
			g.waitFor("no call", func() bool { return g.callCount("a") >= min(n, calls) })
			g.kill()
			g.start()
		}
		if n := g.nextNotice(); n.Nack != (product != "unsafe") || g.callCount("a") != calls {
			t.Errorf("%s: %+v after %d calls, want %d", product, n, g.callCount("a"), calls)
		}
		g.kill()
	}
}

// A receiver recognizes a repeat only within the window of the first attempt that may have run, also after a restart.
func TestRestartKeepsTheRepeatWindow(t *testing.T) {
	g := newHarness(t, neverRespond)
	g.start()
	g.handInText("a", "keyed", 2*time.Second)
	g.waitFor("no call", func() bool { return g.callCount("a") == 1 })
	g.kill()
	time.Sleep(1050 * time.Millisecond)
	g.start()
	if n := g.nextNotice(); !n.Nack || g.callCount("a") != 1 {
		t.Errorf("%+v after %d calls", n, g.callCount("a"))
	}
}

func TestOrderOutlastsARestart(t *testing.T) {
	var mu sync.Mutex
	var order []string
	g := newHarness(t, func(id string, w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		order = append(order, id)
		mu.Unlock()
		w.WriteHeader(http.StatusOK)
	})
	g.start()
	g.UpdateReceivers(directory.Update{Complete: true}) // no receiver is listed, so all texts are held
	for i := range 9 {
		g.handInText(fmt.Sprint(i), "unsafe", 2*time.Second)
	}
	g.kill()
	g.start()
	g.waitFor("not delivered", func() bool { return g.heldCount() == 0 })
	mu.Lock()
	defer mu.Unlock()
	if order[0] != "0" || len(order) != 9 { // the first is sent alone; later ones share the window
		t.Error(order)
	}
}

// One response within a fraction of a millisecond made the sender time out later calls after a few milliseconds, which ended
// texts that must not be repeated: a receiver or process that was busy for some tens of milliseconds lost texts.
func TestOneQuickAnswerEndsNoCall(t *testing.T) {
	g := newHarness(t, func(id string, w http.ResponseWriter, _ *http.Request) {
		if id != "0" {
			<-time.After(40 * time.Millisecond)
		}
	})
	g.start()
	for i := range 4 {
		g.handInText(fmt.Sprint(i), "unsafe", 2*time.Second)
		g.waitFor("the text is still held", func() bool { return g.heldCount() == 0 })
	}
	if counts, ok := g.Status(); !ok || counts.Delivered != 4 || len(g.notices) > 0 {
		t.Errorf("%+v, %d notices", counts, len(g.notices))
	}
}

// A text of a key ended and the next one was sent in the same batch, before the notice: to the platform it was sent while
// the first one was unfinished. Here the notifier holds the notice back, also over a kill, until the test delivers it.
func TestTheNextOfAKeyWaitsForTheNotice(t *testing.T) {
	g := newHarness(t, func(id string, w http.ResponseWriter, r *http.Request) {
		if id == "a" {
			<-r.Context().Done()
		}
	})
	g.survivePowerLoss = true // a call and a notice of one batch wait for the same sync
	g.start()
	g.handInText("a", "ordered", 200*time.Millisecond)
	g.handInText("b", "ordered", 5*time.Second)
	for range 2 {
		n := g.nextNotice() // a has its final answer, and b is now the first of the key
		g.handInText("c", "safe", 5*time.Second)
		g.waitFor("not delivered", func() bool { return g.callCount("c") > 0 && g.heldCount() == 1 }) // everything that may be sent has been
		if n.ID != "a" || n.Key != "k" || g.callCount("b") > 0 {
			t.Errorf("%+v, and %d calls of b", n, g.callCount("b"))
		}
		g.kill()
		g.start()
	}
	g.NoticesDelivered([]*ledger.Notice{g.nextNotice()})
	g.waitFor("not delivered", func() bool { return g.callCount("b") == 1 && g.heldCount() == 0 })
}

// A call that waited for its connection is checked against the updates that arrived in the meantime.
func TestACallThatWaitedHearsOfTheDrain(t *testing.T) {
	g := newHarness(t, neverRespond)
	g.start()
	g.handInText("t1", "safe", 2*time.Second)
	g.waitFor("no call", func() bool { return g.callCount("t1") == 1 })
	before := g.maySend(t.Context(), "t1", 0)
	draining := control.ReceiverEntry{Receiver: 1, Rate: 1000, Destination: 3, Kind: "one", State: control.Draining}
	g.UpdateReceivers(directory.Update{Entries: []directory.Entry{{Addr: g.addr, ReceiverEntry: draining}}})
	if after := g.maySend(t.Context(), "t1", 0); !before || after {
		t.Errorf("may be sent: %v, to a draining receiver: %v", before, after)
	}
}

func TestTextLimitRejects(t *testing.T) {
	g := newHarness(t, neverRespond)
	g.start()
	accepted := 0
	for i := range 60 {
		if g.handInText(fmt.Sprint(i), "safe", 2*time.Second) == Accepted {
			accepted++
		}
	}
	if accepted != 50 {
		t.Errorf("%d accepted", accepted)
	}
	if v := g.handInText("0", "safe", time.Second); v != Accepted {
		t.Error("a held text that is handed in again was not accepted:", v)
	}
}

// With a full ledger folder texts are rejected, and no attempt is sent that a restart would not find recorded.
func TestFullLedgerFolder(t *testing.T) {
	g := newHarness(t, neverRespond)
	g.ledgerBytes = 12 << 10
	g.start()
	var accepted int
	for i := range 30 {
		if g.handInText(fmt.Sprint(i), "safe", 2*time.Second) == Accepted {
			accepted++
		}
	}
	if accepted == 0 || accepted == 30 {
		t.Errorf("%d accepted", accepted)
	}
	g.Enqueue(func() { g.ledger.Close(); os.RemoveAll(g.dir) })
	for i := range 3 {
		if v := g.handInText(fmt.Sprint("x", i), "safe", time.Second); v != Nacked {
			t.Error(v)
		}
	}
}

func TestWithdrawn(t *testing.T) {
	disconnected := make(chan bool, 1)
	g := newHarness(t, func(_ string, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done(); disconnected <- true })
	g.start()
	x := &ledger.Text{ID: "a", Product: "safe", Destination: 3, Body: []byte("b"), ValidUntil: g.now() + 20000}
	reply := make(chan Answer, 1)
	g.HandIn(x, reply)
	g.waitFor("no call", func() bool { return g.callCount("a") == 1 })
	g.Withdraw(x)
	select {
	case <-disconnected:
	case <-time.After(time.Second):
		t.Error("the call was not cancelled")
	}
	if g.heldCount() != 0 || len(g.notices) > 0 {
		t.Error("it is still held or has a notice")
	}
}

func TestStopping(t *testing.T) {
	release := make(chan bool)
	g := newHarness(t, func(_ string, w http.ResponseWriter, _ *http.Request) { <-release; w.WriteHeader(http.StatusOK) })
	g.start()
	for i := range 12 { // more than the limit on calls in flight
		g.handInText(fmt.Sprint(i), "safe", 2*time.Second)
	}
	g.Stop()
	g.heldCount()
	select {
	case <-g.Idle():
		t.Fatal("idle with calls in flight")
	default:
	}
	g.StopSending()
	g.heldCount()
	close(release)
	select {
	case <-g.Idle():
	case <-time.After(time.Second):
		t.Fatal("not idle")
	}
	if n := g.heldCount(); n == 0 {
		t.Error("calls were sent after StopSending")
	}
}

// With receivers that behave at random and repeated kills, every accepted text ends, and unsafe ones run at most once.
func TestRestartsAtRandom(t *testing.T) {
	var mu sync.Mutex
	rng := rand.New(rand.NewSource(7))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.Intn(n)
	}
	ran, delivered := map[string]int{}, map[string]bool{}
	g := newHarness(t, func(id string, w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(draw(8)) * time.Millisecond)
		mu.Lock()
		x := rng.Intn(8)
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
	products := []string{"safe", "keyed", "unsafe"}
	accepted := map[string]string{}
	for round := range 12 {
		g.start()
		for i := range 5 {
			id, p := fmt.Sprint(round, "-", i), products[draw(3)]
			if g.handInText(id, p, 1500*time.Millisecond) == Accepted {
				accepted[id] = p
			}
			time.Sleep(time.Duration(draw(10)) * time.Millisecond)
		}
		g.kill()
	}
	g.start()
	g.waitFor("texts remain held", func() bool { return g.heldCount() == 0 })
	notified := map[string]bool{}
	for len(g.notices) > 0 {
		notified[(<-g.notices).ID] = true
	}
	mu.Lock()
	defer mu.Unlock()
	for id, p := range accepted {
		if !delivered[id] && !notified[id] {
			t.Errorf("%s %s has no final answer", p, id)
		}
		if p == "unsafe" && ran[id] > 1 {
			t.Errorf("%s ran %d times", id, ran[id])
		}
	}
	if len(accepted) < 10 || len(delivered) < 3 {
		t.Errorf("%d accepted, %d delivered", len(accepted), len(delivered))
	}
}

// A new receiver of another destination appears at the address of one that is still listed: calls for the old one must
// not reach it.
func TestAReusedAddressIsTheNewOnes(t *testing.T) {
	g := newHarness(t, respondOK)
	g.start()
	update := func(hosts ...directory.Entry) {
		g.UpdateReceivers(directory.Update{Entries: hosts})
	}
	entry := func(id control.ReceiverID, dest int64, l control.ReceiverState, addr string) directory.Entry {
		return directory.Entry{Addr: addr, ReceiverEntry: control.ReceiverEntry{Receiver: id, Rate: 1000, Destination: dest, Kind: "one", State: l}}
	}
	update(entry(2, 4, control.Up, g.addr))
	update(entry(1, 3, control.Draining, g.addr)) // a late update of the old one
	if v := g.handInText("a", "safe", 200*time.Millisecond); v != Accepted {
		t.Fatal(v)
	}
	if g.nextNotice(); g.callCount("a") > 0 {
		t.Error("sent to another destination's receiver")
	}
	reply := make(chan Answer, 1)
	g.HandIn(&ledger.Text{ID: "b", Product: "safe", Destination: 4, ValidUntil: g.now() + control.Second}, reply)
	g.waitFor("nothing is sent to the new receiver", func() bool { return g.callCount("b") == 1 })
	update(entry(1, 3, control.Up, "127.0.0.1:1"), entry(2, 4, control.Removed, g.addr))
	n := make(chan [2]int)
	if g.Enqueue(func() { n <- [2]int{len(g.entries), len(g.receiverAt)} }); <-n != [2]int{1, 1} {
		t.Error("receivers other than the listed one are kept")
	}
}

// A text rejected for its destination is not recorded, and the ID of a text that waits for its answer is not accepted as a
// second text: both hand-ins get the answer of the one text.
func TestRefusedBeforeAnythingIsKept(t *testing.T) {
	g := newHarness(t, respondOK)
	g.start()
	x := &ledger.Text{ID: "a", Product: "safe", Destination: 99, Body: make([]byte, 60000), ValidUntil: g.now() + control.Second}
	reply := make(chan Answer, 2)
	if g.HandIn(x, reply); (<-reply).Verdict != Nacked {
		t.Error("accepted for an unknown destination")
	}
	if found, _, _, err := ledger.Inspect(vfs.OS{}, g.dir); err != nil || found.Records > 0 || g.heldCount() > 0 {
		t.Error(found, err)
	}
	first, second := make(chan Answer, 1), make(chan Answer, 1)
	b := &ledger.Text{ID: "b", Product: "safe", Destination: 3, ValidUntil: g.now() + control.Second}
	g.Enqueue(func() { g.Sender.handIn(b, first); c := *b; g.Sender.handIn(&c, second) })
	if a, b := <-first, <-second; a.Verdict != Accepted || b.Verdict != Accepted {
		t.Error(a, b)
	}
	g.waitFor("the text is still held", func() bool { return g.heldCount() == 0 })
	if g.callCount("b") != 1 {
		t.Errorf("%d calls", g.callCount("b"))
	}
}

// If the ledger must survive a power loss, no effect precedes the sync of its records: while the sync fails, texts are
// rejected, nothing is sent, and final answers are still given.
func TestNoEffectBeforeTheSync(t *testing.T) {
	g := newHarness(t, respondOK)
	m := memfs.New()
	var broken, syncs atomic.Int64
	m.Hook = func(c memfs.Call) memfs.Fault {
		if c.Op == "sync" {
			syncs.Add(1)
			if broken.Load() == 1 {
				time.Sleep(50 * time.Millisecond) // time for a premature effect to show
				return memfs.Fault{Err: syscall.EIO}
			}
		}
		return memfs.Fault{}
	}
	g.files, g.survivePowerLoss = m, true
	g.start()
	if v := g.handInText("a", "safe", 2*time.Second); v != Accepted {
		t.Fatal(v)
	}
	g.waitFor("no call", func() bool { return g.callCount("a") == 1 })
	g.waitFor("the text is still held", func() bool { return g.heldCount() == 0 })
	broken.Store(1)
	if v := g.handInText("b", "safe", 2*time.Second); v != Nacked {
		t.Error(v)
	}
	broken.Store(0)
	before := syncs.Load()
	replies := make(chan Answer, 30)
	g.Enqueue(func() { // one batch
		for i := range 30 {
			g.Sender.handIn(&ledger.Text{ID: fmt.Sprint("c", i), Product: "safe", Destination: 3, ValidUntil: g.now() + control.Second}, replies)
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
	g.waitFor("the text is still held", func() bool { return g.heldCount() == 0 })
	if g.callCount("b") != 0 {
		t.Error("b was rejected and sent")
	}
}

// The clock is set back between two starts: how long ago a text may have run is then unknown, so a text that must not run
// twice after its repeat window is not sent again, and no text is held for longer than its client waits.
func TestClockSetBackBetweenStarts(t *testing.T) {
	g := newHarness(t, respondOK)
	l, err := ledger.Open(vfs.OS{}, g.dir, ledger.Options{MaxBytes: 3e6})
	if err != nil {
		t.Fatal(err)
	}
	later := protocol.UnixTicks(time.Now()) + 3600*control.Second
	for id, product := range map[string]string{"a": "keyed", "b": "safe"} {
		l.RecordAccepted(&ledger.Text{ID: id, Product: product, Destination: 3, AcceptedAt: later, ValidUntil: later + 2*control.Second})
		l.RecordAttempt(id, later, "")
	}
	l.Close()
	g.start()
	if n := g.nextNotice(); n.ID != "a" || g.callCount("a") != 0 {
		t.Errorf("%+v after %d calls", n, g.callCount("a"))
	}
	g.waitFor("b is not sent", func() bool { return g.callCount("b") == 1 })
	g.waitFor("b is held for an hour", func() bool { return g.heldCount() == 0 })
}

// An event arrives at the moment a wake is due: control plans with it and asks for its next wake, once, before the timer's
// channel is read. If that wake is lost, a held text ends only at the next event, perhaps too late.
func TestAWakeAskedForWhileOneIsDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Sender{startedAt: time.Now(), wakeTimer: time.NewTimer(time.Hour)}
		s.WakeAt(s.now()+control.Second, 1)
		time.Sleep(protocol.Duration(control.Second))
		next := s.now() + control.Second
		s.WakeAt(next, 2)
		s.WakeAt(next+control.Second, 3) // a later one changes nothing
		if <-s.wakeTimer.C; s.now() != next {
			t.Errorf("woken %s away from the requested time", protocol.Duration(s.now()-next))
		}
	})
}

// The changes since the last line are logged once, at most once per interval, and only if there are any.
func TestCountsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		before := slog.Default()
		defer slog.SetDefault(before)
		slog.SetDefault(slog.New(slog.NewTextHandler(&out, nil)))
		s := &Sender{receivers: receivers.New(config.Limits{}, nil)}
		s.LogCounts(time.Second)
		s.counts.Accepted, s.counts.Attempts = 3, 4
		s.counts.record(control.Result{Outcome: control.Refused, ConnLimitReached: true})
		s.logCountsIfDue()
		time.Sleep(time.Second)
		s.logCountsIfDue()
		time.Sleep(time.Second)
		s.logCountsIfDue()
		s.counts.Delivered = 2
		s.logCountsIfDue()
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		if len(lines) != 2 || !strings.Contains(lines[0], "taken=3 refused=0 delivered=0 nacked=0 undeliverable=0 submits=4 full=1 crowded=1") ||
			!strings.Contains(lines[1], "taken=0 refused=0 delivered=2 ") {
			t.Errorf("logged:\n%s", out.String())
		}
	})
}

// After the switch to other settings, the announced delays and the observed history of a receiver still apply; values that
// depend on the old fleet do not.
func TestHistoryAfterASwitchOfSettings(t *testing.T) {
	newSettings := maps.Clone(settings)
	maps.Copy(newSettings, control.Settings{"Instances": "200", "RegistryMode": "ask", "Contract.FallUs": "1500000", "Contract.RampTimeUs": "12000000",
		"RequestClasses.0.Name": "status-update", "RequestClasses.0.ObjectiveUs": "1000000", "RequestClasses.0.HardLimitUs": "5000000"})
	at := func(addr string, id control.ReceiverID, dest int64) directory.Entry {
		return directory.Entry{Addr: addr, ReceiverEntry: control.ReceiverEntry{Receiver: id, Rate: 5, Destination: dest, Kind: "one"}}
	}
	host := at("127.0.0.1:9", 1, 3)
	start := func(set control.Settings, histories []warmstart.Receiver, h directory.Entry) *Sender {
		conf := &config.Config{Settings: set, Limits: config.Limits{MaxCalls: 8, MaxTexts: 50, MailboxSize: 64}}
		l, err1 := ledger.Open(memfs.New(), "d", ledger.Options{MaxBytes: 3e6})
		s, err2 := New(conf, l, receivers.New(conf.Limits, nil))
		if err := errors.Join(err1, err2); err != nil {
			t.Fatal(err)
		}
		s.RestoreHistory(histories)
		s.LoadReceivers(directory.Update{Complete: true, Entries: []directory.Entry{h}})
		return s
	}
	before := start(settings, nil, host)
	before.control.HandleArrival(control.Arrival{ID: "a", Product: "safe", Destination: 3, TimeLeft: 2 * control.Second})
	before.texts["a"] = &heldText{Text: &ledger.Text{ID: "a"}}
	before.control.Schedule() // nothing listens at the address: the result is set here
	before.control.HandleResult("a", 0, control.Result{Outcome: control.Refused, RetryAfter: 2 * control.Second, Report: []float64{0.9, 50}})
	savedAt, histories := before.History()
	if len(histories) != 1 || histories[0].Addr != host.Addr || histories[0].RetryAfterUntil != histories[0].RefusedAt+2*control.Second+1 {
		t.Fatalf("%+v", histories)
	}
	histories[0].RecoveredAt = savedAt // and it has just recovered

	for _, c := range []struct {
		name     string
		host     directory.Entry
		restored bool
	}{
		{"the same under another ID", at(host.Addr, 8, 3), true},
		{"the address is another destination's now", at(host.Addr, 1, 4), false},
		{"another address", at("127.0.0.1:10", 1, 3), false},
	} {
		s := start(newSettings, histories, c.host)
		_, now := s.History()
		i := slices.IndexFunc(now, func(r warmstart.Receiver) bool { return r.Addr == c.host.Addr && r.Destination == c.host.Destination })
		if retryAfter, recovered := now[i].RetryAfterUntil == histories[0].RetryAfterUntil, now[i].RecoveredAt == savedAt; retryAfter != c.restored || recovered != c.restored {
			t.Errorf("%s: the Retry-After delay is known: %v, the recovery: %v", c.name, retryAfter, recovered)
		}
		if dropped := !slices.ContainsFunc(now, func(r warmstart.Receiver) bool { return r.Addr == host.Addr && r.Destination == 3 }); dropped != (c.host.Destination == 4) {
			t.Errorf("%s: dropped: %v", c.name, dropped)
		}
	}
}
