package storeclient

import (
	"context"
	"time"

	"emberquay/internal/tier/storewire"
)

const (
	// historyTimeout bounds the lookup of a conversation; after it the verdict is Unavailable.
	historyTimeout = time.Second
	// localHedgeDelay is how long the stores of the client's own zone may take before all others are called.
	localHedgeDelay = 30 * time.Millisecond
	// holderHedgeDelay is how long a store may take to return bodies before the next holder of the turn is called.
	holderHedgeDelay = 100 * time.Millisecond
	// maxTurns bounds a conversation: a longer chain is treated as corrupt.
	maxTurns = 1 << 14
)

// History returns the conversation up to a turn. The verdict is Missing only if the turn certainly does not exist; all
// other failures are Unavailable. It takes at most one second.
func (c *Client) History(ctx context.Context, previous string) (History, Verdict) {
	if turns, _ := c.cache.conversation(previous); len(turns) > 0 {
		return newHistory(turns), Found
	}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	for {
		snapshot := c.current.Load()
		if snapshot.usable() {
			turns, verdict, decided := c.collectInView(ctx, snapshot, previous)
			if verdict == Found {
				return newHistory(turns), Found
			}
			if decided {
				return History{}, verdict
			}
		}
		if !snapshot.waitForNewer(ctx) {
			return History{}, Unavailable
		}
	}
}

func newHistory(turns []storewire.Turn) History {
	size := 0
	for _, t := range turns {
		size += len(t.Input) + len(t.Output)
	}
	body := make([]byte, 0, size)
	for _, t := range turns {
		body = append(body, t.Input...)
		body = append(body, t.Output...)
	}
	return History{Root: turns[0].Root, Body: body}
}

// collectInView reads a conversation within one view, from its end to its root. It returns false if the view changed.
func (c *Client) collectInView(ctx context.Context, snapshot *snapshot, previous string) ([]storewire.Turn, Verdict, bool) {
	var newestFirst []storewire.Turn
	wanted := previous
	for wanted != "" && len(newestFirst) < maxTurns {
		if cached, _ := c.cache.conversation(wanted); len(cached) > 0 {
			return c.assemble(cached, newestFirst), Found, true
		}
		s := newSearch(c, snapshot, wanted)
		found, verdict, decided := s.run(ctx)
		if verdict != Found {
			if len(newestFirst) > 0 {
				verdict = Unavailable // the turn itself exists, only a predecessor was not found
			}
			return nil, verdict, decided
		}
		newestFirst = append(newestFirst, found...)
		wanted = newestFirst[len(newestFirst)-1].Previous
	}
	if wanted != "" {
		return nil, Unavailable, true
	}
	return c.assemble(nil, newestFirst), Found, true
}

// assemble appends newestFirst in reverse to the preceding turns, and caches the appended turns.
func (c *Client) assemble(oldest, newestFirst []storewire.Turn) []storewire.Turn {
	turns := oldest
	for i := len(newestFirst) - 1; i >= 0; i-- {
		turns = append(turns, newestFirst[i])
		c.cache.put(newestFirst[i])
	}
	return turns
}

// search looks up one turn within one view. The stores of the client's own zone are asked for the bodies at once. The
// others are first asked whether they know the turn, since traffic between zones is expensive.
type search struct {
	client       *Client
	snapshot     *snapshot
	wanted       string
	answers      chan historyAnswer
	asked        []bool       // by member: called at the start
	localPending int          // first calls to the own zone that are in progress
	remoteAsked  bool         // the other members have been called
	notFound     map[int]bool // complete members that do not know the turn
	holders      []int        // members that know the turn and have not been asked for bodies
	bodyPending  bool         // a call to a holder is in progress
	known        bool         // some member knows the turn
	hedgeTimer   *time.Timer
}

type historyAnswer struct {
	member     int
	withBodies bool
	answer     storewire.HistoryAnswer
	err        error
}

func newSearch(c *Client, snapshot *snapshot, wanted string) *search {
	return &search{
		client:   c,
		snapshot: snapshot,
		wanted:   wanted,
		answers:  make(chan historyAnswer, len(snapshot.view.Members)),
		asked:    make([]bool, len(snapshot.view.Members)),
		notFound: map[int]bool{},
	}
}

