package direct

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"currantwick"
	"currantwick/choose"
	"currantwick/coord"
	"currantwick/gate"
)

// fullLogInterval is the least time between two log lines about a full pool.
const fullLogInterval = 10 * time.Second

// poolGates are the gates of the pools without engines. The zero value is ready to use.
type poolGates struct {
	mu     sync.Mutex
	byPool map[wick.PoolName]*poolGate
}

// of returns the gate of a pool, and makes one if there is none yet. It then drops those
// without requests whose pool the configuration no longer has.
func (p *poolGates) of(s *Server, config *wick.ServingConfig, pool wick.PoolName) *poolGate {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.byPool[pool]
	if g == nil {
		if p.byPool == nil {
			p.byPool = make(map[wick.PoolName]*poolGate)
		}
		maps.DeleteFunc(p.byPool, func(name wick.PoolName, g *poolGate) bool {
			_, exists := config.Pools[name]
			return !exists && !g.isUsed()
		})
		g = &poolGate{server: s, pool: pool, gate: gate.New(), waiting: make(map[*gate.Ticket]chan struct{})}
		p.byPool[pool] = g
	}
	return g
}

// states returns the states of the gates by name of the pool, for operators.
func (p *poolGates) states() []wick.PoolGateState {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []wick.PoolGateState
	for _, g := range p.byPool {
		list = append(list, g.state())
	}
	slices.SortFunc(list, func(a, b wick.PoolGateState) int { return cmp.Compare(a.Pool, b.Pool) })
	return list
}

// poolGate is a gate that traffic shares.
type poolGate struct {
	server *Server
	pool   wick.PoolName

	mu   sync.Mutex
	gate *gate.Gate
	// waiting has a channel for each ticket that waits. It is closed once the state of
	// the ticket has changed.
	waiting map[*gate.Ticket]chan struct{}
	// timer wakes the gate at wakeAt; 0 if it is not set.
	timer  *time.Timer
	wakeAt wick.Instant
	// config is the configuration that objective was taken from: the shortest of the
	// routes to the pool.
	config    *wick.ServingConfig
	objective time.Duration
	// waited and refused count requests since the last log line, at loggedAt.
	waited, refused int
	loggedAt        wick.Instant
}

// isUsed reports whether requests wait or are at the pool.
func (g *poolGate) isUsed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.gate.Stats()
	return s.Waiting+s.Sent > 0
}

// enter brings a ticket to the gate. The channel is nil if its state is already decided.
func (g *poolGate) enter(now wick.Instant, v *coord.View, t *gate.Ticket) <-chan struct{} {
	ready, line := g.enterLocked(now, v, t)
	if line != nil {
		g.server.cfg.Log.Warn("pool is full", line...)
	}
	return ready
}

// enterLocked implements enter, except that it returns the attributes of a log line. The
// line is written without the lock: a slow log must not hold up all requests to the pool.
func (g *poolGate) enterLocked(now wick.Instant, v *coord.View, t *gate.Ticket) (<-chan struct{}, []any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ready := make(chan struct{})
	g.waiting[t] = ready
	g.settle(now, g.gate.Enter(now, g.describe(v), t))
	if t.State == gate.Waiting {
		g.waited++
	}
	line := g.fullLine(now)
	if t.State != gate.Waiting {
		return nil, line
	}
	return ready, line
}

// describe describes the pool to package gate.
func (g *poolGate) describe(v *coord.View) gate.Pool {
	if v.ServingConfig != g.config {
		g.config, g.objective = v.ServingConfig, shortestObjective(v.ServingConfig, g.pool)
	}
	p := gate.Pool{Daemons: v.Daemons, Objective: g.objective}
	for _, r := range v.Pools[g.pool] {
		p.Slots += int(r.Slots)
		p.Others += r.OtherLoad.Running
	}
	return p
}

// shortestObjective returns the shortest objective of the routes to a pool; 0 for none.
func shortestObjective(config *wick.ServingConfig, pool wick.PoolName) time.Duration {
	least := time.Duration(0)
	for _, r := range config.Routes {
		d := r.Objective.Std()
		if r.Kind == wick.KindStream || d <= 0 || least > 0 && d >= least {
			continue
		}
		if slices.ContainsFunc(r.Split, func(p wick.PoolShare) bool { return p.Pool == pool }) {
			least = d
		}
	}
	return least
}

// leave ends a ticket, whatever its state.
func (g *poolGate) leave(now wick.Instant, t *gate.Ticket, took time.Duration, full bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, t)
	switch t.State {
	case gate.Waiting:
		g.gate.Cancel(t)
		g.settle(now, nil)
	case gate.Admitted:
		g.settle(now, g.gate.Done(now, t, took, full))
	}
}

// settle tells the tickets whose state has changed and sets the timer.
func (g *poolGate) settle(now wick.Instant, decided []*gate.Ticket) {
	for _, t := range decided {
		if t.State == gate.Refused {
			g.refused++
		}
		if ready := g.waiting[t]; ready != nil {
			close(ready)
			delete(g.waiting, t)
		}
	}
	at, ok := g.gate.NextWake(now)
	if !ok {
		at = 0
	}
	if at == g.wakeAt {
		return
	}
	if g.timer != nil {
		g.timer.Stop()
	}
	g.wakeAt = at
	if ok {
		g.timer = time.AfterFunc(at.Sub(now), g.wake)
	}
}

