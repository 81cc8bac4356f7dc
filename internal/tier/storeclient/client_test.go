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

// These tests run in a bubble of synctest, whose time passes only where all of them wait: nothing is slow in them, and
// the times that they look at are exact.

var ctx = context.Background()

func turn(id, root, previous string) storeclient.Turn {
	return storeclient.Turn{ID: id, Root: root, Previous: previous, Input: []byte("in " + id + ";"), Output: []byte("out " + id + "\n"),
		Retention: time.Minute}
}

func reservation(id string) storeclient.Reservation {
	return storeclient.Reservation{Program: "p", Turn: id, BudgetTokens: 10, MaxTokens: 6}
}

// took runs something and tells how long it took.
func took(f func()) time.Duration {
	start := time.Now()
	f()
	return time.Since(start)
}

func TestCommitGoesToTheNextInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFake(3)
		c := f.client("s0", view, 0)
		defer c.Close()
		f.with("s0", func(s *fakeStore) { s.hangs = true })
		first := took(func() { g.Expect(c.Commit(ctx, turn("a", "", ""))).To(Succeed()) })
		g.Expect(first).To(Equal(150 * time.Millisecond))
		f.with("s1", func(s *fakeStore) { g.Expect(s.turns).To(HaveKey("a")) })
		f.with("s2", func(s *fakeStore) { g.Expect(s.turns).To(HaveKey("a")) })
	})
}

func TestCommitTriesUntilTheContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFake(3)
		c := f.client("s0", view, 0)
		defer c.Close()
		for _, name := range []string{"s0", "s1"} {
			f.with(name, func(s *fakeStore) { s.fails = true })
		}
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		g.Expect(c.Commit(short, turn("a", "", ""))).To(MatchError(context.DeadlineExceeded))
		f.with("s1", func(s *fakeStore) { s.fails = false })
		g.Expect(c.Commit(ctx, turn("a", "", ""))).To(Succeed())
		f.with("s0", func(s *fakeStore) {
			g.Expect(s.calls).To(BeNumerically("<", 40), "it pauses between two tries")
		})
	})
}

func TestCommitCountsStoresOfTheNewerViewOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFake(4)
		old := view
		old.Members = view.Members[:3]
		c := f.client("s0", old, 0)
		defer c.Close()
		for _, name := range []string{"s1", "s2"} {
			f.with(name, func(s *fakeStore) { s.hangs = true })
		}
		done := make(chan error, 1)
		go func() { done <- c.Commit(ctx, turn("a", "", "")) }()
		synctest.Wait()
		// The one store that has confirmed is replaced by another.
		newer := controlstate.StoreView{Epoch: 2, Tolerance: 1, Members: view.Members[1:]}
		f.with("s1", func(s *fakeStore) { s.hangs = false })
		c.SetView(newer)
		g.Expect(<-done).To(Succeed())
		f.with("s1", func(s *fakeStore) { g.Expect(s.turns).To(HaveKey("a")) })
		f.with("s3", func(s *fakeStore) { g.Expect(s.turns).To(HaveKey("a")) })
	})
}

func TestCommitTakesTheViewFromAStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFake(3)
		c := f.client("s0", view, 0)
		defer c.Close()
		newer := storewire.ViewOf(view)
		newer.Epoch = 5
		newer.Members = newer.Members[1:]
		f.with("s0", func(s *fakeStore) { s.standing, s.view = storewire.StaleView, newer })
		g.Expect(c.Commit(ctx, turn("a", "", ""))).To(Succeed())
		f.with("s0", func(s *fakeStore) { g.Expect(s.turns).To(BeEmpty()) })
	})
}

func TestNothingIsDecidedWithoutStores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFake(3)
		c := storeclient.New(storeclient.Options{Caller: f, Zone: "s0"})
		defer c.Close()
		g.Expect(took(func() { g.Expect(c.Reserve(ctx, reservation("1"))).To(Equal(storeclient.Undecided)) })).
			To(Equal(600 * time.Millisecond))
		_, verdict := c.History(ctx, "a")
		g.Expect(verdict).To(Equal(storeclient.Unavailable))
		go func() {
			time.Sleep(100 * time.Millisecond)
			c.SetView(view)
		}()
		g.Expect(c.Reserve(ctx, reservation("2"))).To(Equal(storeclient.Granted), "the view came in time")
	})
}

func TestHistoryAsksOthersWhereTheOwnZoneHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFake(3)
		c := f.client("s0", view, 0)
		defer c.Close()
		g.Expect(c.Commit(ctx, turn("a", "", ""))).To(Succeed())
		f.with("s0", func(s *fakeStore) { s.hangs = true })
		other := f.client("s0", view, 0)
		defer other.Close()
		span := took(func() {
			history, verdict := other.History(ctx, "a")
			g.Expect(verdict).To(Equal(storeclient.Found))
			g.Expect(string(history.Body)).To(Equal("in a;out a\n"))
		})
		g.Expect(span).To(Equal(30 * time.Millisecond))
		_, verdict := other.History(ctx, "unheard")
		g.Expect(verdict).To(Equal(storeclient.Missing), "two of three are enough")
	})
}

func TestHistoryIsUnsureInASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFake(3)
		c := f.client("s0", view, 0)
		defer c.Close()
		f.with("s1", func(s *fakeStore) { s.hangs = true })
		f.with("s2", func(s *fakeStore) { s.incomplete = true })
		span := took(func() {
			_, verdict := c.History(ctx, "a")
			g.Expect(verdict).To(Equal(storeclient.Unavailable))
		})
		g.Expect(span).To(Equal(time.Second))
	})
}

