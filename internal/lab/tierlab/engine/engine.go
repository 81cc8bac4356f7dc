// Package engine simulates an inference engine for language models: continuous batching that slows as the batch fills,
// chunked prefill interleaved with decoding, memory shared by running requests and cached prompt parts, and preemption
// of the newest request of the lowest priority when memory runs out. It does no I/O and reads no clock: one call of
// Step is one pass over the batch.
//
//	e := engine.New(engine.Config{Slots: 8, MemoryTokens: 20000})
//	e.Add(engine.Request{ID: "r1", Parts: parts, OutputTokens: 30, Priority: 5})
//	for _, token := range e.Step().Tokens { ... } // then wait for the Pass's Duration
//
// An Engine is not safe for concurrent use.
package engine

import (
	"cmp"
	"slices"
	"time"
)

// Config sets the limits and the speed of an engine.
type Config struct {
	Slots                      int           // maximum requests in the batch
	QueueLimit                 int           // maximum waiting requests while the batch is full
	MemoryTokens               int           // memory for running requests and cached parts
	PrefillChunkTokens         int           // maximum prompt tokens that one pass reads
	BasePassTime               time.Duration // duration of a pass over a batch of one
	PassTimePerRequest         time.Duration // added for each further request
	PassTimePer100PromptTokens time.Duration // added for each hundred prompt tokens read
}

// PromptPart is a section of a prompt; parts with the same ID share a cache entry.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Request is a prompt and the number of tokens to generate for it.
type Request struct {
	ID           string
	Parts        []PromptPart
	OutputTokens int // tokens to generate, at least 1
	Priority     int // 0 is the most urgent
}

// promptTokens returns the length of the prompt in tokens.
func (r *Request) promptTokens() int {
	sum := 0
	for _, p := range r.Parts {
		sum += p.Tokens
	}
	return sum
}

// job is a request with its progress.
type job struct {
	Request
	arrival      int // sequence number of the request's arrival
	unreadTokens int // prompt tokens that are not in memory yet
	generated    int // tokens generated
	running      bool
}

// memoryTokens returns the memory that the request takes while it runs.
func (j *job) memoryTokens() int { return j.promptTokens() + j.generated }

// cachedPart is a prompt part that stays in memory after its request.
type cachedPart struct {
	part         PromptPart
	lastUsedPass int // number of the pass that last used the part
}

// Engine holds the requests and the prompt cache of a simulated inference engine.
type Engine struct {
	config       Config
	jobs         []*job // running and waiting, in order of arrival
	cache        map[uint64]*cachedPart
	passCount    int
	arrivalCount int
}

// New returns an idle engine.
func New(config Config) *Engine {
	return &Engine{config: config, cache: map[uint64]*cachedPart{}}
}

// Add queues a request. It returns false if the batch and the queue are full or the request is larger than the memory.
func (e *Engine) Add(r Request) bool {
	if len(e.jobs) >= e.config.Slots+e.config.QueueLimit || r.promptTokens()+r.OutputTokens > e.config.MemoryTokens {
		return false
	}
	e.arrivalCount++
	e.jobs = append(e.jobs, &job{Request: r, arrival: e.arrivalCount})
	return true
}

// Remove drops a request, waiting or running.
func (e *Engine) Remove(id string) {
	e.jobs = slices.DeleteFunc(e.jobs, func(j *job) bool { return j.ID == id })
}

// Token is a generated token.
type Token struct {
	ID        string
	Generated int  // tokens generated for the request so far, with this one
	Last      bool // whether the request is complete
}

// Pass is the result of one pass.
type Pass struct {
	Duration time.Duration
	Tokens   []Token
}

// Idle reports whether no request is waiting or running.
func (e *Engine) Idle() bool { return len(e.jobs) == 0 }

// Step makes one pass: it admits waiting requests, reads a chunk of the prompts and generates a token for each request
// whose prompt is read.
func (e *Engine) Step() Pass {
	e.passCount++
	e.admit()
	readTokens := e.prefill()
	tokens := e.decode()
	running := e.Report().Running
	took := e.config.BasePassTime + time.Duration(max(0, running-1))*e.config.PassTimePerRequest + time.Duration(readTokens)*e.config.PassTimePer100PromptTokens/100
	return Pass{Duration: took, Tokens: tokens}
}

// compareUrgency orders requests by priority, the most urgent first, then by arrival.
func compareUrgency(a, b *job) int {
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	return cmp.Compare(a.arrival, b.arrival)
}

// admit fills the batch in order of urgency; where it is full, a request preempts one of lower priority.
func (e *Engine) admit() {
	waiting := slices.DeleteFunc(slices.Clone(e.jobs), func(j *job) bool { return j.running })
	slices.SortFunc(waiting, compareUrgency)
	for _, j := range waiting {
		if e.Report().Running >= e.config.Slots && !e.preemptFor(j) {
			return
		}
		if !e.makeRoom(j.promptTokens()+1, j) {
			return
		}
		j.running = true
		j.unreadTokens = j.promptTokens() - e.cachedPrefixTokens(j)
	}
}

