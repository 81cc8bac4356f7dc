package storeclient_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"emberquay/internal/tier/controlstate"
	"emberquay/internal/tier/storeclient"
	"emberquay/internal/tier/storewire"
)

// These tests run in synctest bubbles, where time advances only while all goroutines are blocked: durations are exact.

var ctx = context.Background()

func turn(id, root, previous string) storeclient.Turn {
	return storeclient.Turn{ID: id, Root: root, Previous: previous, Input: []byte("in " + id + ";"), Output: []byte("out " + id + "\n"),
		Retention: time.Minute}
}

func reservation(id string) storeclient.Reservation {
	return storeclient.Reservation{Program: "p", Turn: id, BudgetTokens: 10, MaxTokens: 6}
}

// timed runs f and returns how long it took.
func timed(f func()) time.Duration {
	start := time.Now()
	f()
	return time.Since(start)
}

func TestCommitGoesToTheNextInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFakeStores(3)
		c := f.newClient("s0", view, 0)
		defer c.Close()
		f.withStore("s0", func(s *fakeStore) { s.hangs = true })
		first := timed(func() { g.Expect(c.Commit(ctx, turn("a", "", ""))).To(Succeed()) })
		g.Expect(first).To(Equal(150 * time.Millisecond))
		f.withStore("s1", func(s *fakeStore) { g.Expect(s.turns).To(HaveKey("a")) })
		f.withStore("s2", func(s *fakeStore) { g.Expect(s.turns).To(HaveKey("a")) })
	})
}

func TestCommitTriesUntilTheContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFakeStores(3)
		c := f.newClient("s0", view, 0)
		defer c.Close()
		for _, name := range []string{"s0", "s1"} {
			f.withStore(name, func(s *fakeStore) { s.fails = true })
		}
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		g.Expect(c.Commit(short, turn("a", "", ""))).To(MatchError(context.DeadlineExceeded))
		f.withStore("s1", func(s *fakeStore) { s.fails = false })
		g.Expect(c.Commit(ctx, turn("a", "", ""))).To(Succeed())
		f.withStore("s0", func(s *fakeStore) {
			g.Expect(s.calls).To(BeNumerically("<", 40), "it waits between two tries")
		})
	})
}

func TestCommitCountsStoresOfTheNewerViewOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFakeStores(4)
		old := view
		old.Members = view.Members[:3]
		c := f.newClient("s0", old, 0)
		defer c.Close()
		for _, name := range []string{"s1", "s2"} {
			f.withStore(name, func(s *fakeStore) { s.hangs = true })
		}
		done := make(chan error, 1)
		go func() { done <- c.Commit(ctx, turn("a", "", "")) }()
		synctest.Wait()
		// The only store that has confirmed is replaced by another one.
		newer := controlstate.StoreView{Epoch: 2, Tolerance: 1, Members: view.Members[1:]}
		f.withStore("s1", func(s *fakeStore) { s.hangs = false })
		c.SetView(newer)
		g.Expect(<-done).To(Succeed())
		f.withStore("s1", func(s *fakeStore) { g.Expect(s.turns).To(HaveKey("a")) })
		f.withStore("s3", func(s *fakeStore) { g.Expect(s.turns).To(HaveKey("a")) })
	})
}

func TestCommitTakesTheViewFromAStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFakeStores(3)
		c := f.newClient("s0", view, 0)
		defer c.Close()
		newer := storewire.ViewOf(view)
		newer.Epoch = 5
		newer.Members = newer.Members[1:]
		f.withStore("s0", func(s *fakeStore) { s.status, s.view = storewire.StaleView, newer })
		g.Expect(c.Commit(ctx, turn("a", "", ""))).To(Succeed())
		f.withStore("s0", func(s *fakeStore) { g.Expect(s.turns).To(BeEmpty()) })
	})
}