func TestHistoryDoesNotTakeAKnownTurnForMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFake(3)
		c := f.client("s0", view, 0)
		defer c.Close()
		// An incomplete store holds it; the two others don't.
		f.with("s2", func(s *fakeStore) {
			s.incomplete = true
			s.turns["a"] = storewire.Turn{ID: "a", Root: "a", Input: []byte("x")}
		})
		f.with("s0", func(s *fakeStore) { s.hangs = true })
		history, verdict := c.History(ctx, "a")
		g.Expect(verdict).To(Equal(storeclient.Found))
		g.Expect(string(history.Body)).To(Equal("x"))
	})
}

func TestReserveTakesASecondRoundWhereOneHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFake(3)
		c := f.client("s0", view, 0)
		defer c.Close()
		f.with("s2", func(s *fakeStore) { s.hangs = true })
		g.Expect(c.Reserve(ctx, reservation("1"))).To(Equal(storeclient.Granted))
		f.with("s0", func(s *fakeStore) { g.Expect(s.calls).To(Equal(2)) })
		f.with("s2", func(s *fakeStore) { s.hangs = false })
		before := 0
		f.with("s0", func(s *fakeStore) { before = s.calls })
		g.Expect(c.Reserve(ctx, reservation("2"))).To(Equal(storeclient.Granted))
		f.with("s0", func(s *fakeStore) { g.Expect(s.calls).To(Equal(before+1), "one round of all is enough") })
	})
}

func TestReserveWithdrawsWhatIsNotGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFake(3)
		c := f.client("s0", view, 0)
		defer c.Close()
		f.with("s1", func(s *fakeStore) { s.hangs = true })
		f.with("s2", func(s *fakeStore) { s.fails = true })
		g.Expect(c.Reserve(ctx, reservation("1"))).To(Equal(storeclient.Undecided))
		time.Sleep(50 * time.Millisecond)
		f.with("s0", func(s *fakeStore) {
			g.Expect(s.ledger.Report(0, true).Entries).To(HaveLen(1))
			g.Expect(s.ledger.Report(0, true).Entries[0].Open).To(BeFalse())
		})
	})
}

func TestSettlementsAreGatheredAndRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFake(3)
		c := f.client("s0", view, 0)
		defer c.Close()
		f.with("s2", func(s *fakeStore) { s.fails = true })
		for at := range 5 {
			c.Settle("p", fmt.Sprint(at), 2)
		}
		time.Sleep(100 * time.Millisecond)
		f.with("s0", func(s *fakeStore) {
			g.Expect(s.settles).To(Equal(1))
			g.Expect(s.ledger.SettledTokens()).To(Equal(int64(10)))
		})
		f.with("s2", func(s *fakeStore) { s.fails = false })
		time.Sleep(2 * time.Second)
		f.with("s2", func(s *fakeStore) { g.Expect(s.ledger.SettledTokens()).To(Equal(int64(10))) })
	})
}

func TestSettlementsEndAfterTenSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFake(3)
		c := f.client("s0", view, 0)
		defer c.Close()
		f.with("s2", func(s *fakeStore) { s.hangs = true })
		c.Settle("p", "1", 2)
		time.Sleep(20 * time.Second)
		before := 0
		f.with("s2", func(s *fakeStore) { s.hangs, before = false, s.calls })
		time.Sleep(20 * time.Second)
		f.with("s2", func(s *fakeStore) { g.Expect(s.calls).To(Equal(before)) })
	})
}

func TestCloseSendsWhatIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFake(3)
		c := f.client("s0", view, 0)
		c.Settle("p", "1", 2)
		c.Close()
		f.with("s1", func(s *fakeStore) { g.Expect(s.ledger.SettledTokens()).To(Equal(int64(2))) })
		c.Settle("p", "2", 2)
	})
}

func TestTheCacheIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFake(3)
		c := f.client("s0", view, 10_000)
		defer c.Close()
		for talk := range 3 {
			previous := ""
			for at := range 4 {
				next := turn(fmt.Sprintf("%d-%d", talk, at), fmt.Sprintf("%d-0", talk), previous)
				next.Input = make([]byte, 600)
				g.Expect(c.Commit(ctx, next)).To(Succeed())
				previous = next.ID
			}
		}
		calls := func() (sum int) {
			for name := range f.stores {
				f.with(name, func(s *fakeStore) { sum += s.calls })
			}
			return sum
		}
		before := calls()
		_, verdict := c.History(ctx, "2-3")
		g.Expect(verdict).To(Equal(storeclient.Found))
		_, verdict = c.History(ctx, "0-0")
		g.Expect(verdict).To(Equal(storeclient.Found), "the latest of the oldest conversation went first")
		g.Expect(calls()).To(Equal(before), "both were in the cache")
		history, verdict := c.History(ctx, "0-3")
		g.Expect(verdict).To(Equal(storeclient.Found))
		g.Expect(history.Body).To(HaveLen(4 * (600 + len("out 0-0\n"))))
		g.Expect(calls()).To(BeNumerically(">", before))
	})
}

func TestAConversationKeepsItsHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, view := newFake(5)
		first := f.client("s1", view, 0)
		defer first.Close()
		g.Expect(first.Commit(ctx, turn("a", "", ""))).To(Succeed())
		other := f.client("s4", view, 0)
		defer other.Close()
		_, verdict := other.History(ctx, "a")
		g.Expect(verdict).To(Equal(storeclient.Found))
		g.Expect(other.Commit(ctx, turn("b", "a", "a"))).To(Succeed())
		for _, s := range f.stores {
			g.Expect(s.turns).To(Or(BeEmpty(), HaveLen(2)), "its turns are together")
		}
		f.with("s1", func(s *fakeStore) { g.Expect(s.turns).To(HaveLen(2)) })
	})
}
