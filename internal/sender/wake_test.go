package sender

import (
	"testing"
	"testing/synctest"
	"time"

	"emberquay/control"
	"emberquay/internal/protocol"
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
