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
	// mostCalls bounds the calls that are under way.
	mostCalls = 400
)

// counts of programs by outcome.
type counts struct {
	mu       sync.Mutex
	outcomes map[Outcome]int
}

func (c *counts) programs(o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outcomes == nil {
		c.outcomes = map[Outcome]int{}
	}
	c.outcomes[o]++
}

// load sends traffic for the length of the day and waits for what is under way.
func (l *lab) load(ctx context.Context) {
	var all sync.WaitGroup
	pool := l.newPool()
	defer pool.close()
	begin := func(kind string, rate float64, do func()) {
		all.Go(func() { l.arrivals(ctx, kind, rate, &all, do) })
	}
	begin(tierworld.PlainCalls, l.day.Plain, func() { pool.call(ctx, l.plainCall()) })
	begin(tierworld.TextCalls, l.day.Texts, func() { pool.call(ctx, l.textCall()) })
	begin(tierworld.AgentRuns, l.day.Programs, func() { l.runProgram(ctx, l.earlierTurn()) })
	all.Wait()
}

// arrivals begins calls of a kind at drawn instants until the traffic ends. Instants are drawn at the day's highest rate,
// and those beyond the rate of the moment are left out, so that a burst begins and ends when it should.
func (l *lab) arrivals(ctx context.Context, kind string, rate float64, all *sync.WaitGroup, do func()) {
	if rate <= 0 {
		return
	}
	most := l.day.Strikes.MaxArrivalFactor(kind)
	limit := make(chan struct{}, mostCalls)
	dropped := 0
	for {
		sleep(ctx, time.Duration(rand.ExpFloat64()/(rate*most)*float64(time.Second)))
		at := l.sinceTraffic()
		if ctx.Err() != nil || at >= l.day.Length {
			break
		}
		if rand.Float64()*most >= l.day.Strikes.ArrivalFactor(kind, at) {
			continue
		}
		select {
		case limit <- struct{}{}:
		default:
			dropped++
			continue
		}
		all.Go(func() {
			defer func() { <-limit }()
			do()
		})
	}
	if dropped > 0 {
		l.note("%d arrivals of %s were left out, as %d were under way", dropped, kind, mostCalls)
	}
}

// pool is a number of clients that keep their connections, each with one call at a time.
type pool struct{ free chan *client }

func (l *lab) newPool() *pool {
	clients := l.shape.Traffic.Clients
	p := &pool{free: make(chan *client, clients)}
	for range clients {
		p.free <- l.newClient()
	}
	return p
}

// call uses a free client, or one for this call alone.
func (p *pool) call(ctx context.Context, k *call) {
	select {
	case c := <-p.free:
		c.do(ctx, k)
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
	if rand.Float64() < l.shape.Traffic.Unsafe {
		body := fmt.Appendf(nil, "order %x", rand.Uint64())
		return &call{class: "order", route: orderRoute, path: "new", method: http.MethodPost, body: body, deadline: plainDeadline}
	}
	if l.operator.now().has(addedRoute.name) && rand.IntN(3) == 0 {
		return &call{class: "added", route: addedRoute, path: fmt.Sprint(rand.IntN(9)), method: http.MethodGet, deadline: plainDeadline}
	}
	return &call{class: "read", route: readRoute, path: fmt.Sprintf("%d?q=%d", rand.IntN(9), rand.IntN(99)), method: http.MethodGet, deadline: plainDeadline}
}

// between draws evenly from a least to a most.
func between(pair []int) int { return pair[0] + rand.IntN(pair[1]-pair[0]+1) }

// wholeChunks draws the tokens of an answer, from the least on in whole events.
func wholeChunks(pair []int) int {
	return pair[0] + chunkTokens*rand.IntN((pair[1]-pair[0])/chunkTokens+1)
}

func (l *lab) textCall() *call {
	prompt, most := between(l.shape.Traffic.PromptTokens), wholeChunks(l.shape.Traffic.OutTokens)
	header := http.Header{}
	header.Set("Emberquay-Model-Name", modelName)
	header.Set("Emberquay-Token-Usage", fmt.Sprintf("%d,%d", prompt, most))
	header.Set("Emberquay-Prompt-Prefix", fmt.Sprintf("%x:100,%x:%d", rand.IntN(5), rand.Uint32(), prompt-100))
	return &call{class: "text", route: textRoute, path: "t", method: http.MethodPost, body: []byte("text"), deadline: textDeadline, header: header}
}
