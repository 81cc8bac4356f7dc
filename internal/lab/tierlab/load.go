package tierlab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"emberquay/internal/lab/tierworld"
)

const (
	plainDeadline = 2 * time.Second
	textDeadline  = 5 * time.Second
	// maxConcurrentCalls bounds the calls of a kind in progress.
	maxConcurrentCalls = 400
)

// outcomeCounts counts programs by outcome.
type outcomeCounts struct {
	mu       sync.Mutex
	outcomes map[Outcome]int
}

func (c *outcomeCounts) add(o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outcomes == nil {
		c.outcomes = map[Outcome]int{}
	}
	c.outcomes[o]++
}

// generateLoad sends traffic for the scenario's length and waits for the calls in progress.
func (l *lab) generateLoad(ctx context.Context) {
	var wg sync.WaitGroup
	pool := l.newPool()
	defer pool.close()
	start := func(kind string, rate float64, do func()) {
		wg.Go(func() { l.arrivals(ctx, kind, rate, &wg, do) })
	}
	start(tierworld.PlainCalls, l.scenario.PlainPerSecond, func() { pool.call(ctx, l.plainCall()) })
	start(tierworld.TextCalls, l.scenario.StreamsPerSecond, func() { pool.call(ctx, l.textCall()) })
	start(tierworld.AgentRuns, l.scenario.ProgramsPerSecond, func() { l.runProgram(ctx, l.drawPreviousTurn()) })
	wg.Wait()
}

// arrivals starts calls of a kind at random times until the traffic ends. Times are drawn at the scenario's highest rate and
// thinned to the current rate, so that a burst starts and ends on time.
func (l *lab) arrivals(ctx context.Context, kind string, rate float64, wg *sync.WaitGroup, do func()) {
	if rate <= 0 {
		return
	}
	maxRate := l.scenario.Faults.MaxArrivalFactor(kind)
	inProgress := make(chan struct{}, maxConcurrentCalls)
	dropped := 0
	for {
		sleep(ctx, time.Duration(rand.ExpFloat64()/(rate*maxRate)*float64(time.Second)))
		at := l.trafficTime()
		if ctx.Err() != nil || at >= l.scenario.Length {
			break
		}
		if rand.Float64()*maxRate >= l.scenario.Faults.ArrivalFactor(kind, at) {
			continue
		}
		select {
		case inProgress <- struct{}{}:
		default:
			dropped++
			continue
		}
		wg.Go(func() {
			defer func() { <-inProgress }()
			do()
		})
	}
	if dropped > 0 {
		l.note("%d arrivals of %s were left out, as %d were under way", dropped, kind, maxConcurrentCalls)
	}
}

// pool holds clients that keep their connections; each has one call at a time.
type pool struct{ free chan *client }

func (l *lab) newPool() *pool {
	clients := l.world.Traffic.Clients
	p := &pool{free: make(chan *client, clients)}
	for range clients {
		p.free <- l.newClient()
	}
	return p
}

// call sends a call by the next free client; it waits for one until ctx ends.
func (p *pool) call(ctx context.Context, k *call) {
	select {
	case c := <-p.free:
		c.send(ctx, k)
		p.free <- c
	case <-ctx.Done():
	}
}

func (p *pool) close() {
	for range cap(p.free) {
		(<-p.free).close()
	}
}

func (l *lab) plainCall() *call {
	if rand.Float64() < l.world.Traffic.Unsafe {
		body := fmt.Appendf(nil, "order %x", rand.Uint64())
		return &call{class: "order", route: orderRoute, path: "new", method: http.MethodPost, body: body, deadline: plainDeadline}
	}
	if l.operator.currentConfiguration().hasRoute(addedRoute.name) && rand.IntN(3) == 0 {
		return &call{class: "added", route: addedRoute, path: fmt.Sprint(rand.IntN(9)), method: http.MethodGet, deadline: plainDeadline}
	}
	return &call{class: "read", route: readRoute, path: fmt.Sprintf("%d?q=%d", rand.IntN(9), rand.IntN(99)), method: http.MethodGet, deadline: plainDeadline}
}

// drawInt draws uniformly from a minimum to a maximum, both included.
func drawInt(pair []int) int { return pair[0] + rand.IntN(pair[1]-pair[0]+1) }

// drawWholeChunks draws an answer's token count: the minimum plus a number of whole events.
func drawWholeChunks(pair []int) int {
	return pair[0] + chunkTokens*rand.IntN((pair[1]-pair[0])/chunkTokens+1)
}

func (l *lab) textCall() *call {
	prompt, maxTokens := drawInt(l.world.Traffic.PromptTokens), drawWholeChunks(l.world.Traffic.OutTokens)
	header := http.Header{}
	header.Set("Emberquay-Model-Name", modelName)
	header.Set("Emberquay-Token-Usage", fmt.Sprintf("%d,%d", prompt, maxTokens))
	header.Set("Emberquay-Prompt-Prefix", fmt.Sprintf("%x:100,%x:%d", rand.IntN(5), rand.Uint32(), prompt-100))
	return &call{class: "text", route: textRoute, path: "t", method: http.MethodPost, body: []byte("text"), deadline: textDeadline, header: header}
}
