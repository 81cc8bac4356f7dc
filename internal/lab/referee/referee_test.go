package referee

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"emberquay/internal/lab/world"
	"emberquay/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

var testRules = world.Rules{SlackMs: 50, EndMs: 300, DrainMs: 1000, WaitExcuseMs: 100, RestartMs: 1500, FallMultiple: 2, FallS: 3,
	FallSlack: 3, ColdFrom: 0.2, ColdS: 6, ListLatestS: 6, KeyRestMs: 400, RestartClears: true}

var testProducts = map[string]*world.Product{
	"status": {Name: "status", SLAS: 2, ValidityS: 6, Repeat: "resendable", Revenue: 3, LateShare: 0.3},
	"order":  {Name: "order", SLAS: 2, ValidityS: 8, Repeat: "referenced", WindowS: 5, Revenue: 1, LateShare: 0.3},
	"charge": {Name: "charge", SLAS: 2, ValidityS: 8, Repeat: "once-only", Revenue: 2, LateShare: 0.3},
	"serial": {Name: "serial", SLAS: 2, ValidityS: 8, Repeat: "resendable", Revenue: 1, Ordered: true, LateShare: 0.3},
}

// playScenario passes the events of a scenario to a referee. Each line is an instant in seconds and an event. Receivers
// 0 and 1 belong to destination 0, receiver 2 to destination 1. Unless a line says otherwise, its sender and
// destination are 0.
//
//	0.1 hand a order [sender=1] [dest=1] [key=k]    0.2 heard a taken|nacked|failed|noanswer
//	0.3 begin 1 a 0 [sender=1]                      0.3 arrive 1          (call 1 with text a at receiver 0)
//	0.4 answer 1 200 [wait=0.5]                     0.4 unheard 1         0.4 broke 1 | giveup 1
//	0.5 notice a back|over [sender=1]               0.5 dropped a 0.2
//	0.6 changed 0 leaving                           0.6 told 0 leaving [sender=1]
//	0.7 stopping 0 | down 0 | ready 0               0.8 fell 0 2.0 5 7    (outage from 2.0, calls by each sender)
func playScenario(text string) (*Referee, error) {
	r := New(testRules, 2, func(receiver int) int { return receiver / 2 })
	for no := range 2 {
		r.SenderStarted(0, no)
		r.SenderReady(0, no)
	}
	no := 0
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		f := strings.Fields(line)
		opt := map[string]string{}
		for len(f) > 0 && strings.Contains(f[len(f)-1], "=") {
			k, v, _ := strings.Cut(f[len(f)-1], "=")
			opt[k] = v
			f = f[:len(f)-1]
		}
		if len(f) < 2 {
			continue
		}
		num := func(s string) float64 {
			var x float64
			fmt.Sscan(s, &x)
			return x
		}
		span := func(s string) time.Duration { return time.Duration(num(s) * float64(time.Second)) }
		now, sender := span(f[0]), int(num(opt["sender"]))
		arg := func(i int) string { return f[i+2] }
		switch f[1] {
		case "hand":
			p := testProducts[arg(1)]
			if p == nil {
				return nil, fmt.Errorf("unknown product %q", arg(1))
			}
			t := &world.Text{No: no, At: now, Product: p, Destination: int(num(opt["dest"])), Key: opt["key"]}
			no++
			r.HandedIn(now, HandIn{ID: arg(0), Sender: sender, Text: t, ValidUntil: t.Validity()})
		case "heard":
			h := map[string]world.ClientReply{"taken": world.Accepted, "nacked": world.Nacked, "failed": world.Failed, "noanswer": world.NoAnswer}
			r.ClientAnswered(now, arg(0), h[arg(1)], 0)
		case "begin":
			r.CallBegan(now, now, int64(num(arg(0))), arg(1), sender, int(num(arg(2))))
		case "arrive":
			r.CallArrived(now, int64(num(arg(0))))
		case "call": // begins and arrives at once
			r.CallBegan(now, now, int64(num(arg(0))), arg(1), sender, int(num(arg(2))))
			r.CallArrived(now, int64(num(arg(0))))
		case "answer":
			r.CallAnswered(now, int64(num(arg(0))), int(num(arg(1))), span(opt["wait"]))
		case "unheard":
			r.CallAnswerUnread(now, int64(num(arg(0))))
		case "broke", "giveup":
			r.CallEnded(now, int64(num(arg(0))), f[1] == "giveup")
		case "notice":
			r.NoticeSent(now, sender, arg(0), arg(1) == "back")
		case "dropped":
			r.ClientConnectionClosed(now, arg(0), span(arg(1)))
		case "changed":
			r.ReceiverStateChanged(now, int(num(arg(0))), arg(1))
		case "told":
			r.ReceiverStateNotified(now, sender, int(num(arg(0))), arg(1))
		case "stopping":
			r.SenderStopping(now, int(num(arg(0))))
		case "down":
			r.SenderDown(now, int(num(arg(0))))
		case "ready":
			r.SenderStarted(now, int(num(arg(0))))
			r.SenderReady(now, int(num(arg(0))))
		case "fell":
			r.ReceiverOverloaded(now, int(num(arg(0))), &world.Overload{At: now, OutageFrom: span(arg(1)), Window: 3 * time.Second, Allowed: 9,
				BySender: map[int]int{0: int(num(arg(2))), 1: int(num(arg(3)))}})
		case "finish":
			r.Finish(now)
		default:
			return nil, fmt.Errorf("unknown event %q", f[1])
		}
	}
	return r, nil
}

