package dispatch

import (
	"cmp"
	"math"
	"time"
)

// What a receiver costs a request, in estimated milliseconds. The constants speak of model engines and web
// services of any make; none is fitted to one deployment.
const (
	prefillTokensPerMs = 38.0 // prompt tokens that an engine reads in a millisecond
	// batchStep is the share of a call by which one more running request lengthens it: a step's time is that of
	// reading the weights, which the whole batch shares; each request adds only its own context.
	batchStep = 1.0 / 200
	// loadLasts is the share of a difference in load that is still there while the call runs: reports are old,
	// and those that run end.
	loadLasts = 0.5
	// crowding is the share of a call by which a full plain receiver lengthens it.
	crowding = 0.5
	// zoneCost stands for the way there and back between zones, and the price of the bytes.
	zoneCost = 5.0
	// coldShare is the share of a call by which a receiver that is still slow from its start is taken to
	// lengthen it.
	coldShare = 0.5
	// memoryAmple is the share of an engine's memory up to which nobody is preempted.
	memoryAmple = 0.8
	// errorCost is what an answer that is a failure costs: about a client's retry.
	errorCost = 1000.0
	// triedCost keeps a request from the receiver that has just failed it while there is any other.
	triedCost = 1000.0
	// lastChoice is the cost of one that is silent or rests: more than all the rest together.
	lastChoice = 1e5
	// leastNoise is the difference that no estimate of this kind can tell.
	leastNoise = 1.0
)

// DefaultPriority is the one that receivers take where none is told.
const DefaultPriority = 5

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// cost estimates what it costs, all told, to have a receiver run a request: its own time there and, for
// engines, the time that it takes from those that run beside it.
func (d *Dispatcher) cost(s *service, q *request, b *bucket, usual float64) float64 {
	load := d.meanLoad + loadLasts*(b.load(d.now, d.usualLoad)-d.meanLoad)
	cost := errorCost * b.illness(d.now)
	if b.Engine != nil {
		cost += d.engineCost(s, q, b, usual, load)
	} else {
		cost += usual * (cmp.Or(b.slowness, 1) + crowding*load/float64(b.limit()))
	}
	if b.Zone != d.zone {
		cost += zoneCost
	}
	if b.ColdRemaining > 0 {
		cost += coldShare * usual
	}
	if b.ID == q.failedAt {
		cost += triedCost
	}
	if !b.good(d.now) {
		cost += lastChoice
	}
	return cost
}

// engineCost: the prompt's parts that are not kept there must be read, after those of calls that wait, and
// halt the tokens of all that run; each of those in turn lengthens every step and, replaced about once
// meanwhile, has a prompt read too. Where memory runs out somebody is read anew.
func (d *Dispatcher) engineCost(s *service, q *request, b *bucket, usual, load float64) float64 {
	missing := float64(q.missing(d.now, b))
	q.least = min(q.least, missing)
	reading := missing / prefillTokensPerMs
	cost := reading*(1+load) + float64(b.unread)/prefillTokensPerMs
	cost += load * (s.fresh/prefillTokensPerMs + batchStep*usual)
	if total := float64(b.reading.KVTotalTokens); total > 0 && b.reading.told {
		filled := (float64(b.reading.KVUsedTokens) + missing + float64(q.MaxOutputTokens)) / total
		pressure := max(0, filled-memoryAmple) / (1 - memoryAmple)
		cost += pressure * (float64(q.InputTokens)/prefillTokensPerMs + usual)
	}
	return cost
}

// missing is how many prompt tokens a receiver would have to read, by this sender's guess.
func (q *request) missing(now Instant, b *bucket) int {
	missing := max(0, q.prompt-b.parts.kept(now, q.Prefix))
	if b == q.home {
		missing -= int(homeShare * float64(missing))
	}
	return missing
}

// choose finds the cheapest free receiver for a request; nil if it may use none. Other senders choose by the
// same old reports: among those that cost about the same, two are drawn, and the one with most allowance left
// goes (Mitzenmacher, The Power of Two Choices in Randomized Load Balancing).
func (d *Dispatcher) choose(s *service, q *request, free []*bucket) *bucket {
	d.costs = d.costs[:0]
	usual := milliseconds(d.usual(s, q).whole())
	least := math.Inf(1)
	d.meanLoad = 0
	d.usualLoad = s.usualLoad(d.now)
	for _, b := range free {
		d.meanLoad += b.load(d.now, d.usualLoad) / float64(len(free))
	}
	q.least = math.Inf(1)
	q.home = d.home(s, q)
	for _, b := range free {
		cost := math.Inf(1)
		if !q.ranAt(b) {
			cost = d.cost(s, q, b, usual)
		}
		d.costs = append(d.costs, cost)
		least = min(least, cost)
	}
	if math.IsInf(least, 1) {
		return nil
	}
	noise := leastNoise + usual*batchStep
	near := 0
	for _, cost := range d.costs {
		if cost <= least+noise {
			near++
		}
	}
	first, second := d.chance.Below(near), d.chance.Below(near)
	var chosen *bucket
	for i, b := range free {
		if d.costs[i] > least+noise {
			continue
		}
		if first == 0 || second == 0 {
			if chosen == nil || b.allowance(d.now) > chosen.allowance(d.now) {
				chosen = b
			}
		}
		first--
		second--
	}
	return chosen
}

// priority derives the one that receivers are told. They admit the urgent first and preempt the others, so
// what is told must mean the same at every sender: the route's rank about the default, and one step more
// urgent for a program that has little of its time left, as all of its turns are lost with this one.
func (d *Dispatcher) priority(s *service, q *request) int {
	priority := min(DefaultPriority-1+q.Priority, 8)
	if q.ProgramStarted && q.ProgramTimeLeft > 0 && q.ProgramTimeLeft < 2*d.usual(s, q).whole() {
		priority--
	}
	return max(0, priority)
}
