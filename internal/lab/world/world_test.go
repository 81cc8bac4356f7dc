package world

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"emberquay/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

func mustDraw(t testing.TB, w *World, seed uint64) *Day {
	t.Helper()
	d, err := w.Draw(seed)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// The same seed must give the same day, whatever the senders do.
func TestSameSeedSameDay(t *testing.T) {
	a, b := mustDraw(t, Default(), 5), mustDraw(t, Default(), 5)
	for i, x := range a.Texts {
		y := b.Texts[i]
		if x.At != y.At || x.Mark != y.Mark || x.WorkFactor != y.WorkFactor || x.Destination != y.Destination || a.ID(x, 1) != b.ID(y, 1) {
			t.Fatalf("text %d: %+v, %+v", i, x, y)
		}
	}
	if len(a.Texts) != len(b.Texts) || !reflect.DeepEqual(a.Changes, b.Changes) || fmt.Sprint(a.Incidents) != fmt.Sprint(b.Incidents) {
		t.Error("the days differ")
	}
	// The service time of a call must not depend on the calls before it.
	serviceTime := func(d *Day, before int) time.Duration {
		r := d.Receivers[7]
		for i := range before {
			r.Begin(time.Duration(i)*time.Microsecond, &Call{Text: d.Texts[i]})
		}
		c := &Call{Text: d.Texts[90], SubmitNo: 1}
		endAt, ends := r.Begin(2*time.Minute, c)
		if !ends || r.End(endAt, c).Status != 200 {
			t.Fatalf("%+v", c)
		}
		return endAt - 2*time.Minute
	}
	if x, y := serviceTime(a, 0), serviceTime(b, 30); x != y {
		t.Errorf("a call takes %s, after others %s", x, y)
	}
	w := Default()
	w.Fate[0].LaterS, w.Trouble[0].LaterS = 2, 2
	x, y := mustDraw(t, w, 5), mustDraw(t, w, 5)
	if at := x.Fates[0].AtS; at == w.Fate[0].AtS || at > w.Fate[0].AtS+2 || at != y.Fates[0].AtS || x.Incidents[0].From != y.Incidents[0].From ||
		x.Incidents[0].To-x.Incidents[0].From != 2*time.Second {
		t.Errorf("drawn instants: %+v %+v", x.Fates, x.Incidents[0])
	}
	if c := mustDraw(t, Default(), 6); c.Texts[0].At == a.Texts[0].At {
		t.Error("another seed gives the same day")
	}
}

// Read must reject descriptions whose values are invalid by themselves or inconsistent with each other.
func TestReadRejectsInconsistentWorlds(t *testing.T) {
	for text, want := range map[string]string{
		"[[product]]\nname='a'\nshare=1\nsla_s=9\nvalidity_s=2\nrepeat='resendable'":    "product 1 (a): sla_s: 9 is over validity_s, 2",
		"[[product]]\nname='a'\nshare=1\nsla_s=1\nvalidity_s=2\nrepeat='referenced'":    "product 1 (a): window_s: missing",
		"[[product]]\nname='a'\nshare=0\nsla_s=1\nvalidity_s=2\nrepeat='resendable'":    "product: share",
		"[[trouble]]\nwhat='silent'\nkind='huge'":                                       `trouble 1 (silent): kind: "huge" is not described`,
		"[[fate]]\nwhat='kill'\nsender=3":                                               "fate 1 (kill): sender: 3",
		"[load]\nbody_bytes=[5, 3]":                                                     "load.body_bytes: [5 3] is neither",
		"seconds = 0":                                                                   "line 1: seconds: 0 is out of range; allowed: a number, 1 to 3600",
		"\n[rules]\ncold_form = 3":                                                      "line 3: rules.cold_form: this key is not known",
		"[[kind]]\nname='x'\ndestinations=1\nservice_ms=[1,2]\nspare=[1]\nlimit='none'": "kind 1 (x): endpoints",
	} {
		if _, err := Read([]byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
	raw, err := Print(Default())
	if err != nil {
		t.Fatal(err)
	}
	w, err := Read(raw)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := Print(w); err != nil || string(again) != string(raw) {
		t.Errorf("the printed default reads as %s, %v", again, err)
	}
}

// randomWorld draws a world with any kind of limits and troubles.
func randomWorld(t *rapid.T) *World {
	w := Default()
	w.Seconds, w.Fate = 5, nil
	w.Load.PerSecond = rapid.Float64Range(1, 200).Draw(t, "rate")
	for i := range w.Kind {
		w.Kind[i].Limit = rapid.SampledFrom([]string{"none", "rate", "span"}).Draw(t, "limit")
		w.Kind[i].SpanS = rapid.Float64Range(0.2, 3).Draw(t, "span")
		w.Kind[i].Queue = rapid.Float64Range(0, 4).Draw(t, "queue")
		w.Kind[i].Conns = rapid.Float64Range(0, 4).Draw(t, "conns")
		w.Kind[i].Headroom = []float64{0.5, 2}
		w.Kind[i].RefusedCount = rapid.Bool().Draw(t, "count")
		w.Kind[i].TellsWait = 1
	}
	whats := []string{"refuse", "reset", "silent", "errors", "full", "slow", "pause", "drain", "replace", "flash", "hot", "list_silent"}
	w.Trouble = nil
	for range rapid.IntRange(0, 4).Draw(t, "troubles") {
		w.Trouble = append(w.Trouble, Trouble{What: rapid.SampledFrom(whats).Draw(t, "what"), AtS: rapid.Float64Range(0, 4).Draw(t, "at"),
			ForS: rapid.Float64Range(0.1, 3).Draw(t, "for"), Share: 0.5, Factor: rapid.Float64Range(0, 1).Draw(t, "factor")})
	}
	return w
}

// No destination lets more calls through than its limit, no queue or connection table exceeds its size, and a call passes
// after the wait that a refusal gives.
func TestModelsKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := randomWorld(t)
		d, err := w.Draw(rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		passed := make([][]time.Duration, len(d.Destinations))
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 150).Draw(t, "calls") {
			now += time.Duration(rapid.IntRange(0, 80).Draw(t, "gap")) * time.Millisecond
			r := d.Receivers[rapid.IntRange(0, len(d.Receivers)-1).Draw(t, "receiver")]
			c := &Call{Text: &Text{No: i, Product: &w.Product[0], WorkFactor: 1}, Sender: i % 2}
			endAt, ends := r.Begin(now, c)
			if len(r.queuedStarts) > r.maxQueue {
				t.Fatalf("%d wait, %d may", len(r.queuedStarts), r.maxQueue)
			}
			if !ends {
				continue
			}
			if endAt < now {
				t.Fatalf("due %s before %s", endAt, now)
			}
			if c.refused && c.retryAfter > 0 && c.reason == "limit" {
				l := *r.dest.Limit
				if left := l.remainingAt(now + c.retryAfter + time.Microsecond); left < 0.999 {
					t.Fatalf("told to wait %s, and %v is left then", c.retryAfter, left)
				}
			}
			if !c.refused || c.reason == "queue" {
				passed[r.dest.No] = append(passed[r.dest.No], now)
			}
			for r.Connect() && r.conns < 99 {
			}
			if r.maxConns > 0 && r.conns > r.maxConns {
				t.Fatalf("%d connections, %d may", r.conns, r.maxConns)
			}
			if report := r.dest.currentReport(now); report.Present && (report.Share < 0 || report.Share > 1) {
				t.Fatalf("%+v", report)
			}
		}
		for i, dest := range d.Destinations {
			l := dest.Limit
			if l == nil {
				continue
			}
			span, maxCalls := time.Second, 2*l.burst(0)
			if l.span > 0 {
				span = l.span // any window of that length overlaps at most two spans
			}
			for k, at := range passed[i] {
				end, _ := slices.BinarySearch(passed[i], at+span)
				if n := float64(end - k); n > maxCalls+1 {
					t.Fatalf("%v calls within %s, the limit is %v", n, span, l.count)
				}
			}
		}
		best := 0.0
		for _, revenue := range d.BestRevenue() {
			best += revenue
		}
		asked := 0.0
		for _, x := range d.Texts {
			asked += x.Product.Revenue
		}
		if best > asked+1e-6 {
			t.Fatalf("best %v of %v", best, asked)
		}
	})
}

