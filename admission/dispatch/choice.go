package dispatch

import (
	"cmp"
	"math"
	"time"
)

// Constants of the estimated cost, in milliseconds, of sending a request to a receiver. They apply to model
// engines and web services in general.
const (
	prefillTokensPerMs = 38.0 // prompt tokens that an engine processes per millisecond
	// slowdownPerRequest is the fraction by which one more running request lengthens a call: most of a step's time
	// goes into reading the weights, which the whole batch shares; each request adds only its own context.
	slowdownPerRequest = 1.0 / 200
	// loadPersistence is the fraction of a load difference that remains while the call runs: reports are outdated,
	// and running requests end.
	loadPersistence = 0.5
	// fullLoadSlowdown is the fraction by which full load of a plain receiver lengthens a call.
	fullLoadSlowdown = 0.5
	// crossZoneCostMs stands for the round trip between zones and the price of the traffic.
	crossZoneCostMs = 5.0
	// coldSlowdown is the fraction by which a receiver that is still warming up is assumed to lengthen a call.
	coldSlowdown = 0.5
	// preemptionThreshold is the fraction of an engine's memory in use below which no request is preempted.
	preemptionThreshold = 0.8
	// errorCostMs is the cost of an error response: about that of a client's retry.
	errorCostMs = 1000.0
	// sameReceiverCostMs keeps a request away from the receiver that has just failed it as long as there is another.
	sameReceiverCostMs = 1000.0
	// lastResortCostMs is the cost of an unhealthy receiver: more than all other costs together.
	lastResortCostMs = 1e5
	// minNoiseMs is the smallest cost difference that these estimates can resolve.
	minNoiseMs = 1.0
)

// DefaultPriority is the priority that receivers assume if none is sent.
const DefaultPriority = 5

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// cost estimates the total cost of running a request on an endpoint: its own duration there and, for engines, the
// delay that it adds to the requests running beside it.
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

// engineCost estimates the cost on an engine. The uncached part of the prompt is read after the prompts of waiting
// calls, and reading it stalls all running requests. Each running request in turn lengthens every step and, as it is
// replaced about once meanwhile, adds the reading of another prompt. When memory runs out, a request is preempted and
// its prompt is read again.
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

// uncachedTokens estimates the prompt tokens that a receiver would have to read.
func (q *request) uncachedTokens(now Instant, e *endpoint) int {
	tokens := max(0, q.promptTokens-e.prefixes.cachedTokens(now, q.Prefix))
	if e == q.home {
		tokens -= int(homeCachedShare * float64(tokens))
	}
	return tokens
}

// chooseEndpoint returns the cheapest free endpoint for a request, or nil if it may use none of them. Other proxies
// decide by the same outdated reports; so among endpoints of about equal cost two are drawn at random, and the one
// with the larger allowance is chosen (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing").
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
	first, second := d.random.IntN(candidates), d.random.IntN(candidates)
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

// priority derives the priority sent to receivers. They admit urgent requests first and preempt others, so the value
// must mean the same from every proxy: the route's priority relative to the default, and one step more urgent for a
// running program with little time left, as losing this turn loses all of its turns.
func (d *Dispatcher) priority(s *service, q *request) int {
	priority := min(DefaultPriority-1+q.Priority, 8)
	if q.ProgramStarted && q.ProgramTimeLeft > 0 && q.ProgramTimeLeft < 2*d.estimate(s, q).total() {
		priority--
	}
	return max(0, priority)
}
