package proxy

import (
	"sync"
	"time"

	"github.com/apex/log"
)

// failureLogInterval is the least time between two log lines of one kind: a failing receiver or store would fill the log.
const failureLogInterval = time.Second

// failureLog logs failed attempts and aborted responses, at most one line of each kind per failureLogInterval. Its
// methods are safe for concurrent use.
type failureLog struct {
	logger    log.Interface
	attempts  rateLimiter
	responses rateLimiter
}

// rateLimiter allows one log line per failureLogInterval and counts the skipped ones.
type rateLimiter struct {
	mu          sync.Mutex
	nextAllowed time.Time
	skipped     int
}

// allow reports whether a line may be logged now, and how many were skipped since the last one.
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

// attemptFailed logs an attempt that may have run the request but gave no usable response.
func (l *failureLog) attemptFailed(instance, request string, cause error) {
	skipped, ok := l.attempts.allow(time.Now())
	if !ok {
		return
	}
	l.logger.WithFields(log.Fields{
		"receiver": instance, "request": request, "cause": cause.Error(), "more": skipped,
	}).Warn("attempt failed; the request may have run")
}

// abortCause is why a client's connection is closed without a complete response.
type abortCause string

const (
	abortDeadlineExceeded abortCause = "the request's deadline has passed"
	abortShutdown         abortCause = "the proxy is shutting down"
	abortNotResumed       abortCause = "no receiver resumed the stream"
	abortNotResumable     abortCause = "the stream cannot be resumed: it has events without an id"
	abortNotAStream       abortCause = "the receiver chosen to resume the stream did not send one"
	abortReceiverFailed   abortCause = "the receiver did not complete a long response"
	abortNotCommitted     abortCause = "the stores did not commit the turn"
	abortWriteTimeout     abortCause = "the client did not read the response in time"
)

// responseAborted logs a response that ends before it is complete while its client still waits.
func (l *failureLog) responseAborted(h *requestHandler, cause abortCause) {
	now := time.Now()
	skipped, ok := l.responses.allow(now)
	if !ok {
		return
	}
	l.logger.WithFields(log.Fields{
		"request": h.id, "cause": string(cause), "more": skipped, "sent": h.mayHaveRun, "begun": h.responseStarted, "last_event": h.lastEventID,
		"age_ms": now.Sub(h.arrived).Milliseconds(), "left_ms": h.deadline.Sub(now).Milliseconds(),
	}).Warn("response aborted before it was complete")
}