// Revenue is full within the SLA time, halves with each further SLA time, and stays at or above the late share until the
// validity period ends.
func TestWorth(t *testing.T) {
	x := &Text{At: time.Second, Product: &Product{SLAS: 2, ValidityS: 8, Revenue: 4, LateShare: 0.3}}
	for at, want := range map[float64]float64{1: 4, 3: 4, 3.01: 2, 5: 2, 5.01: 1.2, 9: 1.2, 9.01: 0} {
		if got := x.Worth(seconds(at)); got != want {
			t.Errorf("at %vs %v, want %v", at, got, want)
		}
	}
}

// A cold receiver tolerates a multiple of its current capacity. It must fail above that, and not for a sender below it.
func TestColdReceiverOverloads(t *testing.T) {
	w := Default()
	w.Trouble = []Trouble{{What: "silent", AtS: 1, ForS: 1, Kind: "plain", Share: 1}}
	for _, c := range []struct {
		times float64
		falls bool
	}{{0.9, false}, {1.6, true}} {
		d := mustDraw(t, w, 3)
		r := d.Receivers[len(d.Receivers)-1]
		base := r.Capacity(0)
		now := 2 * time.Second
		for i := 0; now < 5*time.Second; i++ {
			now += seconds(1 / (c.times * w.Rules.FallMultiple * r.Capacity(now)))
			r.Begin(now, &Call{Text: d.Texts[i], Sender: 1})
		}
		if r.overloaded != c.falls || c.falls && r.Overload.BySender[1] == 0 {
			t.Errorf("at %v times what it bears (%.1f a second warm): %+v", c.times, base, r.Overload)
		}
	}
}

