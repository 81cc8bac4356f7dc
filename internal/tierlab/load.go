package tierlab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	plainDeadline = 2 * time.Second
	textDeadline  = 5 * time.Second
	// poolClients is how many clients of a kind keep connections.
	poolClients = 12
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
	begin := func(rate float64, do func()) {
		all.Go(func() { l.arrivals(ctx, rate, &all, do) })
	}
	begin(float64(l.day.Plain), func() { pool.call(ctx, l.plainCall()) })
	begin(float64(l.day.Texts), func() { pool.call(ctx, textCall()) })
	begin(l.day.Programs, func() { l.runProgram(ctx, l.earlierTurn()) })
	all.Wait()
}

// arrivals begins calls at drawn instants until the traffic ends.
func (l *lab) arrivals(ctx context.Context, rate float64, all *sync.WaitGroup, do func()) {
	end := time.Now().Add(l.day.Length)
	limit := make(chan struct{}, mostCalls)
	for time.Now().Before(end) && ctx.Err() == nil {
		sleep(ctx, time.Duration(rand.ExpFloat64()/rate*float64(time.Second)))
		select {
		case limit <- struct{}{}:
		default:
			continue // too many are under way
		}
		all.Go(func() {
			defer func() { <-limit }()
			do()
		})
	}
}

// pool is a number of clients that keep their connections, each with one call at a time.
type pool struct{ free chan *client }

func (l *lab) newPool() *pool {
	p := &pool{free: make(chan *client, poolClients)}
	for range poolClients {
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
	for range poolClients {
		(<-p.free).close()
	}
}

func (l *lab) plainCall() *call {
	if rand.IntN(3) == 0 {
		body := fmt.Appendf(nil, "order %x", rand.Uint64())
		return &call{class: "order", route: orderRoute, path: "new", method: http.MethodPost, body: body, deadline: plainDeadline}
	}
	if l.operator.now().has(addedRoute.name) && rand.IntN(3) == 0 {
		return &call{class: "added", route: addedRoute, path: fmt.Sprint(rand.IntN(9)), method: http.MethodGet, deadline: plainDeadline}
	}
	return &call{class: "read", route: readRoute, path: fmt.Sprintf("%d?q=%d", rand.IntN(9), rand.IntN(99)), method: http.MethodGet, deadline: plainDeadline}
}

func textCall() *call {
	prompt, most := 200+rand.IntN(400), 30+3*rand.IntN(30)
	header := http.Header{}
	header.Set("Emberquay-Model-Name", modelName)
	header.Set("Emberquay-Token-Usage", fmt.Sprintf("%d,%d", prompt, most))
	header.Set("Emberquay-Prompt-Prefix", fmt.Sprintf("%x:100,%x:%d", rand.IntN(5), rand.Uint32(), prompt-100))
	return &call{class: "text", route: textRoute, path: "t", method: http.MethodPost, body: []byte("text"), deadline: textDeadline, header: header}
}
