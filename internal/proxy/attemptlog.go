package proxy

import (
	"sync"
	"time"

	"github.com/apex/log"
)

// attemptLogPause is the time between two lines on failed attempts: a receiver in trouble would fill the log.
const attemptLogPause = time.Second

// attemptLog tells of attempts that broke, one line a second at most.
type attemptLog struct {
	logger log.Interface

	mu      sync.Mutex
	next    time.Time
	skipped int
}

// broke notes an attempt that may have run and has no usable answer.
func (l *attemptLog) broke(instance, request string, cause error) {
	now := time.Now()
	l.mu.Lock()
	if now.Before(l.next) {
		l.skipped++
		l.mu.Unlock()
		return
	}
	skipped := l.skipped
	l.next, l.skipped = now.Add(attemptLogPause), 0
	l.mu.Unlock()
	l.logger.WithFields(log.Fields{
		"receiver": instance, "request": request, "cause": cause.Error(), "more": skipped,
	}).Warn("an attempt broke")
}
