package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkArriveAnswered measures the events of one request in a pool of model receivers, with a prompt of ten
// parts.
func BenchmarkArriveAnswered(b *testing.B) {
	for _, receivers := range []int{12, 100} {
		b.Run(fmt.Sprint(receivers), func(b *testing.B) {
			d := New(1, "here")
			var list []Receiver
			for i := range receivers {
				list = append(list, engine(InstanceID(fmt.Sprint("i-", i)), zone(fmt.Sprint("zone-", i%4))))
			}
			now := start
			d.SetReceivers(now, list)
			ids := make([]RequestID, 64)
			for i := range ids {
				ids[i] = RequestID(fmt.Sprint("request-", i))
			}
			prefix := make([]PrefixPart, 10)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				for j := range prefix {
					prefix[j] = PrefixPart{ID: uint64(i%16*100 + j), Tokens: 400}
				}
				id := ids[i%len(ids)]
				now = now.Add(time.Millisecond)
				e := d.Submit(now, Request{ID: id, Service: pool, Route: "r", Kind: Streaming, MaxAttempts: 1,
					Deadline: now.Add(5 * time.Second), TargetLatency: 200 * ms, Prefix: prefix, InputTokens: 4000, MaxOutputTokens: 100})
				send := e.Sends[0]
				d.ResponseStarted(now.Add(50*ms), id)
				d.AttemptEnded(now.Add(200*ms), id, send.Attempt, Outcome{Kind: Success, TimeToFirstByte: 50 * ms, Duration: 200 * ms})
				i++
			}
		})
	}
}