// Each sender must get list changes in order and none while the list is silent; a full list must omit removed receivers.
func TestListChangesArriveInOrder(t *testing.T) {
	w := Default()
	w.Trouble = []Trouble{{What: "drain", AtS: 1, ForS: 2}, {What: "replace", AtS: 2, ForS: 1, Kind: "plain"}, {What: "list_silent", AtS: 1, ForS: 3}}
	d := mustDraw(t, w, 9)
	if len(d.Changes) != 5 {
		t.Fatalf("%+v", d.Changes)
	}
	for s := range w.Senders {
		last := time.Duration(0)
		for _, c := range d.Changes {
			if c.NotifyAt[s] < last || c.NotifyAt[s] < c.At || c.NotifyAt[s] < 4*time.Second {
				t.Errorf("sender %d: version %d of %s is told at %s", s, c.Version, c.At, c.NotifyAt[s])
			}
			last = c.NotifyAt[s]
		}
		if d.Version(s, last) != 6 || d.Version(s, 0) != 1 {
			t.Error(d.Version(s, last))
		}
	}
	replacement := d.Receivers[len(d.Receivers)-1]
	if old := d.Receivers[replacement.AddressNo]; old == replacement || d.State(old, 6) != Left || d.State(replacement, 1) != "" || d.State(replacement, 6) != Active {
		t.Errorf("%+v is followed by %+v", old, replacement)
	}
}

func FuzzRead(f *testing.F) {
	raw, _ := Print(Default())
	f.Add(raw)
	f.Add([]byte("[[trouble]]\nwhat='hot'\nfactor=3"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if w, err := Read(raw); err == nil && w.Seconds*w.Load.PerSecond < 1e4 && len(w.Trouble) < 10 {
			w.Draw(1)
		}
	})
}
