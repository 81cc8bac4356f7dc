package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/admission/dispatch"
	"emberquay/internal/tier/storeclient"
)

var turnFields = []string{"Program: 3fa81c", "Session: 77d20b", "Finish-Ms: 5200", "Budget: 1080", "Emberquay-Token-Usage: 1840,135"}

func streamEvents(events ...string) func(int, receivedRequest) {
	return func(_ int, r receivedRequest) {
		r.startStream()
		for _, event := range events {
			r.chunk(event)
		}
		r.endStream()
	}
}

var _ = Describe("A turn", func() {
	It("without a previous one reaches the receiver unchanged and is stored completely", func() {
		p, f := startService("model", 1, streamEvents(event(1, "to"), "versions: 2\n"+event(2, " do")))
		committed := make(chan storeclient.Turn, 1)
		p.store.commit = func(_ context.Context, turn storeclient.Turn) error {
			committed <- turn
			return nil
		}
		got := p.do("POST /turn/x", "new", turnFields...)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(f.received()[0].body).To(Equal("new"))
		turn := <-committed
		Expect(turn.Retention.Seconds()).To(Equal(60.0))
		turn.Retention = 0
		Expect(turn).To(Equal(storeclient.Turn{
			ID: "9c41", Root: "9c41", Program: "3fa81c", Input: []byte("new"), Output: []byte("to\n do\n"), Tokens: 6,
		}))
		Expect(p.store.reserved).To(Equal([]storeclient.Reservation{{Program: "3fa81c", Turn: "9c41", BudgetTokens: 1080, MaxTokens: 135}}))
		Expect(<-p.store.settled).To(Equal(settlement{program: "3fa81c", turn: "9c41", used: 6}))
	})

	It("with a previous one is sent with the history in front of its input", func() {
		p, f := startService("model", 1, streamEvents(event(1, "x")))
		p.store.history = func(previous string) (storeclient.History, storeclient.Verdict) {
			Expect(previous).To(Equal("40c8"))
			return storeclient.History{Root: "r00t", Body: []byte("old\nanswer\n")}, storeclient.Found
		}
		committed := make(chan storeclient.Turn, 1)
		p.store.commit = func(_ context.Context, turn storeclient.Turn) error {
			committed <- turn
			return nil
		}
		got := p.do("POST /turn/x", "new", append(turnFields, "Previous: 40c8")...)
		Expect(got.err).NotTo(HaveOccurred())
		seen := f.received()[0]
		Expect(seen.body).To(Equal("old\nanswer\nnew"))
		Expect(seen.request.ContentLength).To(Equal(int64(len("old\nanswer\nnew"))))
		turn := <-committed
		Expect(turn.Root).To(Equal("r00t"))
		Expect(turn.Previous).To(Equal("40c8"))
		Expect(string(turn.Input)).To(Equal("new"))
		Expect(p.bodyMemory.usedBytes.Load()).To(BeZero())
	})

	It("is completed to its client only once it is stored", func() {
		p, _ := startService("model", 1, streamEvents(event(1, "x")))
		requested, release := make(chan struct{}), make(chan struct{})
		var kept atomic.Bool
		p.store.commit = func(context.Context, storeclient.Turn) error {
			close(requested)
			<-release
			kept.Store(true)
			return nil
		}
		c := p.dial()
		c.send("POST /turn/x", "new", append(turnFields, "Emberquay-Request-Id: 1")...)
		response := c.readHead()
		got := make([]byte, len(event(1, "x")))
		_, err := io.ReadFull(response.Body, got)
		Expect(err).NotTo(HaveOccurred())
		<-requested
		keptFirst := make(chan bool, 1)
		go func() {
			_, err := io.ReadAll(response.Body)
			keptFirst <- err == nil && kept.Load()
		}()
		close(release)
		Expect(<-keptFirst).To(BeTrue())
	})

	It("that is not stored ends with an aborted response", func() {
		p, _ := startService("model", 1, streamEvents(event(1, "x")))
		p.store.commit = func(context.Context, storeclient.Turn) error { return errors.New("too few stores") }
		got := p.do("POST /turn/x", "new", turnFields...)
		Expect(got.body).To(Equal(event(1, "x")))
		Expect(got.err).To(HaveOccurred())
		Expect((<-p.store.settled).used).To(Equal(int64(3)))
	})

	It("that failed at the receiver is not stored", func() {
		p, _ := startService("model", 1, func(_ int, r receivedRequest) { r.respond(500, "own") })
		p.store.commit = func(context.Context, storeclient.Turn) error { panic("stored") }
		got := p.do("POST /turn/x", "new", turnFields...)
		Expect(got.status).To(Equal(500))
		Expect(got.err).NotTo(HaveOccurred())
		Expect((<-p.store.settled).used).To(BeZero())
	})

	DescribeTable("does not run without a reservation and its history",
		func(reserve, history storeclient.Verdict, status int, wantSettle bool) {
			p, _ := startService("model", 1, unexpectedRequest)
			p.store.reserve = func(storeclient.Reservation) storeclient.Verdict { return reserve }
			p.store.history = func(string) (storeclient.History, storeclient.Verdict) {
				return storeclient.History{Root: "r"}, history
			}
			got := p.do("POST /turn/x", "new", append(turnFields, "Previous: 40c8")...)
			Expect(got.status).To(Equal(status))
			if status == http.StatusServiceUnavailable {
				Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
			}
			if wantSettle {
				Expect((<-p.store.settled).used).To(BeZero())
			}
			Expect(p.store.settled).NotTo(Receive())
		},
		Entry("the budget is spent", storeclient.Exhausted, storeclient.Found, 402, false),
		Entry("the budget is undecided", storeclient.Undecided, storeclient.Found, 503, false),
		Entry("the previous turn does not exist", storeclient.Granted, storeclient.Missing, 404, true),
		Entry("the previous turn is uncertain", storeclient.Granted, storeclient.Unavailable, 503, true),
		Entry("both are undecided", storeclient.Undecided, storeclient.Unavailable, 503, false),
	)

	DescribeTable("settles the tokens sent to its client",
		func(script func(int, receivedRequest), status int, used int64) {
			p, _ := startService("model", 1, script)
			got := p.do("POST /model/x", "new", turnFields...)
			Expect(got.status).To(Equal(status))
			Expect(<-p.store.settled).To(Equal(settlement{program: "3fa81c", turn: "9c41", used: used}))
		},
		Entry("complete", streamEvents(event(1, "a"), event(2, "b")), 200, int64(6)),
		Entry("truncated", func(_ int, r receivedRequest) {
			r.startStream()
			r.chunk(event(1, "a") + "id: 2")
			r.connection.Close()
		}, 200, int64(3)),
		Entry("broken before an event", func(_ int, r receivedRequest) { r.connection.Close() }, 502, int64(0)),
		Entry("refused", func(_ int, r receivedRequest) { r.refuse(503, "Retry-After: 40") }, 503, int64(0)),
		Entry("more events than reserved", func(_ int, r receivedRequest) {
			r.startStream()
			for i := range 60 {
				r.chunk(event(i+1, "x"))
			}
			r.endStream()
		}, 200, int64(135)),
	)

	It("settles when its client closes the connection", func() {
		requested := make(chan struct{})
		p, _ := startService("model", 1, func(_ int, r receivedRequest) {
			close(requested)
			r.connection.Read(make([]byte, 1))
		})
		c := p.dial()
		c.send("POST /model/x", "new", append(turnFields, "Emberquay-Request-Id: 1")...)
		<-requested
		c.Close()
		Expect((<-p.store.settled).used).To(BeZero())
	})

	DescribeTable("is refused with invalid fields",
		func(status int, fields ...string) {
			p, _ := startService("model", 1, unexpectedRequest)
			Expect(p.do("POST /turn/x", "new", append(fields, "Program: a")...).status).To(Equal(status))
		},
		Entry("a budget that is not a number", 400, "Budget: much", "Emberquay-Token-Usage: 10,10"),
		Entry("no token usage", 400, "Budget: 100"),
		Entry("the resumption of a retained turn", 503, "Budget: 100", "Emberquay-Token-Usage: 10,10", "Last-Event-Id: 4"),
	)

	It("whose response is aborted is logged with the cause, at most once a second", func() {
		p, _ := startService("model", 1, streamEvents(event(1, "x")))
		p.store.commit = func(context.Context, storeclient.Turn) error { return context.DeadlineExceeded }
		for range 3 {
			Expect(p.do("POST /turn/x", "new", turnFields...).err).To(HaveOccurred())
		}
		Expect(p.logs.Entries).To(HaveLen(1))
		line := p.logs.Entries[0]
		Expect(line.Message).To(Equal("response aborted before it was complete"))
		Expect(line.Fields).To(And(HaveKeyWithValue("cause", string(abortNotCommitted)), HaveKeyWithValue("begun", true)))
		Expect(line.Fields).To(HaveKeyWithValue("last_event", uint64(1)))
	})

	It("whose handler panics loses only its own connection", func() {
		p, _ := startService("model", 1, streamEvents(event(1, "x")))
		var calls atomic.Int32
		p.store.reserve = func(storeclient.Reservation) storeclient.Verdict {
			if calls.Add(1) == 1 {
				panic("reserve")
			}
			return storeclient.Granted
		}
		c := p.dial()
		c.send("POST /model/x", "new", append(turnFields, "Emberquay-Request-Id: 1")...)
		_, err := http.ReadResponse(c.reader, nil)
		Expect(err).To(HaveOccurred())
		Expect(p.do("POST /model/x", "new", turnFields...).status).To(Equal(200))
		Expect(p.logs.Entries).To(HaveLen(1))
	})
})

var _ = Describe("Token headers", func() {
	DescribeTable("usage",
		func(text string, wanted tokenUsage) { Expect(parseTokenUsage(text)).To(Equal(wanted)) },
		Entry("both", "1460,80", tokenUsage{promptTokens: 1460, maxOutputTokens: 80, known: true}),
		Entry("with a space", "1460, 80", tokenUsage{promptTokens: 1460, maxOutputTokens: 80, known: true}),
		Entry("nothing", "", tokenUsage{}),
		Entry("one number", "1460", tokenUsage{}),
		Entry("negative", "1,-2", tokenUsage{}),
	)
	DescribeTable("prefix",
		func(text string, wanted []dispatch.PrefixPart) { Expect(parsePromptPrefix(text)).To(Equal(wanted)) },
		Entry("three", "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
			[]dispatch.PrefixPart{{ID: 0x5c1e07a2, Tokens: 800}, {ID: 0x91bd3f06, Tokens: 410}, {ID: 0xe4402b7d, Tokens: 250}}),
		Entry("nothing", "", nil),
		Entry("up to the first invalid part", "5c:8,x:y,6c:9", []dispatch.PrefixPart{{ID: 0x5c, Tokens: 8}}),
	)
})
