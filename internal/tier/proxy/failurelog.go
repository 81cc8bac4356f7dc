package proxy

import (
	"sync"
	"time"

	"github.com/apex/log"
)

// failureLogPause is the time between two lines of one kind: a receiver or a store in trouble would fill the log.
const failureLogPause = time.Second

// failureLog tells of attempts that broke and of answers that were cut, one line of each a second at most. Its methods
// may be called from any goroutine.
type failureLog struct {
	logger   log.Interface
	attempts lineLimit
	answers  lineLimit
}

// lineLimit lets a line through now and then, and counts those between.
type lineLimit struct {
	mu      sync.Mutex
	next    time.Time
	skipped int
}

// pass says whether a line may be written now, and how many were not since the last one.
func (l *lineLimit) pass(now time.Time) (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.next) {
		l.skipped++
		return 0, false
	}
	skipped = l.skipped
	l.next, l.skipped = now.Add(failureLogPause), 0
	return skipped, true
}

// broke notes an attempt that may have run and has no usable answer.
func (l *failureLog) broke(instance, request string, cause error) {
	skipped, ok := l.attempts.pass(time.Now())
	if !ok {
		return
	}
	l.logger.WithFields(log.Fields{
		"receiver": instance, "request": request, "cause": cause.Error(), "more": skipped,
	}).Warn("an attempt broke")
}

// cutCause is why a client's connection is closed without a complete answer.
type cutCause string

const (
	cutByTime       cutCause = "the request's time is over"
	cutByStop       cutCause = "the process ends"
	cutUnresumed    cutCause = "no receiver goes on with the stream"
	cutUnresumable  cutCause = "events without an id: no other receiver could go on"
	cutNoStream     cutCause = "the receiver that was to go on with the stream sent none"
	cutByReceiver   cutCause = "the receiver broke off a long answer"
	cutUncommitted  cutCause = "the stores did not keep the turn"
	cutWriteTimeout cutCause = "the client did not read the answer in time"
)

// cut notes an answer that ends before it is complete though its client still waits.
func (l *failureLog) cut(v *visit, cause cutCause) {
	now := time.Now()
	skipped, ok := l.answers.pass(now)
	if !ok {
		return
	}
	l.logger.WithFields(log.Fields{
		"request": v.id, "cause": string(cause), "more": skipped, "sent": v.sent, "begun": v.begun, "last_event": v.lastID,
		"age_ms": now.Sub(v.arrived).Milliseconds(), "left_ms": v.deadline.Sub(now).Milliseconds(),
	}).Warn("an answer was cut")
}
