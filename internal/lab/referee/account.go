package referee

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"emberquay/internal/lab/world"
)

// ProductAccount is the account of one product. Each text has one fate: InTime, Late, Nacked, Failed, Lost or Unheard.
type ProductAccount struct {
	Name    string  `json:"name"`
	Texts   int     `json:"texts"`
	InTime  int     `json:"in_time"` // within the SLA time
	Late    int     `json:"late"`
	Nacked  int     `json:"nacked"`  // and not handed in again with success
	Failed  int     `json:"failed"`  // undeliverable
	Lost    int     `json:"lost"`    // taken on, and no end
	Unheard int     `json:"unheard"` // no answer, or the day ended before one
	Asked   float64 `json:"revenue_asked"`
	Earned  float64 `json:"revenue_in_time"`
	Faded   float64 `json:"revenue_late"`
	P50     float64 `json:"p50_ms"` // of the times to delivery, since the first hand-in
	P99     float64 `json:"p99_ms"`
	Doubled int     `json:"doubled"` // texts with more than one effect
}

// ReceiverAccount is the account of one receiver.
type ReceiverAccount struct {
	No        int `json:"no"`
	Calls     int `json:"calls"`
	Delivered int `json:"delivered"`
	Full      int `json:"full"`
	Errored   int `json:"errored"`
	Broken    int `json:"broken"`
	GivenUp   int `json:"given_up"`
	Overloads int `json:"fell"`
}

// Account is what a day came to.
type Account struct {
	Products  []ProductAccount  `json:"products"`
	Receivers []ReceiverAccount `json:"receivers"`
	HandIns   int               `json:"hand_ins"`
	Submits   int               `json:"submits"`
	Wasted    int               `json:"wasted"` // submits that were worked on and delivered nothing, as far as is known
	Refusals  int               `json:"refusals"`
	Waits     int               `json:"waits"` // told
}

// Revenue sums the products: what was earned in time, late, and asked for.
func (a *Account) Revenue() (inTime, late, asked float64) {
	for _, p := range a.Products {
		inTime, late, asked = inTime+p.Earned, late+p.Faded, asked+p.Asked
	}
	return inTime, late, asked
}

// root is a text with all its hand-ins.
type root struct {
	text    *world.Text
	fate    string // of the last hand-in, or delivered
	at      time.Duration
	effects int
}

type account struct {
	roots     map[*world.Text]*root
	receivers map[int]*ReceiverAccount
	handIns   int
	submits   int
	wasted    int
	refusals  int
	waits     int
}

func newAccount() account {
	return account{roots: map[*world.Text]*root{}, receivers: map[int]*ReceiverAccount{}}
}

func (a *account) root(t *world.Text) *root {
	if a.roots[t] == nil {
		a.roots[t] = &root{text: t}
	}
	return a.roots[t]
}

func (a *account) handedIn(t *text) {
	a.handIns++
	if o := a.root(t.Text); o.fate != "delivered" {
		o.fate = ""
	}
}

func (a *account) unheard(t *text) { a.ended(t, "unheard", 0) }

// ended: one hand-in has its end; a text is delivered once any of its hand-ins is.
func (a *account) ended(t *text, what string, at time.Duration) {
	if o := a.root(t.Text); o.fate != "delivered" {
		o.fate, o.at = what, at
	}
}

func (a *account) ran(t *text, known bool) {
	if !known {
		a.root(t.Text).effects++
	}
}

func (a *account) receiver(no int) *ReceiverAccount {
	if a.receivers[no] == nil {
		a.receivers[no] = &ReceiverAccount{No: no}
	}
	return a.receivers[no]
}

func (a *account) called(no int) {
	a.submits++
	a.receiver(no).Calls++
}

func (a *account) answered(c *call, outcome string) {
	o := a.receiver(c.receiver)
	switch outcome {
	case "delivered":
		o.Delivered++
		return
	case "full":
		o.Full++
		a.refusals++
		return
	case "errored":
		o.Errored++
	case "broken":
		o.Broken++
	case "given up":
		o.GivenUp++
	}
	if c.whole && outcome != "unsent" {
		a.wasted++
	}
}

func (a *account) fell(no int) { a.receiver(no).Overloads++ }

// Account adds up what was observed so far.
func (r *Referee) Account() *Account {
	a := &r.account
	out := &Account{HandIns: a.handIns, Submits: a.submits, Wasted: a.wasted, Refusals: a.refusals, Waits: a.waits}
	products := map[string]*ProductAccount{}
	times := map[string]*hdrhistogram.Histogram{}
	inOrder := slices.SortedFunc(maps.Keys(a.roots), func(x, y *world.Text) int { return x.No - y.No })
	for _, t := range inOrder { // sums of fractions go by the order
		o := a.roots[t]
		p := products[t.Product.Name]
		if p == nil {
			p = &ProductAccount{Name: t.Product.Name}
			products[p.Name] = p
			times[p.Name] = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
		}
		p.Texts++
		p.Asked += t.Product.Revenue
		if o.effects > 1 && t.Product.Repeat != "resendable" {
			p.Doubled++
		}
		switch o.fate {
		case "delivered":
			worth := t.Worth(o.at)
			times[p.Name].RecordValue(max(1, int64((o.at-t.At)/time.Microsecond)))
			if o.at-t.At <= time.Duration(t.Product.SLAS*float64(time.Second)) {
				p.InTime++
				p.Earned += worth
			} else {
				p.Late++
				p.Faded += worth
			}
		case "nacked":
			p.Nacked++
		case "failed":
			p.Failed++
		case "lost":
			p.Lost++
		default:
			p.Unheard++
		}
	}
	for name, p := range products {
		p.P50 = float64(times[name].ValueAtQuantile(50)) / 1000
		p.P99 = float64(times[name].ValueAtQuantile(99)) / 1000
		out.Products = append(out.Products, *p)
	}
	for _, o := range a.receivers {
		out.Receivers = append(out.Receivers, *o)
	}
	slices.SortFunc(out.Products, func(x, y ProductAccount) int { return strings.Compare(x.Name, y.Name) })
	slices.SortFunc(out.Receivers, func(x, y ReceiverAccount) int { return x.No - y.No })
	return out
}
