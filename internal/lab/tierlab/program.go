package tierlab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"emberquay/internal/lab/referee/tierrules"
	"emberquay/internal/lab/tierworld"
)

const (
	// turnDeadline is the client's deadline for a turn.
	turnDeadline = 5 * time.Second
	// maxTurnRetries is how often a failed turn is retried.
	maxTurnRetries = 2
	// maxLoopRounds ends a looping program that its budget does not end.
	maxLoopRounds = 40
	// loopAgents is the number of sub-agents that a looping program starts at once.
	loopAgents = 3
)

// program is one run of an agent program: turns, tool calls and sub-agents under one budget.
type program struct {
	lab      *lab
	shape    tierworld.Programs
	name     string
	budget   int64
	deadline time.Time
	stopped  bool // a turn was refused for the exhausted budget
	mu       sync.Mutex
}

// conversation is a sequence of turns.
type conversation struct {
	program      *program
	client       *client
	session      string
	previousTurn string // the turn to continue from, if the tier retains turns
	history      []byte // previous inputs and outputs, if it does not
	prefix       []string
	prompt       int
}

// Outcome is the outcome of a program.
type Outcome string

// Outcomes of a program.
const (
	Completed        Outcome = "ended"
	BudgetExhausted  Outcome = "ended by its budget"
	Failed           Outcome = "failed"
	LoopLimitReached Outcome = "looped"
)

// runProgram runs a program; previous, if any, is a turn of another program to continue from.
func (l *lab) runProgram(ctx context.Context, previous string) {
	began := l.record.now()
	p := l.newProgram()
	looping := rand.Float64() < p.shape.Looping
	if looping {
		p.budget = int64(p.shape.LoopingBudget)
	}
	main := p.newConversation(previous)
	defer main.client.close()
	outcome := Completed
	if looping {
		outcome = p.runLoop(ctx, main)
	} else if !p.runTurns(ctx, main) {
		outcome = Failed
		if p.isStopped() {
			outcome = BudgetExhausted
		}
	}
	l.programCounts.add(outcome)
	l.recordProgram(ProgramRun{Started: began, Ended: l.record.now(), Outcome: outcome})
}

func (l *lab) newProgram() *program {
	shape := l.world.Programs
	return &program{lab: l, shape: shape, name: fmt.Sprintf("p%012x", rand.Uint64()>>16), budget: int64(drawInt(shape.Budget)),
		deadline: time.Now().Add(time.Duration(shape.FinishS * float64(time.Second)))}
}

// newConversation starts a conversation with a system prompt that many share.
func (p *program) newConversation(previous string) *conversation {
	shared := fmt.Sprintf("%x:%d", 100+rand.IntN(3), 300)
	return &conversation{program: p, client: p.lab.newClient(), session: fmt.Sprintf("s%08x", rand.Uint32()), previousTurn: previous, prefix: []string{shared}, prompt: 300}
}

// fork returns a sub-agent's conversation, whose prompt begins with that of its parent.
func (conv *conversation) fork() *conversation {
	return &conversation{program: conv.program, client: conv.program.lab.newClient(), session: fmt.Sprintf("s%08x", rand.Uint32()), previousTurn: conv.previousTurn,
		history: slices.Clone(conv.history), prefix: append([]string{}, conv.prefix...), prompt: conv.prompt}
}

// runTurns runs the program's turns, with tool calls after the first and sub-agents before the last.
func (p *program) runTurns(ctx context.Context, main *conversation) bool {
	if !main.turns(ctx, 1) || !p.callTools(ctx, main) {
		return false
	}
	if !main.turns(ctx, p.shape.Turns-2) || !p.runSubAgents(ctx, main) {
		return false
	}
	return main.turns(ctx, min(1, p.shape.Turns-1))
}

// turns runs count turns in sequence and reports whether all were served.
func (conv *conversation) turns(ctx context.Context, count int) bool {
	for range count {
		if !conv.turn(ctx) {
			return false
		}
	}
	return true
}

// runSubAgents runs the sub-agents concurrently and reports whether all were served.
func (p *program) runSubAgents(ctx context.Context, main *conversation) bool {
	var wg sync.WaitGroup
	ok := make([]bool, p.shape.SubAgents)
	for i := range ok {
		sub := main.fork()
		wg.Go(func() {
			defer sub.client.close()
			ok[i] = sub.turns(ctx, p.shape.SubTurns)
		})
	}
	wg.Wait()
	return !slices.Contains(ok, false)
}