// preemptFor preempts the least urgent running request if its priority is lower than that of j.
func (e *Engine) preemptFor(j *job) bool {
	last := e.leastUrgent()
	if last == nil || last.Priority <= j.Priority {
		return false
	}
	e.preempt(last)
	return true
}

// leastUrgent returns the newest running request of the lowest priority, or nil.
func (e *Engine) leastUrgent() *job {
	var last *job
	for _, j := range e.jobs {
		if j.running && (last == nil || compareUrgency(last, j) < 0) {
			last = j
		}
	}
	return last
}

// preempt returns a request to the queue. On its next admission it reads its prompt again, except for cached parts; it
// keeps the tokens that it has generated.
func (e *Engine) preempt(j *job) { j.running = false }

// cachedPrefixTokens returns the number of prompt tokens in cached parts before the first part that is not cached.
func (e *Engine) cachedPrefixTokens(j *job) int {
	sum := 0
	for _, p := range j.Parts {
		c := e.cache[p.ID]
		if c == nil {
			break
		}
		c.lastUsedPass = e.passCount
		sum += p.Tokens
	}
	return min(sum, j.promptTokens()-1) // the last token is always read
}

// makeRoom frees memory for the tokens by evicting the least recently used cached parts, except those of j. It reports
// whether they fit; if only j's parts are left in the cache, these don't count.
func (e *Engine) makeRoom(tokens int, j *job) bool {
	own := map[uint64]bool{}
	for _, p := range j.Parts {
		own[p.ID] = true
	}
	for e.usedTokens()+tokens > e.config.MemoryTokens {
		var oldest *cachedPart
		for _, c := range e.cache {
			if !own[c.part.ID] && (oldest == nil || c.lastUsedPass < oldest.lastUsedPass || c.lastUsedPass == oldest.lastUsedPass && c.part.ID < oldest.part.ID) {
				oldest = c
			}
		}
		if oldest == nil {
			return e.runningTokens()+tokens <= e.config.MemoryTokens
		}
		delete(e.cache, oldest.part.ID)
	}
	return true
}

// runningTokens returns the memory that running requests take.
func (e *Engine) runningTokens() int {
	sum := 0
	for _, j := range e.jobs {
		if j.running {
			sum += j.memoryTokens()
		}
	}
	return sum
}

// usedTokens returns the memory that running requests and cached parts take.
func (e *Engine) usedTokens() int {
	sum := e.runningTokens()
	for _, c := range e.cache {
		sum += c.part.Tokens
	}
	return sum
}

// prefill reads the next chunk of the prompts, in order of arrival, and returns the number of tokens read.
func (e *Engine) prefill() int {
	budget := e.config.PrefillChunkTokens
	for _, j := range e.jobs {
		if !j.running || j.unreadTokens == 0 || budget == 0 {
			continue
		}
		chunk := min(budget, j.unreadTokens)
		budget -= chunk
		j.unreadTokens -= chunk
		if j.unreadTokens == 0 {
			e.cacheParts(j)
		}
	}
	return e.config.PrefillChunkTokens - budget
}

// cacheParts caches the parts of a prompt that was read, up to the first that does not fit.
func (e *Engine) cacheParts(j *job) {
	for _, p := range j.Parts {
		if c := e.cache[p.ID]; c != nil {
			c.lastUsedPass = e.passCount
			continue
		}
		if e.usedTokens()+p.Tokens > e.config.MemoryTokens {
			return
		}
		e.cache[p.ID] = &cachedPart{part: p, lastUsedPass: e.passCount}
	}
}

// decode generates a token for each request whose prompt is read. It preempts the least urgent request while memory is
// short.
func (e *Engine) decode() []Token {
	var tokens []Token
	for _, j := range slices.Clone(e.jobs) {
		if !j.running || j.unreadTokens > 0 {
			continue
		}
		for j.running && !e.makeRoom(1, j) {
			e.preempt(e.leastUrgent())
		}
		if !j.running {
			continue
		}
		j.generated++
		tokens = append(tokens, Token{ID: j.ID, Generated: j.generated, Last: j.generated >= j.OutputTokens})
		if j.generated >= j.OutputTokens {
			e.Remove(j.ID)
		}
	}
	return tokens
}

// Report is the load of an engine: numbers of requests and memory in tokens.
type Report struct{ Queued, Running, UsedTokens, TotalTokens int }

// Report counts waiting and running requests and the memory that cannot be evicted: cached parts are not counted.
func (e *Engine) Report() Report {
	r := Report{UsedTokens: e.runningTokens(), TotalTokens: e.config.MemoryTokens}
	for _, j := range e.jobs {
		if j.running {
			r.Running++
		} else {
			r.Queued++
		}
	}
	return r
}
