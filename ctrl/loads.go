package ctrl

import (
	"currantwick"
	"currantwick/sched"
)

// loads shares the budgets of the weight stores between the endpoints of this
// daemon.
type loads struct {
	asks []ask
}

// ask is a load that waits for leave.
type ask struct {
	o    *owned
	want sched.WantLoad
}

func newLoads() loads { return loads{} }

// want notes that an endpoint wants to load an adapter.
func (l *loads) want(o *owned, w sched.WantLoad) {
	for i := range l.asks {
		if l.asks[i].o == o && l.asks[i].want.Ref == w.Ref {
			l.asks[i].want = w
			return
		}
	}
	l.asks = append(l.asks, ask{o, w})
}

// forgo withdraws a wish.
func (l *loads) forgo(o *owned, ref wick.Ref) {
	for i := range l.asks {
		if l.asks[i].o == o && l.asks[i].want.Ref == ref {
			l.asks = append(l.asks[:i], l.asks[i+1:]...)
			return
		}
	}
}

// ended notes the end of a load.
func (l *loads) ended(*owned, wick.Order, wick.Instant) {}

// loadsGrant gives leave for what an endpoint wants.
func (s *state) loadsGrant(now wick.Instant, o *owned) []sched.Action {
	var out []sched.Action
	for i := 0; i < len(s.loads.asks); {
		a := s.loads.asks[i]
		if a.o != o {
			i++
			continue
		}
		s.loads.asks = append(s.loads.asks[:i], s.loads.asks[i+1:]...)
		out = append(out, o.sched.Granted(now, a.want.Ref)...)
	}
	return out
}

func (s *state) loadsLook(wick.Instant) bool { return false }
