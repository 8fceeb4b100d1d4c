package gate_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"currantwick"
	"currantwick/gate"
)

const start = wick.Instant(time.Second)

var small = gate.Pool{Slots: 42, Daemons: 58, Objective: 200 * time.Millisecond}

func with(p gate.Pool, others int) gate.Pool {
	p.Others = others
	return p
}

func ticket(u wick.Urgency, objective, deadline time.Duration) *gate.Ticket {
	t := &gate.Ticket{Urgency: u, Deadline: start.Add(deadline)}
	if objective > 0 {
		t.Objective = start.Add(objective)
	}
	return t
}

// A gate that delays or refuses requests while their pool has room serves callers worse
// than none.
func TestEnter(t *testing.T) {
	tests := []struct {
		name string
		pool gate.Pool
		// sent is how many requests this daemon has at the pool.
		sent      int
		objective time.Duration
		want      gate.State
	}{
		{"an idle pool", small, 0, 200 * time.Millisecond, gate.Admitted},
		{"a peak at one daemon of an idle pool", small, 60, 200 * time.Millisecond, gate.Admitted},
		{"a pool at 0.9 of its slots", with(small, 38), 3, 200 * time.Millisecond, gate.Admitted},
		{"few daemons", gate.Pool{Slots: 18, Others: 9, Daemons: 7}, 8, 200 * time.Millisecond, gate.Admitted},
		{"a full pool, within this daemon's part", with(small, 150), 0, 200 * time.Millisecond, gate.Admitted},
		{"a full pool, over this daemon's part", with(small, 150), 5, 200 * time.Millisecond, gate.Waiting},
		{"a full pool, without an objective", with(small, 150), 5, 0, gate.Waiting},
		{"a full pool, too late", with(small, 150), 5, 32 * time.Millisecond, gate.Refused},
		{"an idle pool, too late", small, 0, 5 * time.Millisecond, gate.Admitted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gate.New()
			for range test.sent {
				g.Enter(start, with(test.pool, 0), ticket(3, 0, time.Second))
			}
			if test.pool.Others > test.pool.Slots {
				fill(g)
			}
			x := ticket(3, test.objective, time.Second)
			g.Enter(start, test.pool, x)
			if x.State != test.want || x.State == gate.Refused && x.RetryAfter <= 0 {
				t.Errorf("got state %d and retry time %v, want state %d", x.State, x.RetryAfter, test.want)
			}
		})
	}
}

// fill lets a gate see that the pool is full, and sends what it then lets through at
// first.
func fill(g *gate.Gate) []*gate.Ticket {
	var list []*gate.Ticket
	for range 2 {
		x := ticket(3, 0, 10*time.Second)
		g.Enter(start, with(small, 150), x)
		list = append(list, x)
	}
	return list
}

// busy returns a gate whose pool is full, with its requests there.
func busy(n int) (*gate.Gate, []*gate.Ticket) {
	g := gate.New()
	var list []*gate.Ticket
	for range n {
		x := ticket(3, 0, 10*time.Second)
		g.Enter(start, small, x)
		list = append(list, x)
	}
	return g, append(list, fill(g)...)
}

// A hedge that found no room had others refused that would have come after it.
func TestTryEnter(t *testing.T) {
	tests := []struct {
		name string
		// others is the load that the gate sees, and waits is set if a request waits.
		others   int
		waits    bool
		admitted bool
	}{
		{"an idle pool", 0, false, true},
		{"a full pool", 150, false, false},
		{"another request waits", 150, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gate.New()
			if test.others > 0 {
				g, _ = busy(6)
			}
			x := ticket(3, 0, 35*time.Millisecond)
			if test.waits {
				g.Enter(start, with(small, test.others), x)
			}
			before := g.Stats()
			hedge := ticket(3, 0, 34*time.Millisecond)
			if ok := g.TryEnter(start, with(small, test.others), hedge); ok != test.admitted || (hedge.State == gate.Admitted) != ok {
				t.Errorf("admitted: %v, want %v; state %d", ok, test.admitted, hedge.State)
			}
			after := g.Stats()
			if after.Waiting != before.Waiting || test.waits && x.State != gate.Waiting || !test.admitted && after.Sent != before.Sent {
				t.Errorf("%+v became %+v, the other request is in state %d", before, after, x.State)
			}
		})
	}
}

// A hedge that was admitted and then denied used up the turn of the next request, at a
// daemon whose limit is below 1.
func TestUnsentTakesNoTurn(t *testing.T) {
	tests := []struct {
		name string
		sent bool
		want gate.State
	}{
		{"not sent", false, gate.Admitted},
		{"sent", true, gate.Waiting},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g, full, now := gate.New(), with(small, 150), start
			first := &gate.Ticket{Urgency: 3, Deadline: now.Add(time.Minute)}
			g.Enter(now, full, first)
			g.Done(now, first, 0, false)
			for range 10 {
				now = now.Add(time.Second)
				g.Wake(now)
			}
			hedge, next := &gate.Ticket{Urgency: 3, Deadline: now.Add(time.Minute)}, &gate.Ticket{Urgency: 3, Deadline: now.Add(time.Minute)}
			if !g.TryEnter(now, full, hedge) || g.Stats().Limit >= 1 {
				t.Fatalf("the hedge is not admitted, or the limit is %v", g.Stats().Limit)
			}
			if test.sent {
				g.Sent(hedge, wick.EndpointStart{Endpoint: "e"})
			}
			g.Done(now, hedge, 0, false)
			if g.Enter(now, full, next); next.State != test.want {
				t.Errorf("the next request is in state %d, want %d", next.State, test.want)
			}
		})
	}
}

