package sender

import (
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"emberquay/control"
	"emberquay/internal/config"
	"emberquay/internal/protocol"
	"emberquay/internal/receivers"
)

// News comes in the moment in which a wake is due: the module plans with it and asks for its next wake, once, before the
// timer is heard. If that one is lost, a text that is held ends only when something else happens, perhaps too late.
func TestAWakeAskedForWhileOneIsDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Sender{began: time.Now(), timer: time.NewTimer(time.Hour)}
		s.Wake(s.now()+control.Second, 1)
		time.Sleep(protocol.Span(control.Second))
		next := s.now() + control.Second
		s.Wake(next, 2)
		s.Wake(next+control.Second, 3) // a later one changes nothing
		if <-s.timer.C; s.now() != next {
			t.Errorf("woken %s from the wake that was asked for", protocol.Span(s.now()-next))
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
		s.Tally(time.Second)
		s.counts.Taken, s.counts.Submits = 3, 4
		s.counts.add(control.Result{Outcome: control.Full, Crowded: true})
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