// runLoop starts sub-agents repeatedly until the budget is exhausted or none of a round is served: a program that is refused
// permanently, for example because turns of it can no longer be settled, must not keep sending for the rest of the run.
func (p *program) runLoop(ctx context.Context, main *conversation) Outcome {
	if !main.turn(ctx) {
		return Failed
	}
	for range maxLoopRounds {
		var wg sync.WaitGroup
		served := make([]bool, loopAgents)
		for i := range served {
			sub := main.fork()
			wg.Go(func() {
				defer sub.client.close()
				served[i] = sub.turn(ctx)
			})
		}
		wg.Wait()
		if p.isStopped() {
			return BudgetExhausted
		}
		if !slices.Contains(served, true) {
			return Failed
		}
	}
	return LoopLimitReached
}

func (p *program) isStopped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}

func (p *program) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
}

// turn runs one turn, with up to maxTurnRetries retries.
func (conv *conversation) turn(ctx context.Context) bool {
	maxTokens := drawWholeChunks(conv.program.shape.OutTokens)
	input := fmt.Appendf(nil, "input of %s %x\n", conv.session, rand.Uint64())
	tokens := 20 + len(input)/8
	prefix := append(append([]string{}, conv.prefix...), fmt.Sprintf("%x:%d", rand.Uint32(), tokens))
	for range maxTurnRetries + 1 {
		if ctx.Err() != nil || conv.program.isStopped() {
			return false
		}
		r := conv.client.send(ctx, conv.call(input, prefix, conv.prompt+tokens, maxTokens))
		status := 0
		if r != nil && r.Answer != nil {
			status = r.Answer.Status
		}
		switch {
		case status == http.StatusOK && r.Answer.Complete:
			conv.prompt += tokens + maxTokens
			conv.prefix = append(prefix, fmt.Sprintf("%x:%d", rand.Uint32(), maxTokens))
			conv.recordTurn(r, input)
			return true
		case status == http.StatusPaymentRequired:
			conv.program.stop()
			return false
		case status >= 400 && status <= 404, status == http.StatusRequestEntityTooLarge:
			return false
		}
		sleep(ctx, time.Duration(100+rand.IntN(300))*time.Millisecond)
	}
	return false
}

// recordTurn records a served turn: its ID if the tier retains turns, else its input and output.
func (conv *conversation) recordTurn(r *tierrules.Request, input []byte) {
	if conv.program.shape.Retained {
		conv.previousTurn = r.ID
		conv.program.lab.recordCompletedTurn(r.ID)
		return
	}
	conv.history = append(conv.history, input...)
	for _, event := range r.Answer.Events {
		conv.history = append(append(conv.history, event.Data...), '\n')
	}
}

func (conv *conversation) call(input []byte, prefix []string, prompt, maxTokens int) *call {
	header := http.Header{}
	header.Set("Emberquay-Model-Name", modelName)
	header.Set("Emberquay-Token-Usage", fmt.Sprintf("%d,%d", prompt, maxTokens))
	header.Set("Emberquay-Prompt-Prefix", strings.Join(prefix, ","))
	conv.program.headers(header, conv.session)
	body := slices.Concat(conv.history, input)
	return &call{class: "turn", route: conv.program.lab.turnRoute(), path: conv.session, method: http.MethodPost, body: body, deadline: turnDeadline, header: header,
		program: conv.program.name, budget: conv.program.budget, maxTokens: int64(maxTokens), previous: conv.previousTurn, programDeadline: conv.program.deadline}
}

func (p *program) headers(header http.Header, session string) {
	header.Set("Session", session)
	header.Set("Finish-Ms", strconv.FormatInt(max(1, time.Until(p.deadline).Milliseconds()), 10))
}

// callTools calls the program's tools concurrently and reports whether all were served.
func (p *program) callTools(ctx context.Context, main *conversation) bool {
	var wg sync.WaitGroup
	ok := make([]bool, p.shape.Tools)
	for i := range ok {
		wg.Go(func() {
			c := p.lab.newClient()
			defer c.close()
			header := http.Header{}
			p.headers(header, main.session)
			r := c.send(ctx, &call{class: "tool", route: readRoute, path: "tool", method: http.MethodGet, deadline: 2 * time.Second, header: header, program: p.name})
			ok[i] = served(r)
		})
	}
	wg.Wait()
	return !slices.Contains(ok, false)
}

// served reports whether a call was answered completely; a 500 by the tool itself counts.
func served(r *tierrules.Request) bool {
	return r != nil && r.Answer != nil && r.Answer.Complete && (r.Answer.Status/100 == 2 || r.Answer.Stamp != "")
}