// Requests must be admitted by priority, then by the time left, and not after their
// callers have left.
func TestOrder(t *testing.T) {
	g, sent := busy(6)
	full := with(small, 150)
	late, soon, urgent, left := ticket(3, 0, 3*time.Second), ticket(3, 0, 2*time.Second), ticket(4, 0, 4*time.Second), ticket(3, 0, time.Second)
	var order []*gate.Ticket
	for _, x := range []*gate.Ticket{late, soon, left, urgent} {
		order = append(order, g.Enter(start, full, x)...)
	}
	g.Cancel(left)
	now := start
	for _, x := range sent {
		now = now.Add(20 * time.Millisecond)
		order = append(order, g.Done(now, x, 20*time.Millisecond, false)...)
		for range 10 {
			now = now.Add(20 * time.Millisecond)
			order = append(order, g.Wake(now)...)
		}
	}
	if slices.Contains(order, left) {
		t.Error("a request whose caller had left was admitted")
	}
	at := func(x *gate.Ticket) int { return slices.Index(order, x) }
	if at(urgent) < 0 || at(soon) < at(urgent) || at(late) < at(soon) {
		t.Errorf("order %d, %d, %d of urgent, soon, late", at(urgent), at(soon), at(late))
	}
	if _, ok := g.NextWake(now); ok {
		t.Error("a wake is due although no request waits")
	}
}

// An endpoint that has refused gets nothing for a while, and for longer if it refuses
// again.
func TestRefusalClosesEndpoint(t *testing.T) {
	id := wick.EndpointStart{Endpoint: "e"}
	g := gate.New()
	now, last := start, time.Duration(0)
	for n := range 3 {
		x := ticket(3, 0, 10*time.Second)
		g.Enter(now, small, x)
		if !g.MaySend(now, x, id, 6) {
			t.Fatalf("closed before refusal %d", n)
		}
		g.Sent(x, id)
		g.Done(now, x, 0, true)
		closed := time.Duration(0)
		for !g.MaySend(now.Add(closed), x, id, 6) {
			closed += time.Millisecond
		}
		if closed <= last {
			t.Errorf("closed for %v after refusal %d, %v after the one before", closed, n, last)
		}
		now, last = now.Add(closed), closed
	}
}

// Requests at an endpoint that has stopped must not keep those behind them from the
// others.
func TestStuckRequests(t *testing.T) {
	g, _ := busy(5)
	x := ticket(3, 0, 5*time.Second)
	g.Enter(start, with(small, 150), x)
	now := start
	for x.State == gate.Waiting {
		at, ok := g.NextWake(now)
		if !ok || at <= now {
			t.Fatalf("woken at %v after %v", at, now)
		}
		now = at
		g.Wake(now)
	}
	if waited := now.Sub(start); x.State != gate.Admitted || waited > 500*time.Millisecond {
		t.Errorf("state %d after %v, want admitted", x.State, waited)
	}
}

// Whatever happens, no request waits while one of lower priority that came later is
// admitted, none is left without a wake, and refusals name a time.
func TestRandomRequests(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		g, now := gate.New(), start
		var waiting, sent []*gate.Ticket
		check := func(decided []*gate.Ticket) {
			for _, x := range decided {
				waiting = slices.DeleteFunc(waiting, func(y *gate.Ticket) bool { return y == x })
				switch x.State {
				case gate.Admitted:
					sent = append(sent, x)
				case gate.Waiting:
					t.Fatalf("seed %d: a waiting request is returned as decided", seed)
				case gate.Refused:
					if x.RetryAfter <= 0 {
						t.Fatalf("seed %d: refused without a retry time", seed)
					}
				}
			}
			for _, x := range decided {
				for _, y := range waiting {
					if x.State == gate.Admitted && y.Urgency > x.Urgency {
						t.Fatalf("seed %d: admitted %d before %d", seed, x.Urgency, y.Urgency)
					}
				}
			}
			if at, ok := g.NextWake(now); ok != (len(waiting) > 0) || ok && at <= now {
				t.Fatalf("seed %d: %d wait, wake %v at %v, now %v", seed, len(waiting), ok, at, now)
			}
		}
		for range 300 {
			now = now.Add(time.Duration(r.IntN(20)) * time.Millisecond)
			switch {
			case r.IntN(2) == 0:
				x := &gate.Ticket{Urgency: wick.Urgency(3 + r.IntN(3)), Objective: now.Add(200 * time.Millisecond), Deadline: now.Add(time.Second), Draw: r.Float64()}
				waiting = append(waiting, x)
				check(g.Enter(now, with(small, r.IntN(200)), x))
			case len(sent) > 0 && r.IntN(3) > 0:
				i := r.IntN(len(sent))
				x := sent[i]
				sent = slices.Delete(sent, i, i+1)
				check(g.Done(now, x, time.Duration(r.IntN(90))*time.Millisecond, r.IntN(5) == 0))
			case len(waiting) > 0 && r.IntN(3) == 0:
				g.Cancel(waiting[0])
				waiting = waiting[1:]
				check(nil)
			default:
				check(g.Wake(now))
			}
		}
	}
}

// BenchmarkGate measures what the gate adds to a request.
func BenchmarkGate(b *testing.B) {
	g := gate.New()
	id := wick.EndpointStart{Endpoint: "e"}
	for b.Loop() {
		x := ticket(3, 200*time.Millisecond, time.Second)
		g.Enter(start, with(small, 20), x)
		g.MaySend(start, x, id, 6)
		g.Sent(x, id)
		g.Done(start, x, 30*time.Millisecond, false)
	}
}