// run returns the turns found, from the wanted one towards the root, or a verdict; false if the view changed.
func (s *search) run(ctx context.Context) ([]storewire.Turn, Verdict, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for index, m := range s.snapshot.view.Members {
		if m.Zone == s.client.zone && !s.client.isSuspect(m.Address) {
			s.localPending++
			s.asked[index] = true
			go s.ask(ctx, index, true)
		}
	}
	s.hedgeTimer = time.NewTimer(localHedgeDelay)
	defer s.hedgeTimer.Stop()
	for {
		if s.localPending == 0 {
			s.askRemote(ctx)
		}
		select {
		case a := <-s.answers:
			if turns := s.handleAnswer(ctx, a); len(turns) > 0 {
				return turns, Found, true
			}
		case <-s.hedgeTimer.C:
			s.askRemote(ctx)
			s.bodyPending = false // the next holder may be faster
			s.askNextHolder(ctx)
		case <-s.snapshot.changed:
			return nil, Unavailable, false
		case <-ctx.Done():
			return nil, Unavailable, true
		}
		if !s.known && len(s.notFound) >= s.snapshot.view.NotFoundQuorum() {
			return nil, Missing, true
		}
	}
}

// askRemote asks the members not called at the start whether they know the turn. Only the first call has an effect.
func (s *search) askRemote(ctx context.Context) {
	if s.remoteAsked {
		return
	}
	s.remoteAsked = true
	for index, asked := range s.asked {
		if !asked {
			go s.ask(ctx, index, false)
		}
	}
}

func (s *search) ask(ctx context.Context, member int, withBodies bool) {
	address := s.snapshot.view.Members[member].Address
	request := storewire.HistoryRequest{Header: s.snapshot.header(member), Turn: s.wanted, WithBodies: withBodies}
	a, err := s.client.caller.History(ctx, address, request)
	select {
	case s.answers <- historyAnswer{member: member, withBodies: withBodies, answer: a, err: err}:
	case <-ctx.Done():
	}
}

// handleAnswer processes an answer. It returns the turns if the answer holds any.
func (s *search) handleAnswer(ctx context.Context, a historyAnswer) []storewire.Turn {
	member := s.snapshot.view.Members[a.member]
	s.client.recordAnswered(member.Address, a.err == nil)
	if a.withBodies && s.bodyPending {
		s.bodyPending = false
	}
	if a.withBodies && !s.remoteAsked && s.localPending > 0 {
		s.localPending--
	}
	served := a.err == nil && s.client.acceptReply(a.answer.Reply)
	switch {
	case served && a.answer.Known && a.withBodies:
		s.known = true
		if turns := s.decodeChain(a.answer.Turns); len(turns) > 0 {
			return turns
		}
		s.retryLater(ctx, a.member, false)
	case served && a.answer.Known:
		s.known = true
		s.holders = append(s.holders, a.member)
	case served && a.answer.Reply.Complete:
		s.notFound[a.member] = true
	default:
		s.retryLater(ctx, a.member, a.withBodies && member.Zone == s.client.zone)
	}
	s.askNextHolder(ctx)
	return nil
}

// askNextHolder asks the next holder for bodies unless such a call is in progress.
func (s *search) askNextHolder(ctx context.Context) {
	if s.bodyPending || len(s.holders) == 0 {
		return
	}
	holder := s.holders[0]
	s.holders = s.holders[1:]
	s.bodyPending = true
	s.hedgeTimer.Reset(holderHedgeDelay)
	go s.ask(ctx, holder, true)
}

// retryLater calls a store again after retryDelay.
func (s *search) retryLater(ctx context.Context, member int, withBodies bool) {
	time.AfterFunc(retryDelay, func() {
		if ctx.Err() == nil {
			s.ask(ctx, member, withBodies)
		}
	})
}

// decodeChain decodes the turns of an answer as far as they form a chain that begins with the wanted turn.
func (s *search) decodeChain(records [][]byte) []storewire.Turn {
	turns := make([]storewire.Turn, 0, len(records))
	wanted := s.wanted
	for _, record := range records {
		t, err := storewire.DecodeTurn(record)
		if err != nil || t.ID != wanted {
			break
		}
		turns = append(turns, t)
		wanted = t.Previous
	}
	return turns
}
