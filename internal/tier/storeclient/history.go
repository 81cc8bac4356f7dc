package storeclient

import (
	"context"
	"time"

	"emberquay/internal/tier/storewire"
)

const (
	// historyLimit bounds the look-up of a conversation; then it is Unsure.
	historyLimit = time.Second
	// nearHedge is how long the stores of the own zone may take before all others are asked.
	nearHedge = 30 * time.Millisecond
	// holderHedge is how long a store may take for the texts before the next one that knows the turn is asked.
	holderHedge = 100 * time.Millisecond
	// mostTurns bounds a conversation: a chain that is longer is taken for a broken one.
	mostTurns = 1 << 14
)

// History gives the conversation up to a turn. Missing says that certainly no such turn exists; whatever else keeps it
// from being Found is Unsure. It takes a second at most.
func (c *Client) History(ctx context.Context, previous string) (History, Verdict) {
	if turns, _ := c.cache.conversation(previous); len(turns) > 0 {
		return historyOf(turns), Found
	}
	ctx, cancel := context.WithTimeout(ctx, historyLimit)
	defer cancel()
	for {
		view := c.current.Load()
		if view.usable() {
			turns, verdict, decided := c.lookUp(ctx, view, previous)
			if verdict == Found {
				return historyOf(turns), Found
			}
			if decided {
				return History{}, verdict
			}
		}
		if !view.renewed(ctx) {
			return History{}, Unavailable
		}
	}
}

func historyOf(turns []storewire.Turn) History {
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

// lookUp collects a conversation under one view, from its end to its root. It gives false if the view has changed.
func (c *Client) lookUp(ctx context.Context, view *snapshot, previous string) ([]storewire.Turn, Verdict, bool) {
	var backwards []storewire.Turn
	wanted := previous
	for wanted != "" && len(backwards) < mostTurns {
		if cached, _ := c.cache.conversation(wanted); len(cached) > 0 {
			return c.join(cached, backwards), Found, true
		}
		s := newSearch(c, view, wanted)
		found, verdict, decided := s.run(ctx)
		if verdict != Found {
			if len(backwards) > 0 {
				verdict = Unavailable // the turn itself is known: that it exists is certain
			}
			return nil, verdict, decided
		}
		backwards = append(backwards, found...)
		wanted = backwards[len(backwards)-1].Previous
	}
	if wanted != "" {
		return nil, Unavailable, true
	}
	return c.join(nil, backwards), Found, true
}

// join puts turns that were found from the end behind those before them, and keeps them.
func (c *Client) join(oldest, backwards []storewire.Turn) []storewire.Turn {
	turns := oldest
	for at := len(backwards) - 1; at >= 0; at-- {
		turns = append(turns, backwards[at])
		c.cache.put(backwards[at])
	}
	return turns
}

// search looks for one turn under one view. The stores of the own zone are asked for it at once. The others are first
// asked whether they know it, since bytes between zones are dear.
type search struct {
	client  *Client
	view    *snapshot
	wanted  string
	answers chan historyAnswer
	asked   []bool       // by member: it was asked
	near    int          // first calls to the own zone that are under way
	far     bool         // the others have been asked
	unknown map[int]bool // complete members that do not know the turn
	holders []int        // members that know it and have not been asked for its texts
	texts   bool         // a holder is being asked for them
	known   bool         // some member knows it
	hedge   *time.Timer
}

type historyAnswer struct {
	member int
	bodies bool
	answer storewire.HistoryAnswer
	err    error
}

func newSearch(c *Client, view *snapshot, wanted string) *search {
	return &search{
		client:  c,
		view:    view,
		wanted:  wanted,
		answers: make(chan historyAnswer, len(view.view.Members)),
		asked:   make([]bool, len(view.view.Members)),
		unknown: map[int]bool{},
	}
}

// run gives the turns found, from the one wanted towards the root, or a verdict; false if the view has changed.
func (s *search) run(ctx context.Context) ([]storewire.Turn, Verdict, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for at, m := range s.view.view.Members {
		if m.Zone == s.client.zone && !s.client.suspect(m.Address) {
			s.near++
			s.asked[at] = true
			go s.ask(ctx, at, true)
		}
	}
	s.hedge = time.NewTimer(nearHedge)
	defer s.hedge.Stop()
	for {
		if s.near == 0 {
			s.askFar(ctx)
		}
		select {
		case a := <-s.answers:
			if turns := s.take(ctx, a); len(turns) > 0 {
				return turns, Found, true
			}
		case <-s.hedge.C:
			s.askFar(ctx)
			s.texts = false // the next holder may be quicker
			s.askHolder(ctx)
		case <-s.view.changed:
			return nil, Unavailable, false
		case <-ctx.Done():
			return nil, Unavailable, true
		}
		if !s.known && len(s.unknown) >= s.view.view.NotFoundQuorum() {
			return nil, Missing, true
		}
	}
}

// askFar asks all that were not asked at first, once.
func (s *search) askFar(ctx context.Context) {
	if s.far {
		return
	}
	s.far = true
	for at, asked := range s.asked {
		if !asked {
			go s.ask(ctx, at, false)
		}
	}
}

func (s *search) ask(ctx context.Context, member int, bodies bool) {
	address := s.view.view.Members[member].Address
	request := storewire.HistoryRequest{Header: s.view.header(member), Turn: s.wanted, WithBodies: bodies}
	a, err := s.client.caller.History(ctx, address, request)
	select {
	case s.answers <- historyAnswer{member: member, bodies: bodies, answer: a, err: err}:
	case <-ctx.Done():
	}
}

// take deals with one answer: the turns, or what follows from it.
func (s *search) take(ctx context.Context, a historyAnswer) []storewire.Turn {
	member := s.view.view.Members[a.member]
	s.client.heard(member.Address, a.err == nil)
	if a.bodies && s.texts {
		s.texts = false
	}
	if a.bodies && !s.far && s.near > 0 {
		s.near--
	}
	served := a.err == nil && s.client.heed(a.answer.Reply)
	switch {
	case served && a.answer.Known && a.bodies:
		s.known = true
		if turns := s.decode(a.answer.Turns); len(turns) > 0 {
			return turns
		}
		s.again(ctx, a.member, false)
	case served && a.answer.Known:
		s.known = true
		s.holders = append(s.holders, a.member)
	case served && a.answer.Reply.Complete:
		s.unknown[a.member] = true
	default:
		s.again(ctx, a.member, a.bodies && member.Zone == s.client.zone)
	}
	s.askHolder(ctx)
	return nil
}

// askHolder asks one of those that know the turn for its texts.
func (s *search) askHolder(ctx context.Context) {
	if s.texts || len(s.holders) == 0 {
		return
	}
	holder := s.holders[0]
	s.holders = s.holders[1:]
	s.texts = true
	s.hedge.Reset(holderHedge)
	go s.ask(ctx, holder, true)
}

// again asks a store once more, a little later.
func (s *search) again(ctx context.Context, member int, bodies bool) {
	time.AfterFunc(retryPause, func() {
		if ctx.Err() == nil {
			s.ask(ctx, member, bodies)
		}
	})
}

// decode reads the turns of an answer as far as they make a chain that begins with the one wanted.
func (s *search) decode(records [][]byte) []storewire.Turn {
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
