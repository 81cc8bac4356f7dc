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
	// slowdownPerRequest is the share of a call by which one more running request lengthens it: a step's time is that of
	// reading the weights, which the whole batch shares; each request adds only its own context.
	slowdownPerRequest = 1.0 / 200
	// loadPersistence is the share of a difference in load that is still there while the call runs: reports are old,
	// and those that run end.
	loadPersistence = 0.5
	// fullLoadSlowdown is the share of a call by which a full plain receiver lengthens it.
	fullLoadSlowdown = 0.5
	// crossZoneCostMs stands for the way there and back between zones, and the price of the bytes.
	crossZoneCostMs = 5.0
	// coldSlowdown is the share of a call by which a receiver that is still slow from its start is taken to
	// lengthen it.
	coldSlowdown = 0.5
	// preemptionThreshold is the share of an engine's memory up to which nobody is preempted.
	preemptionThreshold = 0.8
	// errorCostMs is what an answer that is a failure costs: about a client's retry.
	errorCostMs = 1000.0
	// sameReceiverCostMs keeps a request from the receiver that has just failed it while there is any other.
	sameReceiverCostMs = 1000.0
	// lastResortCostMs is the cost of one that is silent or rests: more than all the rest together.
	lastResortCostMs = 1e5
	// minNoiseMs is the difference that no estimate of this kind can tell.
	minNoiseMs = 1.0
)

// DefaultPriority is the one that receivers take where none is told.
const DefaultPriority = 5

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// cost estimates what it costs, all told, to have a receiver run a request: its own time there and, for
// engines, the time that it takes from those that run beside it.
func (d *Dispatcher) cost(s *service, q *request, e *endpoint, expectedMs float64) float64 {
	load := d.meanLoad + loadPersistence*(e.load(d.now, d.assumedLoad)-d.meanLoad)
	cost := errorCostMs * e.errorRate(d.now)
	if e.Engine != nil {
		cost += d.engineCost(s, q, e, expectedMs, load)
	} else {
		cost += expectedMs * (cmp.Or(e.relativeDuration, 1) + fullLoadSlowdown*load/float64(e.concurrencyLimit()))
	}
	if e.Zone != d.zone {
		cost += crossZoneCostMs
	}
	if e.ColdRemaining > 0 {
		cost += coldSlowdown * expectedMs
	}
	if e.ID == q.lastFailedOn {
		cost += sameReceiverCostMs
	}
	if !e.healthy(d.now) {
		cost += lastResortCostMs
	}
	return cost
}

// engineCost: the prompt's parts that are not kept there must be read, after those of calls that wait, and
// halt the tokens of all that run; each of those in turn lengthens every step and, replaced about once
// meanwhile, has a prompt read too. Where memory runs out somebody is read anew.
func (d *Dispatcher) engineCost(s *service, q *request, e *endpoint, expectedMs, load float64) float64 {
	uncachedTokens := float64(q.uncachedTokens(d.now, e))
	q.minUncachedTokens = min(q.minUncachedTokens, uncachedTokens)
	prefillMs := uncachedTokens / prefillTokensPerMs
	cost := prefillMs*(1+load) + float64(e.pendingPrefillTokens)/prefillTokensPerMs
	cost += load * (s.meanUncachedTokens/prefillTokensPerMs + slowdownPerRequest*expectedMs)
	if total := float64(e.reported.KVTotalTokens); total > 0 && e.reported.valid {
		memoryUse := (float64(e.reported.KVUsedTokens) + uncachedTokens + float64(q.MaxOutputTokens)) / total
		pressure := max(0, memoryUse-preemptionThreshold) / (1 - preemptionThreshold)
		cost += pressure * (float64(q.InputTokens)/prefillTokensPerMs + expectedMs)
	}
	return cost
}

// uncachedTokens is how many prompt tokens a receiver would have to read, by this sender's guess.
func (q *request) uncachedTokens(now Instant, e *endpoint) int {
	tokens := max(0, q.promptTokens-e.prefixes.cachedTokens(now, q.Prefix))
	if e == q.home {
		tokens -= int(homeCachedShare * float64(tokens))
	}
	return tokens
}

// chooseEndpoint finds the cheapest free receiver for a request; nil if it may use none. Other senders choose by the
// same old reports: among those that cost about the same, two are drawn, and the one with most allowance left
// goes (Mitzenmacher, The Power of Two Choices in Randomized Load Balancing).
func (d *Dispatcher) chooseEndpoint(s *service, q *request, free []*endpoint) *endpoint {
	d.costs = d.costs[:0]
	expectedMs := milliseconds(d.estimate(s, q).total())
	minCost := math.Inf(1)
	d.meanLoad = 0
	d.assumedLoad = s.assumedLoad(d.now)
	for _, e := range free {
		d.meanLoad += e.load(d.now, d.assumedLoad) / float64(len(free))
	}
	q.minUncachedTokens = math.Inf(1)
	q.home = d.home(s, q)
	for _, e := range free {
		cost := math.Inf(1)
		if !q.mayHaveRunOn(e) {
			cost = d.cost(s, q, e, expectedMs)
		}
		d.costs = append(d.costs, cost)
		minCost = min(minCost, cost)
	}
	if math.IsInf(minCost, 1) {
		return nil
	}
	noiseMs := minNoiseMs + expectedMs*slowdownPerRequest
	candidates := 0
	for _, cost := range d.costs {
		if cost <= minCost+noiseMs {
			candidates++
		}
	}
	first, second := d.random.Below(candidates), d.random.Below(candidates)
	var chosen *endpoint
	for i, e := range free {
		if d.costs[i] > minCost+noiseMs {
			continue
		}
		if first == 0 || second == 0 {
			if chosen == nil || e.allowance(d.now) > chosen.allowance(d.now) {
				chosen = e
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
	if q.ProgramStarted && q.ProgramTimeLeft > 0 && q.ProgramTimeLeft < 2*d.estimate(s, q).total() {
		priority--
	}
	return max(0, priority)
}
