package sim

import (
	"fmt"
	"time"

	"emberquay/coordination/placement"
	"emberquay/internal/tier/storewire"
)

const (
	// commitLimit bounds a commit, as the deadline of a request does; commitRetry is when stores that have not confirmed are
	// asked again, and firstHedge when one more is asked than are missing, which doubles from one to the next.
	commitLimit = 2 * time.Second
	commitRetry = 150 * time.Millisecond
	firstHedge  = 150 * time.Millisecond
	// lookupLimit bounds a look-up.
	lookupLimit = time.Second
	// retention is for how long most turns are kept: longer than a run, so that none may go. One in shortOnes is kept between
	// leastRetention and mostRetention.
	retention      = time.Hour
	shortOnes      = 5
	leastRetention = 3 * time.Second
	mostRetention  = 15 * time.Second
)

// keptTurn is a turn whose client got the end of its answer.
type keptTurn struct {
	record storewire.Turn
	at     time.Duration
}

func (t *keptTurn) retention() time.Duration {
	return time.Duration(t.record.RetentionMillis) * time.Millisecond
}

func placesOf(view storewire.View) *placement.Table {
	members := make([]placement.Member, 0, len(view.Members))
	for _, m := range view.Members {
		members = append(members, placement.Member{Name: m.Node, Zone: m.Zone, Retiring: m.Retiring})
	}
	return placement.NewTable(members)
}

// hedges is how many more stores are asked than are missing, so long after a commit began.
func hedges(since time.Duration) int {
	more := 0
	for wait := firstHedge; since >= wait; wait = 2*wait + firstHedge {
		more++
	}
	return more
}

// commit keeps a turn, as storeclient.Client.Commit does: its client gets the end of its answer once it is done.
func (e *edge) commit(turn string, kept func()) {
	w := e.life.host.world
	life := retention
	if w.one(shortOnes) {
		life = w.between(leastRetention, mostRetention)
	}
	record := storewire.Turn{ID: turn, Root: turn, HomeZone: e.life.host.zone, RetentionMillis: life.Milliseconds(), Input: []byte(turn)}
	confirmed := map[string]bool{}
	began, until := w.now, w.now+commitLimit
	done := false
	var round func()
	round = func() {
		if done || w.now >= until {
			return
		}
		view := e.view
		if e.usable() {
			want := e.missing(confirmed)
			if want > 0 && !w.has(commitHoldsOn) {
				want += hedges(w.now - began)
			}
			for _, at := range placesOf(view).AppendOrder(placement.KeyOf(record.Root), record.HomeZone, nil) {
				m := view.Members[at]
				if want <= 0 || confirmed[m.ID] {
					continue
				}
				if w.has(commitHoldsOn) || !w.one(10) { // now and then one is left out, as one that did not answer lately is
					want--
				}
				e.commitAt(m, record, func() {
					confirmed[m.ID] = true
					if !done && e.missing(confirmed) <= 0 {
						done = true
						w.turns = append(w.turns, &keptTurn{record: record, at: w.now})
						w.counts.Turns++
						kept()
					}
				})
			}
		}
		e.life.later(commitRetry, round)
	}
	round()
}

// missing is how many stores still have to confirm under the present view.
func (e *edge) missing(confirmed map[string]bool) int {
	missing := e.view.Copies()
	if e.life.host.world.has(tooFewCopies) {
		missing--
	}
	for _, m := range e.view.Members {
		if confirmed[m.ID] && !m.Retiring {
			missing--
		}
	}
	return missing
}

func (e *edge) commitAt(m storewire.Member, record storewire.Turn, confirmed func()) {
	q := storewire.CommitRequest{Header: e.header(m), Turn: record}
	exchange(e.life.host.world, e.life, m.Address, func(l *life, reply func(storewire.Reply)) {
		if l.table != nil {
			l.table.commit(q, reply)
		}
	}, func(r storewire.Reply) {
		if e.heed(r) {
			confirmed()
		}
	})
}

// lookUp asks for a turn at all stores; found and missing are the clear ends, as in storeclient.Client.History.
func (e *edge) lookUp(t *keptTurn, done func(found, missing bool)) {
	w := e.life.host.world
	view := e.view
	if !e.usable() {
		done(false, false)
		return
	}
	over := false
	end := func(found, missing bool) {
		if !over {
			over = true
			done(found, missing)
		}
	}
	unknown := map[string]bool{}
	enough := view.NotFoundQuorum()
	if w.has(missingTooSoon) {
		enough = 1
	}
	for _, m := range view.Members {
		q := storewire.HistoryRequest{Header: e.header(m), Turn: t.record.ID}
		exchange(w, e.life, m.Address, func(l *life, reply func(storewire.HistoryAnswer)) {
			if l.table != nil {
				l.table.history(q, reply)
			}
		}, func(a storewire.HistoryAnswer) {
			served := e.heed(a.Reply)
			if over || !served || e.view.Epoch != view.Epoch {
				return
			}
			switch {
			case a.Known:
				end(true, false)
			case a.Reply.Complete:
				unknown[m.ID] = true
				if len(unknown) >= enough {
					end(false, true)
				}
			}
		})
	}
	e.life.later(lookupLimit, func() { end(false, false) })
}

// lookUps asks for turns at random.
func (w *world) lookUps(until time.Duration) {
	if w.now >= until {
		return
	}
	if proxies := w.up(proxyRole); len(proxies) > 0 && len(w.turns) > 0 {
		l, t := pick(w, proxies).life, pick(w, w.turns)
		l.step(func() {
			l.edge.lookUp(t, func(found, missing bool) {
				if found {
					w.counts.Lookups++
				}
				if missing && w.now < t.at+t.retention() {
					w.judge.breach(LostRule, "turn %s, answered whole at %.3fs, is said to be missing by %s", t.record.ID, t.at.Seconds(), fmt.Sprint(l.host.name))
				}
			})
		})
	}
	w.after(w.between(30*time.Millisecond, 400*time.Millisecond), func() { w.lookUps(until) })
}
