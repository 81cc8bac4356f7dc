package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, in order.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
	runs    map[string]int  // by request id
	unsafe  map[string]bool // ids of requests that may run once at most
	sent    map[string]bool
	status  map[string]int // by request id
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now(), runs: map[string]int{}, unsafe: map[string]bool{}, sent: map[string]bool{},
		status: map[string]int{}}, nil
}

func (r *record) add(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.line(format, arguments...)
}

func (r *record) line(format string, arguments ...any) {
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

func (r *record) sentRequest(id, to, method, target string, unsafe bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sent[id], r.unsafe[id] = true, unsafe
	r.line("client sends %s %s %s to %s", id, method, target, to)
}

func (r *record) answered(id string, status int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.status[id] = status
	r.line("client gets %d for %s", status, id)
}

func (r *record) ran(id, receiver, service, method, target string, body []byte) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs[id]++
	r.line("receiver %s of %s runs %s %s %s, %d B, run %d", receiver, service, id, method, target, len(body), r.runs[id])
}

// twice returns the unsafe requests that ran more than once, and refusedRan those that were answered as not executed and
// ran all the same.
func (r *record) verdicts() (twice, refusedRan []string, sent, runs, refused int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for id, n := range r.runs {
		runs += n
		if n > 1 && r.unsafe[id] {
			twice = append(twice, id)
		}
	}
	for id, status := range r.status {
		if status != 503 && status != 429 && status != 408 && status != 421 {
			continue
		}
		refused++
		if r.runs[id] > 0 && r.unsafe[id] {
			refusedRan = append(refusedRan, id)
		}
	}
	return twice, refusedRan, len(r.sent), runs, refused
}
