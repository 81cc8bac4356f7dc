package tierlab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"emberquay/internal/referee/tierrules"
)

const (
	// turnDeadline is what a client grants a turn.
	turnDeadline = 5 * time.Second
	// resends is how often a turn that failed is sent anew.
	resends = 2
	// loopingShare is one in so many programs that go on until they are stopped.
	loopingShare = 8
	// mostLoops ends such a one where its budget does not.
	mostLoops = 40
	// programWorth is what a program may take, as its objective.
	programWorth = 12 * time.Second
)

// program is one run of an agent: turns, tools and sub-agents under one budget.
type program struct {
	lab     *lab
	name    string
	budget  int64
	finish  time.Time
	stopped bool // a turn's answer ended it
	mu      sync.Mutex
}

// line is a sequence of turns.
type line struct {
	program *program
	client  *client
	session string
	last    string // the turn that it continues from
	prefix  []string
	prompt  int
}

// Outcome of a program.
type Outcome string

// The outcomes.
const (
	Ended   Outcome = "ended"
	Spent   Outcome = "ended by its budget"
	Failed  Outcome = "failed"
	Looping Outcome = "looped"
)

// runProgram plays one; previous, if any, is a turn of another to continue from.
func (l *lab) runProgram(ctx context.Context, previous string) {
	p := &program{lab: l, name: fmt.Sprintf("p%012x", rand.Uint64()>>16), finish: time.Now().Add(programWorth)}
	looping := rand.IntN(loopingShare) == 0
	p.budget = int64(180 + rand.IntN(300))
	if looping {
		p.budget = 240
	}
	main := p.line(previous)
	defer main.client.close()
	outcome := Ended
	if looping {
		outcome = p.loop(ctx, main)
	} else if !p.usual(ctx, main) {
		outcome = Failed
		if p.ended() {
			outcome = Spent
		}
	}
	l.count.programs(outcome)
}

// line starts one, with a system prompt that many share.
func (p *program) line(previous string) *line {
	shared := fmt.Sprintf("%x:%d", 100+rand.IntN(3), 300)
	return &line{program: p, client: p.lab.newClient(), session: fmt.Sprintf("s%08x", rand.Uint32()), last: previous, prefix: []string{shared}, prompt: 300}
}

// fork gives a sub-agent's line, whose prompt begins with that of its parent.
func (n *line) fork() *line {
	return &line{program: n.program, client: n.program.lab.newClient(), session: fmt.Sprintf("s%08x", rand.Uint32()), last: n.last,
		prefix: append([]string{}, n.prefix...), prompt: n.prompt}
}

// usual is three turns with tools and a sub-agent between them.
func (p *program) usual(ctx context.Context, main *line) bool {
	if !main.turn(ctx) || !p.tools(ctx, main) || !main.turn(ctx) {
		return false
	}
	var both sync.WaitGroup
	ok := make([]bool, 2)
	for i := range ok {
		sub := main.fork()
		both.Go(func() {
			defer sub.client.close()
			first := sub.turn(ctx)
			ok[i] = first && sub.turn(ctx)
		})
	}
	both.Wait()
	return ok[0] && ok[1] && main.turn(ctx)
}

// loop starts sub-agents again and again until a turn ends it.
func (p *program) loop(ctx context.Context, main *line) Outcome {
	if !main.turn(ctx) {
		return Failed
	}
	for range mostLoops {
		var all sync.WaitGroup
		for range 3 {
			sub := main.fork()
			all.Go(func() {
				defer sub.client.close()
				sub.turn(ctx)
			})
		}
		all.Wait()
		if p.ended() {
			return Spent
		}
	}
	return Looping
}

func (p *program) ended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}

func (p *program) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
}

// turn takes one, sent anew twice where it fails.
func (n *line) turn(ctx context.Context) bool {
	most := 24 + 3*rand.IntN(12)
	input := fmt.Appendf(nil, "input of %s %x\n", n.session, rand.Uint64())
	tokens := 20 + len(input)/8
	prefix := append(append([]string{}, n.prefix...), fmt.Sprintf("%x:%d", rand.Uint32(), tokens))
	for range resends + 1 {
		if ctx.Err() != nil || n.program.ended() {
			return false
		}
		r := n.client.do(ctx, n.call(input, prefix, n.prompt+tokens, most))
		status := 0
		if r != nil && r.Answer != nil {
			status = r.Answer.Status
		}
		switch {
		case status == http.StatusOK && r.Answer.Complete:
			n.last, n.prompt = r.ID, n.prompt+tokens+most
			n.prefix = append(prefix, fmt.Sprintf("%x:%d", rand.Uint32(), most))
			n.program.lab.turnEnded(r.ID)
			return true
		case status == http.StatusPaymentRequired:
			n.program.end()
			return false
		case status >= 400 && status <= 404, status == http.StatusRequestEntityTooLarge:
			return false
		}
		sleep(ctx, time.Duration(100+rand.IntN(300))*time.Millisecond)
	}
	return false
}

func (n *line) call(input []byte, prefix []string, prompt, most int) *call {
	header := http.Header{}
	header.Set("Emberquay-Model-Name", modelName)
	header.Set("Emberquay-Token-Usage", fmt.Sprintf("%d,%d", prompt, most))
	header.Set("Emberquay-Prompt-Prefix", strings.Join(prefix, ","))
	n.program.headers(header, n.session)
	return &call{class: "turn", route: turnRoute, path: n.session, method: http.MethodPost, body: input, deadline: turnDeadline, header: header,
		program: n.program.name, budget: n.program.budget, most: int64(most), previous: n.last}
}

func (p *program) headers(header http.Header, session string) {
	header.Set("Session", session)
	header.Set("Finish-Ms", strconv.FormatInt(max(1, time.Until(p.finish).Milliseconds()), 10))
}

// tools calls two at once.
func (p *program) tools(ctx context.Context, main *line) bool {
	var both sync.WaitGroup
	ok := make([]bool, 2)
	for i := range ok {
		both.Go(func() {
			c := p.lab.newClient()
			defer c.close()
			header := http.Header{}
			p.headers(header, main.session)
			r := c.do(ctx, &call{class: "tool", route: readRoute, path: "tool", method: http.MethodGet, deadline: 2 * time.Second, header: header, program: p.name})
			ok[i] = served(r)
		})
	}
	both.Wait()
	return ok[0] && ok[1]
}

// served says that a call ended whole; the 500 of a tool's own is one.
func served(r *tierrules.Request) bool {
	return r != nil && r.Answer != nil && r.Answer.Complete && (r.Answer.Status/100 == 2 || r.Answer.Stamp != "")
}
