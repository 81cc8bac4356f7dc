package proxy

import (
	"sync"
	"time"

	"github.com/apex/log"
)

// failureLogInterval is the time between two lines of one kind: a receiver or a store in trouble would fill the log.
const failureLogInterval = time.Second

// failureLog tells of attempts that broke and of answers that were cut, one line of each a second at most. Its methods
// may be called from any goroutine.
type failureLog struct {
	logger   log.Interface
	attempts rateLimiter
	answers  rateLimiter
}

// rateLimiter lets a line through now and then, and counts those between.
type rateLimiter struct {
	mu          sync.Mutex
	nextAllowed time.Time
	skipped     int
}

// allow says whether a line may be written now, and how many were not since the last one.
func (l *rateLimiter) allow(now time.Time) (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.nextAllowed) {
		l.skipped++
		return 0, false
	}
	skipped = l.skipped
	l.nextAllowed, l.skipped = now.Add(failureLogInterval), 0
	return skipped, true
}

// attemptFailed notes an attempt that may have run and has no usable answer.
func (l *failureLog) attemptFailed(instance, request string, cause error) {
	skipped, ok := l.attempts.allow(time.Now())
	if !ok {
		return
	}
	l.logger.WithFields(log.Fields{
		"receiver": instance, "request": request, "cause": cause.Error(), "more": skipped,
	}).Warn("an attempt broke")
}

// abortCause is why a client's connection is closed without a complete answer.
type abortCause string

const (
	abortDeadlineExceeded abortCause = "the request's time is over"
	abortShutdown         abortCause = "the process ends"
	abortNotResumed       abortCause = "no receiver goes on with the stream"
	abortNotResumable     abortCause = "events without an id: no other receiver could go on"
	abortNotAStream       abortCause = "the receiver that was to go on with the stream sent none"
	abortReceiverFailed   abortCause = "the receiver broke off a long answer"
	abortNotCommitted     abortCause = "the stores did not keep the turn"
	abortWriteTimeout     abortCause = "the client did not read the answer in time"
)

// responseAborted notes an answer that ends before it is complete though its client still waits.
func (l *failureLog) responseAborted(h *requestHandler, cause abortCause) {
	now := time.Now()
	skipped, ok := l.answers.allow(now)
	if !ok {
		return
	}
	l.logger.WithFields(log.Fields{
		"request": h.id, "cause": string(cause), "more": skipped, "sent": h.maybeExecuted, "begun": h.responseStarted, "last_event": h.lastEventID,
		"age_ms": now.Sub(h.arrived).Milliseconds(), "left_ms": h.deadline.Sub(now).Milliseconds(),
	}).Warn("an answer was cut")
}