func (g *poolGate) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.server.cfg.Clock.Now()
	g.wakeAt = 0
	g.settle(now, g.gate.Wake(now))
}

// fullLine returns the attributes of a log line if requests had to wait since the last
// one; nil if none is due.
func (g *poolGate) fullLine(now wick.Instant) []any {
	if g.waited+g.refused == 0 || g.loggedAt > 0 && now.Sub(g.loggedAt) < fullLogInterval {
		return nil
	}
	s := g.gate.Stats()
	line := []any{"pool", g.pool, "waited", g.waited, "refused", g.refused, "waiting", s.Waiting, "sent", s.Sent, "limit", s.Limit}
	g.loggedAt, g.waited, g.refused = now, 0, 0
	return line
}

func (g *poolGate) state() wick.PoolGateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.gate.Stats()
	state := wick.PoolGateState{Pool: g.pool, Sent: s.Sent, Waiting: s.Waiting}
	if !math.IsInf(s.Limit, 1) {
		state.Limit = s.Limit
	}
	return state
}

// admission is a request's admission by a gate.
type admission struct {
	gate   *poolGate
	ticket *gate.Ticket
	// took is how long an endpoint took to answer; 0 for no answer. full is set if one
	// refused the request for lack of room.
	took time.Duration
	full bool
}

// passGate waits until the request may be sent to its pool. Engines order their
// requests themselves, the duration of a stream is not known, and neither is the capacity
// of a pool whose endpoints do not name their slots: these have no gate.
func (t *task) passGate(ctx context.Context) error {
	s := t.server
	v, now := s.cfg.Control.View(), s.cfg.Clock.Now()
	unknown := slices.ContainsFunc(v.Pools[t.pool], func(r *coord.Runner) bool { return r.Slots <= 0 })
	if !t.isPlain() || t.route.Kind == wick.KindStream || len(v.Pools[t.pool]) == 0 || unknown {
		return nil
	}
	g, ticket := s.gates.of(s, v.ServingConfig, t.pool), t.newTicket()
	if ready := g.enter(now, v, ticket); ready != nil {
		select {
		case <-ctx.Done():
			g.leave(s.cfg.Clock.Now(), ticket, 0, false)
			return t.contextError(ctx, errors.New("waiting for room in the pool"))
		case <-ready:
		}
		s.cfg.Observer.PoolWaited(s.cfg.Clock.Now().Sub(now))
	}
	if ticket.State == gate.Refused {
		s.cfg.Observer.PoolRefused()
		most := time.Duration(float64(t.remaining()) * retryAfterPart)
		return withRetryAfter(t.refuse(wick.CodeOverload, "pool %s has no room in time", t.pool), min(ticket.RetryAfter, most))
	}
	t.admission = &admission{gate: g, ticket: ticket}
	return nil
}

func (t *task) newTicket() *gate.Ticket {
	ticket := &gate.Ticket{Urgency: t.urgency, Deadline: t.deadline.Add(-minRemaining), Draw: rand.Float64()}
	if d := t.route.Objective.Std(); d > 0 {
		ticket.Objective = t.start.Add(d)
	}
	return ticket
}

// admitHedge returns a second admission of the request, for an endpoint beside the one
// that it was sent to with the first one. It is nil if the pool has no gate. It reports
// whether the gate admits the request there now; a hedge does not wait.
func (t *task) admitHedge(first *admission, to target) (*admission, bool) {
	if first == nil {
		return nil, true
	}
	s := t.server
	v, now := s.cfg.Control.View(), s.cfg.Clock.Now()
	g, ticket := first.gate, t.newTicket()
	if !g.tryEnter(now, v, ticket, to.runner) {
		return nil, false
	}
	return &admission{gate: g, ticket: ticket}, true
}

// tryEnter reports whether the gate admits a ticket for an endpoint now.
func (g *poolGate) tryEnter(now wick.Instant, v *coord.View, t *gate.Ticket, r *coord.Runner) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.MaySend(now, t, startOf(r), int(r.Slots)) && g.gate.TryEnter(now, g.describe(v), t)
}

// leave ends the admission. It does nothing on nil.
func (a *admission) leave(now wick.Instant) {
	if a != nil {
		a.gate.leave(now, a.ticket, a.took, a.full)
	}
}

// leaveGate ends the request's admission, if it has one.
func (t *task) leaveGate() {
	a := t.admission
	t.admission = nil
	a.leave(t.server.cfg.Clock.Now())
}

// avoidClosed marks the endpoints to which the gate sends nothing now. It reports whether
// it marked any.
func (t *task) avoidClosed(now wick.Instant, list []*coord.Runner, cands []choose.Candidate) bool {
	a, marked := t.admission, false
	if a == nil {
		return false
	}
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	for i, r := range list {
		if !cands[i].Avoid && !a.gate.gate.MaySend(now, a.ticket, startOf(r), int(r.Slots)) {
			cands[i].Avoid, marked = true, true
		}
	}
	return marked
}

// markFull records that the endpoint refused the request for lack of room.
func (t *task) markFull() {
	if t.admission != nil {
		t.admission.full = true
	}
}

// markSent tells the gate where the request is sent.
func (t *task) markSent(to target) {
	if t.admission != nil {
		t.admission.sent(to)
	}
}

// sent tells the gate where the request is sent.
func (a *admission) sent(to target) {
	a.gate.mu.Lock()
	defer a.gate.mu.Unlock()
	a.gate.gate.Sent(a.ticket, startOf(to.runner))
}
