package direct_test

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"currantwick"
	"currantwick/direct"
	"currantwick/fakes"
	"currantwick/tally"
)

// gateWriter is a writer that records how many requests the gate counts at the pool
// whenever a part of an answer is passed on.
type gateWriter struct {
	writer
	server *direct.Server
	sent   int
}

func (w *gateWriter) WriteBody(p []byte) error {
	synctest.Wait() // For the attempt that lost.
	w.sent = max(w.sent, w.server.State().Gates[0].Sent)
	return w.writer.WriteBody(p)
}

// The admission of a first attempt that lost or failed was kept until the caller had read
// the answer of the hedge, so that others waited for room that was there.
func TestHedgeLeavesGate(t *testing.T) {
	answers := func(after time.Duration, status int) timedReply {
		return timedReply{reply{status: status}, after, []timedPart{{after, "a"}}}
	}
	fails := timedReply{reply: reply{err: wick.Unknownf(wick.CodeBroken, "reset")}, after: 150 * ms}
	refuses := timedReply{reply: reply{status: 503, notRun: true}, after: 150 * ms}
	tests := []struct {
		name          string
		first, second timedReply
		// sent is how many requests the gate counts after 200 ms.
		sent int
	}{
		{"both run", answers(400*ms, 200), answers(300*ms, 200), 2},
		{"the second answers first", answers(900*ms, 200), answers(80*ms, 200), 0},
		{"the first answers first", answers(150*ms, 200), answers(900*ms, 200), 0},
		{"the first breaks", fails, answers(300*ms, 200), 1},
		{"the first is refused", refuses, answers(300*ms, 200), 1},
		{"the first fails with 500", answers(150*ms, 500), answers(300*ms, 200), 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &control{view: threeEndpoints(route(wick.KindSafe, "plain", 2, false))}
				send, h := &timedSender{replies: []timedReply{test.first, test.second}, start: time.Now()}, &hedging{delay: 100 * ms}
				s := hedgingServer(c, send, budget(t, 1000), h, h)
				to, sent := &gateWriter{server: s}, 0
				time.AfterFunc(200*ms, func() { sent = s.State().Gates[0].Sent })
				if err := s.Forward(t.Context(), &wick.Exchange{Request: "q", Host: "h", Path: "/x"}, to); err != nil || h.sent != 1 {
					t.Fatalf("%d hedges: %v", h.sent, err)
				}
				if to.sent != 0 {
					t.Errorf("%d requests are counted while the answer is passed on, want 0", to.sent)
				}
				time.Sleep(200 * ms)
				synctest.Wait()
				if sent != test.sent {
					t.Errorf("%d requests are counted after 200 ms, want %d", sent, test.sent)
				}
				if n := s.State().Gates[0].Sent; n != 0 {
					t.Errorf("%d requests are counted after the end", n)
				}
			})
		})
	}
}

// canceledLeg is how an attempt ends: by itself with status, or after the caller has left.
type canceledLeg struct {
	// after is the time from the send to status, or from the cancellation to the error.
	after   time.Duration
	status  int
	written bool
}

// canceledSender implements wick.Sender with one canceledLeg for each send.
type canceledSender struct{ legs chan canceledLeg }

func (s canceledSender) Send(ctx context.Context, _ wick.Attempt) (*wick.Response, error) {
	l := <-s.legs
	if l.status == 0 {
		<-ctx.Done()
	}
	time.Sleep(l.after)
	switch {
	case l.status > 0:
		return &wick.Response{Status: l.status, Body: &sending{ctx: ctx}}, nil
	case l.written:
		return nil, wick.Unknownf(wick.CodeBroken, "canceled")
	}
	return nil, wick.NotRunf(wick.CodeCanceled, "canceled before a byte was written")
}

// Units were given back for a request whose caller left when one attempt was known not to
// have run, though the other had been sent.
func TestHedgeUnits(t *testing.T) {
	unsent, sent := canceledLeg{}, canceledLeg{after: 10 * ms, written: true}
	tests := []struct {
		name          string
		first, second canceledLeg
		given         bool
	}{
		{"neither was sent", unsent, unsent, true},
		{"the first was not sent", unsent, sent, false},
		{"the second was not sent", sent, unsent, false},
		{"the first failed with 500", canceledLeg{after: 150 * ms, status: 500}, unsent, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				key, r := wick.KeyHash{1}, route(wick.KindSafe, "plain", 2, false)
				c := &control{view: threeEndpoints(r)}
				c.view.ServingConfig.Teams = &wick.Teams{ByKey: map[wick.KeyHash]*wick.Team{key: {Name: "t", Allotment: wick.Allotment{Rate: 1, Burst: 1}}}}
				send := canceledSender{make(chan canceledLeg, 2)}
				send.legs <- test.first
				send.legs <- test.second
				shares, h := &teamShares{}, &hedging{delay: 100 * ms}
				s := direct.New(direct.Config{
					Control: c, Sender: send, Clock: clock{time.Now()}, Retry: budget(t, 1000), Hedgers: h, Shares: shares,
					Log: slog.New(slog.DiscardHandler), Observer: fakes.GatewayObserver{}, Pauses: new(tally.Pauses), AnsweredParts: new(tally.Parts),
				})
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(300*ms, cancel)
				x := &wick.Exchange{Request: "q", Host: "h", Path: "/x", Credential: wick.Credential{Given: true, Valid: true, Key: key}}
				if err := s.Forward(ctx, x, &writer{}); err == nil || len(send.legs) > 0 || len(shares.taken) != 1 {
					t.Fatalf("%v; %d attempts were not made, took %v", err, len(send.legs), shares.taken)
				}
				if given := len(shares.given) > 0; given != test.given {
					t.Errorf("gave back %v, want it: %v", shares.given, test.given)
				}
			})
		})
	}
}