func TestNothingIsDecidedWithoutStores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFakeStores(3)
		c := storeclient.New(storeclient.Options{Caller: f, Zone: "s0"})
		defer c.Close()
		g.Expect(timed(func() { g.Expect(c.Reserve(ctx, reservation("1"))).To(Equal(storeclient.Undecided)) })).
			To(Equal(600 * time.Millisecond))
		_, verdict := c.History(ctx, "a")
		g.Expect(verdict).To(Equal(storeclient.Unavailable))
		go func() {
			time.Sleep(100 * time.Millisecond)
			c.SetView(view)
		}()
		g.Expect(c.Reserve(ctx, reservation("2"))).To(Equal(storeclient.Granted), "the view arrived in time")
	})
}

func TestHistoryAsksOthersWhereTheOwnZoneHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFakeStores(3)
		c := f.newClient("s0", view, 0)
		defer c.Close()
		g.Expect(c.Commit(ctx, turn("a", "", ""))).To(Succeed())
		f.withStore("s0", func(s *fakeStore) { s.hangs = true })
		other := f.newClient("s0", view, 0)
		defer other.Close()
		elapsed := timed(func() {
			history, verdict := other.History(ctx, "a")
			g.Expect(verdict).To(Equal(storeclient.Found))
			g.Expect(string(history.Body)).To(Equal("in a;out a\n"))
		})
		g.Expect(elapsed).To(Equal(30 * time.Millisecond))
		_, verdict := other.History(ctx, "unknown")
		g.Expect(verdict).To(Equal(storeclient.Missing), "two answers of three stores are enough")
	})
}

func TestHistoryIsUnavailableAfterASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFakeStores(3)
		c := f.newClient("s0", view, 0)
		defer c.Close()
		f.withStore("s1", func(s *fakeStore) { s.hangs = true })
		f.withStore("s2", func(s *fakeStore) { s.incomplete = true })
		elapsed := timed(func() {
			_, verdict := c.History(ctx, "a")
			g.Expect(verdict).To(Equal(storeclient.Unavailable))
		})
		g.Expect(elapsed).To(Equal(time.Second))
	})
}

func TestHistoryDoesNotTakeAKnownTurnForMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFakeStores(3)
		c := f.newClient("s0", view, 0)
		defer c.Close()
		// An incomplete store holds the turn; the two others do not.
		f.withStore("s2", func(s *fakeStore) {
			s.incomplete = true
			s.turns["a"] = storewire.Turn{ID: "a", Root: "a", Input: []byte("x")}
		})
		f.withStore("s0", func(s *fakeStore) { s.hangs = true })
		history, verdict := c.History(ctx, "a")
		g.Expect(verdict).To(Equal(storeclient.Found))
		g.Expect(string(history.Body)).To(Equal("x"))
	})
}

func TestReserveTakesASecondRoundWhereOneHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFakeStores(3)
		c := f.newClient("s0", view, 0)
		defer c.Close()
		f.withStore("s2", func(s *fakeStore) { s.hangs = true })
		g.Expect(c.Reserve(ctx, reservation("1"))).To(Equal(storeclient.Granted))
		f.withStore("s0", func(s *fakeStore) { g.Expect(s.calls).To(Equal(2)) })
		f.withStore("s2", func(s *fakeStore) { s.hangs = false })
		before := 0
		f.withStore("s0", func(s *fakeStore) { before = s.calls })
		g.Expect(c.Reserve(ctx, reservation("2"))).To(Equal(storeclient.Granted))
		f.withStore("s0", func(s *fakeStore) { g.Expect(s.calls).To(Equal(before+1), "one round suffices if all answer") })
	})
}

func TestReserveWithdrawsWhatIsNotGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFakeStores(3)
		c := f.newClient("s0", view, 0)
		defer c.Close()
		f.withStore("s1", func(s *fakeStore) { s.hangs = true })
		f.withStore("s2", func(s *fakeStore) { s.fails = true })
		g.Expect(c.Reserve(ctx, reservation("1"))).To(Equal(storeclient.Undecided))
		time.Sleep(50 * time.Millisecond)
		f.withStore("s0", func(s *fakeStore) {
			g.Expect(s.ledger.Report(0, true).Entries).To(HaveLen(1))
			g.Expect(s.ledger.Report(0, true).Entries[0].Open).To(BeFalse())
		})
	})
}

func TestSettlementsAreGatheredAndRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFakeStores(3)
		c := f.newClient("s0", view, 0)
		defer c.Close()
		f.withStore("s2", func(s *fakeStore) { s.fails = true })
		for at := range 5 {
			c.Settle("p", fmt.Sprint(at), 2)
		}
		time.Sleep(100 * time.Millisecond)
		f.withStore("s0", func(s *fakeStore) {
			g.Expect(s.settleCalls).To(Equal(1))
			g.Expect(s.ledger.SettledTokens()).To(Equal(int64(10)))
		})
		f.withStore("s2", func(s *fakeStore) { s.fails = false })
		time.Sleep(2 * time.Second)
		f.withStore("s2", func(s *fakeStore) { g.Expect(s.ledger.SettledTokens()).To(Equal(int64(10))) })
	})
}

func TestSettlementsEndAfterTenSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFakeStores(3)
		c := f.newClient("s0", view, 0)
		defer c.Close()
		f.withStore("s2", func(s *fakeStore) { s.hangs = true })
		c.Settle("p", "1", 2)
		time.Sleep(20 * time.Second)
		before := 0
		f.withStore("s2", func(s *fakeStore) { s.hangs, before = false, s.calls })
		time.Sleep(20 * time.Second)
		f.withStore("s2", func(s *fakeStore) { g.Expect(s.calls).To(Equal(before)) })
	})
}

func TestCloseSendsWhatIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFakeStores(3)
		c := f.newClient("s0", view, 0)
		c.Settle("p", "1", 2)
		c.Close()
		f.withStore("s1", func(s *fakeStore) { g.Expect(s.ledger.SettledTokens()).To(Equal(int64(2))) })
		c.Settle("p", "2", 2)
	})
}

func TestTheCacheIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFakeStores(3)
		c := f.newClient("s0", view, 10_000)
		defer c.Close()
		for conversation := range 3 {
			previous := ""
			for at := range 4 {
				next := turn(fmt.Sprintf("%d-%d", conversation, at), fmt.Sprintf("%d-0", conversation), previous)
				next.Input = make([]byte, 600)
				g.Expect(c.Commit(ctx, next)).To(Succeed())
				previous = next.ID
			}
		}
		calls := func() (sum int) {
			for name := range f.stores {
				f.withStore(name, func(s *fakeStore) { sum += s.calls })
			}
			return sum
		}
		before := calls()
		_, verdict := c.History(ctx, "2-3")
		g.Expect(verdict).To(Equal(storeclient.Found))
		_, verdict = c.History(ctx, "0-0")
		g.Expect(verdict).To(Equal(storeclient.Found), "the latest turns of the oldest conversation are evicted first")
		g.Expect(calls()).To(Equal(before), "both were cached")
		history, verdict := c.History(ctx, "0-3")
		g.Expect(verdict).To(Equal(storeclient.Found))
		g.Expect(history.Body).To(HaveLen(4 * (600 + len("out 0-0\n"))))
		g.Expect(calls()).To(BeNumerically(">", before))
	})
}

func TestConversationKeepsItsHomeZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFakeStores(5)
		first := f.newClient("s1", view, 0)
		defer first.Close()
		g.Expect(first.Commit(ctx, turn("a", "", ""))).To(Succeed())
		other := f.newClient("s4", view, 0)
		defer other.Close()
		_, verdict := other.History(ctx, "a")
		g.Expect(verdict).To(Equal(storeclient.Found))
		g.Expect(other.Commit(ctx, turn("b", "a", "a"))).To(Succeed())
		for _, s := range f.stores {
			g.Expect(s.turns).To(Or(BeEmpty(), HaveLen(2)), "all turns of a conversation are at the same stores")
		}
		f.withStore("s1", func(s *fakeStore) { g.Expect(s.turns).To(HaveLen(2)) })
	})
}
