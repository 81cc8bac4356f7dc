// Package engine models a receiver that runs language models: a batch of slots that slows as it fills, prefill in pieces
// between the tokens of others, memory shared by running requests and cached prompt parts, preemption of the newest of
// the least urgent when it runs out. It is pure: one call of Step is one pass over the batch.
//
//	e := engine.New(engine.Config{Slots: 8, Capacity: 20000})
//	e.Add(engine.Request{ID: "r1", Parts: parts, Out: 30, Priority: 5})
//	for _, token := range e.Step().Tokens { ... } // then let Step's Took pass
//
// One goroutine owns an Engine.
package engine

import (
	"cmp"
	"slices"
	"time"
)

// Config describes the machine.
type Config struct {
	Slots        int           // requests in the batch
	Queue        int           // requests that may wait
	Capacity     int           // tokens of memory
	PrefillPiece int           // tokens of prompts that one pass reads
	Pass         time.Duration // a pass over a batch of one
	PassEach     time.Duration // more for each further request
	PassPrefill  time.Duration // more for each hundred prompt tokens read
}

// Part is a piece of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Request is what runs.
type Request struct {
	ID       string
	Parts    []Part
	Out      int // tokens to generate
	Priority int // 0 first
}

// prompt is its length in tokens.
func (r *Request) prompt() int {
	sum := 0
	for _, p := range r.Parts {
		sum += p.Tokens
	}
	return sum
}

type job struct {
	Request
	order   int // of arrival
	unread  int // prompt tokens that are not in memory yet
	made    int // tokens generated
	running bool
}

// held is the memory that a running request takes.
func (j *job) held() int { return j.prompt() + j.made }

type cached struct {
	part Part
	used int // the pass at which it was last of use
}

// Engine is a model receiver's state.
type Engine struct {
	config Config
	jobs   []*job // running and waiting, in order of arrival
	cache  map[uint64]*cached
	passes int
	orders int
}

// New makes an idle one.
func New(config Config) *Engine {
	return &Engine{config: config, cache: map[uint64]*cached{}}
}

// Add takes a request; false says that the engine is full, or that the request is larger than its memory.
func (e *Engine) Add(r Request) bool {
	if len(e.jobs) >= e.config.Slots+e.config.Queue || r.prompt()+r.Out > e.config.Capacity {
		return false
	}
	e.orders++
	e.jobs = append(e.jobs, &job{Request: r, order: e.orders})
	return true
}

// Remove drops a request.
func (e *Engine) Remove(id string) {
	e.jobs = slices.DeleteFunc(e.jobs, func(j *job) bool { return j.ID == id })
}

// Token is one that was generated.
type Token struct {
	ID   string
	Made int  // how many it has by now
	Last bool // it is the last one
}

// Pass is what one pass did.
type Pass struct {
	Took   time.Duration
	Tokens []Token
}

// Idle says whether there is nothing to do.
func (e *Engine) Idle() bool { return len(e.jobs) == 0 }

// Step makes one pass: waiting requests are admitted, prompts are read on, and each request whose prompt is read gets a
// token.
func (e *Engine) Step() Pass {
	e.passes++
	e.admit()
	read := e.prefill()
	tokens := e.decode()
	running := e.Report().Running
	took := e.config.Pass + time.Duration(max(0, running-1))*e.config.PassEach + time.Duration(read)*e.config.PassPrefill/100
	return Pass{Took: took, Tokens: tokens}
}

// urgent orders requests: the most urgent first, then the oldest.
func urgent(a, b *job) int {
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	return cmp.Compare(a.order, b.order)
}

// admit fills the batch; a more urgent request displaces one of less urgency.
func (e *Engine) admit() {
	waiting := slices.DeleteFunc(slices.Clone(e.jobs), func(j *job) bool { return j.running })
	slices.SortFunc(waiting, urgent)
	for _, j := range waiting {
		if e.Report().Running >= e.config.Slots && !e.displace(j) {
			return
		}
		if !e.room(j.prompt()+1, j) {
			return
		}
		j.running = true
		j.unread = j.prompt() - e.recall(j)
	}
}

