// Package fleet plays a day of the world with modules in place of senders: hundreds of them, with no socket, clock or
// goroutine. The referee judges it as it does senders on sockets. How to use it:
//
//	day, err := w.Draw(seed)
//	p, err := fleet.New(day)
//	p.Run()
//	fmt.Println(p.Referee.Verdict(), p.Seconds)
//
// What lies between a module and the world is kept plain: each way takes a hop, every connection comes up at once where
// the receiver listens, a started sender knows its list, what a sender has taken on outlasts it, and every fate is a kill.
// The same day plays alike each time.
package fleet

import (
	"container/heap"
	"encoding/json"
	"math/rand/v2"
	"time"

	"emberquay/control"
	"emberquay/internal/delivery/config"
	"emberquay/internal/lab/referee"
	"emberquay/internal/lab/world"
)

// hop is the time of one way between a sender and a receiver.
const hop = 5 * time.Millisecond

// Second counts what the whole fleet did in one second of the day.
type Second struct {
	HandedIn, Delivered, GivenUp int
	Calls, Full, NoConnection    int
}

// Play is one day under way.
type Play struct {
	Referee *referee.Referee
	Seconds []Second

	day     *world.Day
	set     control.Settings
	chance  *rand.Rand
	now     time.Duration
	agenda  agenda
	entered int64 // of the agenda, to keep those of one instant in order
	nodes   []*node
	calls   int64
	submits map[*world.Text]int
}

// New makes the play of a day.
func New(day *world.Day) (*Play, error) {
	raw, err := json.Marshal(day.Settings())
	if err != nil {
		return nil, err
	}
	set, err := config.Flatten(raw)
	if err != nil {
		return nil, err
	}
	p := &Play{day: day, set: set, chance: rand.New(rand.NewPCG(day.Seed, 1)), submits: map[*world.Text]int{},
		Seconds: make([]Second, int(day.End/time.Second)+2)}
	of := func(receiver int) int { return day.Receivers[receiver].Destination().No }
	p.Referee = referee.New(day.World.Rules, day.World.Senders, of)
	for no := range day.World.Senders {
		n := &node{play: p, no: no, texts: map[string]*held{}}
		p.nodes = append(p.nodes, n)
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// Run plays it to its end.
func (p *Play) Run() {
	for _, t := range p.day.Texts {
		p.at(t.At, func() { p.hand(t, 0, "") })
	}
	for _, f := range p.day.Fates {
		n := p.nodes[f.Sender]
		from := time.Duration(f.AtS * float64(time.Second))
		p.at(from, n.kill)
		p.at(from+time.Duration(f.DownS*float64(time.Second)), func() { n.start() })
	}
	for i := range p.day.Changes {
		ch := &p.day.Changes[i]
		p.at(ch.At, func() { p.Referee.ReceiverStateChanged(p.now, ch.Receiver, ch.State) })
		for no, told := range ch.Told {
			p.at(told, func() { p.nodes[no].told(ch) })
		}
	}
	for len(p.agenda) > 0 && p.agenda[0].at <= p.day.End {
		e := heap.Pop(&p.agenda).(entry)
		p.now = e.at
		e.do()
	}
	p.now = p.day.End
	p.Referee.Finish(p.now)
}

// at puts something on the agenda.
func (p *Play) at(when time.Duration, do func()) {
	p.entered++
	heap.Push(&p.agenda, entry{max(when, p.now), p.entered, do})
}

func (p *Play) second() *Second { return &p.Seconds[min(int(p.now/time.Second), len(p.Seconds)-1)] }

type entry struct {
	at time.Duration
	no int64
	do func()
}

type agenda []entry

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].no < a[j].no
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(entry)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// hand has a client hand a text in for the n-th time, to any sender that is not known to be down.
func (p *Play) hand(t *world.Text, n int, mark string) {
	var up []*node
	for _, o := range p.nodes {
		if !o.down || p.now < o.downAt+p.day.Notices(o.no, o.life) {
			up = append(up, o)
		}
	}
	if len(up) == 0 {
		p.Referee.SenderUnavailable(p.now, t)
		return
	}
	o := up[p.chance.IntN(len(up))]
	if o.down {
		p.again(t, n, world.NoAnswer, 0)
		return
	}
	p.second().HandedIn++
	h := &held{text: t, n: n, id: p.day.ID(t, n), fresh: true}
	p.Referee.HandedIn(p.now, referee.HandIn{ID: h.id, Sender: o.no, Text: t, ValidUntil: t.Validity()})
	o.texts[h.id] = h
	o.step(func() { o.take(h, mark != "") })
	h.fresh = false
	heard := world.Taken
	if h.ended {
		heard = h.verdict
	}
	p.Referee.ClientAnswered(p.now, h.id, heard, h.advice)
	if h.ended {
		p.again(t, n, heard, h.advice)
	}
}

// again has the client come back, if it does.
func (p *Play) again(t *world.Text, n int, heard world.Heard, advice time.Duration) {
	if next, comes := p.day.After(p.now, t, n, heard, advice); comes {
		p.at(next.At, func() { p.hand(t, n+1, next.Mark) })
	}
}
