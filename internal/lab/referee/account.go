package referee

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"emberquay/internal/lab/world"
)

// ProductAccount is the account of one product. Each text has one outcome: InTime, Late, Nacked, Failed, Lost or
// Unheard.
type ProductAccount struct {
	Name    string  `json:"name"`
	Texts   int     `json:"texts"`
	InTime  int     `json:"in_time"` // within the SLA time
	Late    int     `json:"late"`
	Nacked  int     `json:"nacked"`  // and not handed in again successfully
	Failed  int     `json:"failed"`  // undeliverable
	Lost    int     `json:"lost"`    // accepted, and did not end
	Unheard int     `json:"unheard"` // no answer by the end of the day
	Asked   float64 `json:"revenue_asked"`
	Earned  float64 `json:"revenue_in_time"`
	Faded   float64 `json:"revenue_late"`
	P50     float64 `json:"p50_ms"` // of the time from the first hand-in to the delivery
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

// Account holds the statistics of a day.
type Account struct {
	Products  []ProductAccount  `json:"products"`
	Receivers []ReceiverAccount `json:"receivers"`
	HandIns   int               `json:"hand_ins"`
	Submits   int               `json:"submits"`
	Wasted    int               `json:"wasted"` // calls that ran and, as far as is known, delivered nothing
	Refusals  int               `json:"refusals"`
	Waits     int               `json:"waits"` // told by receivers
}

// Revenue returns the sums over all products of the revenue in time, of late texts, and of all texts handed in.
func (a *Account) Revenue() (inTime, late, asked float64) {
	for _, p := range a.Products {
		inTime, late, asked = inTime+p.Earned, late+p.Faded, asked+p.Asked
	}
	return inTime, late, asked
}

// textRecord is the outcome of a text over all its hand-ins.
type textRecord struct {
	text      *world.Text
	outcome   string // of the last hand-in, or "delivered" once any was
	outcomeAt time.Duration
	effects   int
}

type tally struct {
	texts     map[*world.Text]*textRecord
	receivers map[int]*ReceiverAccount
	handIns   int
	submits   int
	wasted    int
	refusals  int
	waits     int
}

func newTally() tally {
	return tally{texts: map[*world.Text]*textRecord{}, receivers: map[int]*ReceiverAccount{}}
}

func (a *tally) record(t *world.Text) *textRecord {
	if a.texts[t] == nil {
		a.texts[t] = &textRecord{text: t}
	}
	return a.texts[t]
}

func (a *tally) handedIn(t *text) {
	a.handIns++
	if record := a.record(t.Text); record.outcome != "delivered" {
		record.outcome = ""
	}
}

func (a *tally) unanswered(t *text) { a.ended(t, "unheard", 0) }

// ended records the outcome of one hand-in; a text is delivered once any of its hand-ins is.
func (a *tally) ended(t *text, outcome string, at time.Duration) {
	if record := a.record(t.Text); record.outcome != "delivered" {
		record.outcome, record.outcomeAt = outcome, at
	}
}

func (a *tally) executed(t *text, duplicate bool) {
	if !duplicate {
		a.record(t.Text).effects++
	}
}

func (a *tally) receiver(no int) *ReceiverAccount {
	if a.receivers[no] == nil {
		a.receivers[no] = &ReceiverAccount{No: no}
	}
	return a.receivers[no]
}

func (a *tally) called(no int) {
	a.submits++
	a.receiver(no).Calls++
}

func (a *tally) answered(c *call, outcome string) {
	receiver := a.receiver(c.receiver)
	switch outcome {
	case "delivered":
		receiver.Delivered++
		return
	case "full":
		receiver.Full++
		a.refusals++
		return
	case "errored":
		receiver.Errored++
	case "broken":
		receiver.Broken++
	case "given up":
		receiver.GivenUp++
	}
	if c.received && outcome != "unsent" {
		a.wasted++
	}
}

func (a *tally) overloaded(no int) { a.receiver(no).Overloads++ }

// Account returns the statistics of the observations so far.
func (r *Referee) Account() *Account {
	a := &r.account
	out := &Account{HandIns: a.handIns, Submits: a.submits, Wasted: a.wasted, Refusals: a.refusals, Waits: a.waits}
	products := map[string]*ProductAccount{}
	times := map[string]*hdrhistogram.Histogram{}
	sortedTexts := slices.SortedFunc(maps.Keys(a.texts), func(x, y *world.Text) int { return x.No - y.No })
	for _, t := range sortedTexts { // floating-point sums depend on the order
		record := a.texts[t]
		p := products[t.Product.Name]
		if p == nil {
			p = &ProductAccount{Name: t.Product.Name}
			products[p.Name] = p
			times[p.Name] = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
		}
		p.Texts++
		p.Asked += t.Product.Revenue
		if record.effects > 1 && t.Product.Repeat != "resendable" {
			p.Doubled++
		}
		switch record.outcome {
		case "delivered":
			worth := t.Worth(record.outcomeAt)
			times[p.Name].RecordValue(max(1, int64((record.outcomeAt-t.At)/time.Microsecond)))
			if record.outcomeAt-t.At <= time.Duration(t.Product.SLAS*float64(time.Second)) {
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
	for _, receiver := range a.receivers {
		out.Receivers = append(out.Receivers, *receiver)
	}
	slices.SortFunc(out.Products, func(x, y ProductAccount) int { return strings.Compare(x.Name, y.Name) })
	slices.SortFunc(out.Receivers, func(x, y ReceiverAccount) int { return x.No - y.No })
	return out
}