// displace ends the run of the least urgent request that is less urgent than j.
func (e *Engine) displace(j *job) bool {
	last := e.least()
	if last == nil || last.Priority <= j.Priority {
		return false
	}
	e.preempt(last)
	return true
}

// least is the newest of the least urgent requests that run.
func (e *Engine) least() *job {
	var last *job
	for _, j := range e.jobs {
		if j.running && (last == nil || urgent(last, j) < 0) {
			last = j
		}
	}
	return last
}

// preempt sends a request back to wait; its prompt and what it made are read anew.
func (e *Engine) preempt(j *job) { j.running = false }

// recall gives the tokens of the parts that memory still holds, up to the first that it does not.
func (e *Engine) recall(j *job) int {
	sum := 0
	for _, p := range j.Parts {
		c := e.cache[p.ID]
		if c == nil {
			break
		}
		c.used = e.passes
		sum += p.Tokens
	}
	return min(sum, j.prompt()-1) // the last token is always read
}

// room makes place for so many tokens: cached parts that were longest unused give way. j's own parts stay.
func (e *Engine) room(tokens int, j *job) bool {
	own := map[uint64]bool{}
	for _, p := range j.Parts {
		own[p.ID] = true
	}
	for e.used()+tokens > e.config.Capacity {
		var oldest *cached
		for _, c := range e.cache {
			if !own[c.part.ID] && (oldest == nil || c.used < oldest.used || c.used == oldest.used && c.part.ID < oldest.part.ID) {
				oldest = c
			}
		}
		if oldest == nil {
			return e.held()+tokens <= e.config.Capacity
		}
		delete(e.cache, oldest.part.ID)
	}
	return true
}

// held is what running requests take.
func (e *Engine) held() int {
	sum := 0
	for _, j := range e.jobs {
		if j.running {
			sum += j.held()
		}
	}
	return sum
}

// used counts cached parts too.
func (e *Engine) used() int {
	sum := e.held()
	for _, c := range e.cache {
		sum += c.part.Tokens
	}
	return sum
}

// prefill reads prompts on and gives how many tokens it read.
func (e *Engine) prefill() int {
	left := e.config.PrefillPiece
	for _, j := range e.jobs {
		if !j.running || j.unread == 0 || left == 0 {
			continue
		}
		piece := min(left, j.unread)
		left -= piece
		j.unread -= piece
		if j.unread == 0 {
			e.keep(j)
		}
	}
	return e.config.PrefillPiece - left
}

// keep notes the parts of a prompt that was read.
func (e *Engine) keep(j *job) {
	for _, p := range j.Parts {
		if c := e.cache[p.ID]; c != nil {
			c.used = e.passes
			continue
		}
		if e.used()+p.Tokens > e.config.Capacity {
			return
		}
		e.cache[p.ID] = &cached{part: p, used: e.passes}
	}
}

// decode gives each request whose prompt is read a token. Where memory runs out, the least urgent waits again.
func (e *Engine) decode() []Token {
	var tokens []Token
	for _, j := range slices.Clone(e.jobs) {
		if !j.running || j.unread > 0 {
			continue
		}
		for j.running && !e.room(1, j) {
			e.preempt(e.least())
		}
		if !j.running {
			continue
		}
		j.made++
		tokens = append(tokens, Token{ID: j.ID, Made: j.made, Last: j.made >= j.Out})
		if j.made >= j.Out {
			e.Remove(j.ID)
		}
	}
	return tokens
}

// Report is what the receiver tells of itself.
type Report struct{ Queued, Running, Used, Total int }

// Report counts what runs and waits, and the memory that cannot give way.
func (e *Engine) Report() Report {
	r := Report{Used: e.held(), Total: e.config.Capacity}
	for _, j := range e.jobs {
		if j.running {
			r.Running++
		} else {
			r.Queued++
		}
	}
	return r
}
