package sched

import (
	"fmt"
	"testing"

	"currantwick"
)

// BenchmarkStep measures one scheduling step: a request ends, a queued request
// is dispatched, and another request arrives.
func BenchmarkStep(b *testing.B) {
	tests := []struct {
		queued int
		slots  wick.Slots
	}{
		{16, 32},
		{256, 32},
		{16, 512},
		{256, 512},
	}
	for _, tt := range tests {
		b.Run(fmt.Sprintf("queued=%d/slots=%d", tt.queued, tt.slots), func(b *testing.B) {
			e := newRunner(16, tt.slots)
			e.Takeover(0, 7)
			r := wick.Report{Boot: "b"}
			for n := range int(tt.slots) {
				r.Resident = append(r.Resident, wick.Resident{Ref: ref(n + 1)})
			}
			e.Report(2*sec, 2*sec-1, r)
			items := make([]Item, 4096)
			for i := range items {
				items[i] = work(fmt.Sprint("q", i), 1+i*7%int(tt.slots), wick.Tokens(10+i%50))
				items[i].Sub.TimeLeft *= 1000
			}
			var running []wick.RequestID
			take := func(actions []Action) {
				for _, a := range actions {
					if d, ok := a.(Dispatch); ok {
						running = append(running, d.Sub.Request)
					}
				}
			}
			next := 0
			submit := func(now wick.Instant) {
				take(e.Submit(now, items[next%len(items)]))
				next++
			}
			now := 3 * sec
			for len(e.queue) < tt.queued {
				submit(now)
			}
			b.ReportAllocs()
			for b.Loop() {
				now += ms / 10
				id := running[0]
				running = append(running[:0], running[1:]...)
				take(e.Done(now, id, Result{Tokens: 10}))
				submit(now)
			}
		})
	}
}