// TestScenarios checks, for each rule, at least three scenarios that break it and three that only just keep it.
func TestScenarios(t *testing.T) {
	files, err := os.ReadDir("testdata")
	if err != nil || len(files) < 6 {
		t.Fatal(files, err)
	}
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			r, err := playScenario(d.Input)
			if err != nil {
				return err.Error()
			}
			out := ""
			for _, b := range r.Breaches {
				out += b.String() + "\n"
			}
			if d.Cmd == "account" {
				for _, p := range r.Account().Products {
					out += fmt.Sprintf("%+v\n", p)
				}
			} else if out == "" {
				return "kept"
			}
			return out
		})
	})
}

// TestAccountAddsUp passes random events in random order: the referee must not panic, and each text must have exactly
// one outcome, so that the account adds up.
func TestAccountAddsUp(t *testing.T) {
	names := []string{"status", "order", "charge", "serial"}
	rapid.Check(t, func(t *rapid.T) {
		r := New(testRules, 2, func(receiver int) int { return receiver / 2 })
		now, texts, calls := time.Duration(0), 0, int64(0)
		asked := 0.0
		pick := func(n int) int { return rapid.IntRange(0, max(0, n-1)).Draw(t, "which") }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
			id := fmt.Sprint("t", pick(texts))
			no := int64(pick(int(calls)))
			switch rapid.IntRange(0, 11).Draw(t, "what") {
			case 0, 1, 2:
				p := testProducts[names[pick(4)]]
				w := &world.Text{No: texts, At: now, Product: p, Key: map[bool]string{true: "k"}[p.Ordered]}
				r.HandedIn(now, HandIn{ID: fmt.Sprint("t", texts), Sender: pick(2), Text: w, ValidUntil: w.Validity()})
				texts++
				asked += p.Revenue
			case 3:
				r.ClientAnswered(now, id, world.ClientReply(pick(4)), 0)
			case 4:
				r.CallBegan(now, now, calls, id, pick(2), pick(3))
				calls++
			case 5:
				r.CallArrived(now, no)
			case 6:
				r.CallAnswered(now, no, []int{200, 500, 429, 503, 504}[pick(5)], time.Second)
			case 7:
				r.CallEnded(now, no, pick(2) == 0)
			case 8:
				r.NoticeSent(now, pick(2), id, pick(2) == 0)
			case 9:
				r.SenderDown(now, 0)
			case 10:
				r.SenderStarted(now, 0)
				r.SenderReady(now, 0)
			case 11:
				r.CallAnswerUnread(now, no)
			}
		}
		r.Finish(now + time.Minute)
		sum, revenue := 0, 0.0
		for _, p := range r.Account().Products {
			if outcomes := p.InTime + p.Late + p.Nacked + p.Failed + p.Lost + p.Unheard; outcomes != p.Texts {
				t.Fatalf("%d outcomes of %d texts: %+v", outcomes, p.Texts, p)
			}
			if p.Earned+p.Faded > p.Asked+1e-9 {
				t.Fatalf("revenue above that of all texts handed in: %+v", p)
			}
			sum, revenue = sum+p.Texts, revenue+p.Asked
		}
		if sum != texts || revenue != asked {
			t.Fatalf("account of %d texts and revenue %v, want %d and %v", sum, revenue, texts, asked)
		}
	})
}
