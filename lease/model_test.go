package lease

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"currantwick"
)

// The model runs several keepers on a simulated real time that they cannot read.
// Their clocks run at different rates, messages are lost, delayed and duplicated,
// nodes freeze, crash and restart, and the log has outages.

type faultKind int

const (
	crash faultKind = iota // restarts after the fault's duration
	kill                   // ends the first host after the fault's duration, permanently if there are others
	freeze
	cut         // messages from node to other are lost, one way
	isolate     // messages from and to node are lost
	logDown     // the log is down for all
	logCut      // node cannot reach the log
	stop        // graceful, with a restart later
	receiveCut  // node receives neither the log nor messages, except from other
	renewalsCut // renewals to node are lost, but answers to its own are not
	lossy       // messages between all nodes are lost or late
	kinds
)

type fault struct {
	kind         faultKind
	node, other  int
	at, duration time.Duration
}

// plan is a test case: a set of nodes and the faults to inject.
type plan struct {
	nodes        int
	seed         uint64
	faults       []fault
	maxWitnesses int           // most witnesses of a member
	maxDelay     time.Duration // longest delay of a message
	lastFaultEnd time.Duration // when the last fault ends
}

// mutation is a fault put into the release rule, to show that the model detects
// it.
type mutation int

const (
	unmodified mutation = iota
	fromReceipt
	previousOnly
	noWait
	vouchAlways
	anyRunEnds
)

type event struct {
	at   time.Duration
	nth  int
	node *node // nil, or the node whose freeze delays the event
	do   func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].nth, e[j].nth)) < 0
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// node is one run of a daemon.
type node struct {
	index       int
	keeper      *Keeper
	dead        bool
	startedAt   time.Duration
	rate        float64
	frozenUntil time.Duration
	// acts holds until when the run may act on each key.
	acts map[Key]time.Duration
}

func (n *node) local(t time.Duration) wick.Instant {
	return wick.Instant(float64(t-n.startedAt) * n.rate)
}

func (n *node) real(t wick.Instant) time.Duration {
	return n.startedAt + time.Duration(float64(t)/n.rate)
}

type model struct {
	plan      plan
	mutation  mutation
	rand      *rand.Rand
	now       time.Duration
	queue     events
	nth       int
	nodes     []*node // the latest run on each host
	log       []wick.Entry
	oldest    int // entries before are lost to the log's retention
	keys      []Key
	killed    bool
	violation string
	runs      uint64
	views     int
}

func newModel(p plan, mut mutation) *model {
	m := &model{plan: p, mutation: mut, rand: rand.New(rand.NewPCG(p.seed, 1)), nodes: make([]*node, p.nodes)}
	for i := range 2 * p.nodes {
		m.keys = append(m.keys, EndpointKey(wick.EndpointName(fmt.Sprint("e", i))))
	}
	for i := range p.nodes {
		m.start(i)
	}
	for _, f := range p.faults {
		m.schedule(f)
	}
	return m
}

func (m *model) schedule(f fault) {
	end := f.at + f.duration
	switch f.kind {
	case crash:
		m.at(f.at, nil, func() { m.terminate(m.nodes[f.node]) })
		m.at(end, nil, func() { m.start(f.node) })
	case kill:
		m.at(end, nil, func() {
			m.killed = m.plan.nodes > 1
			m.terminate(m.nodes[0])
			m.start(0)
			m.at(end+listLag, nil, m.listEnded)
		})
	case freeze:
		m.at(f.at, nil, func() { m.nodes[f.node].frozenUntil = end })
	case stop:
		m.at(f.at, nil, func() { m.run(m.nodes[f.node], func(k *Keeper, t wick.Instant) []Action { return k.Stop(t) }) })
		m.at(end, nil, func() { m.terminate(m.nodes[f.node]); m.start(f.node) })
	}
}

// listLag is how late the platform's host list shows that a host is gone.
const listLag = 3 * time.Second

// listEnded reports to all runs, once a second, that the first host is gone.
func (m *model) listEnded() {
	for _, n := range m.nodes {
		m.run(n, func(k *Keeper, t wick.Instant) []Action {
			k.endRuns(t, k.RunsOn("h0"))
			return nil
		})
	}
	m.at(m.now+time.Second, nil, m.listEnded)
}

func (m *model) member(i int) wick.Member {
	m.runs++
	return wick.Member{
		Host: wick.HostName(fmt.Sprint("h", i)), Incarnation: wick.Incarnation(m.rand.Uint64() | 1),
		Domain: wick.Domain(fmt.Sprint("d", i%3)), Peer: address(i), Entry: address(i),
	}
}

func address(i int) wick.Address { return wick.Address(fmt.Sprintf("127.0.0.1:%d", 7000+i)) }

func (m *model) at(t time.Duration, n *node, do func()) {
	m.nth++
	heap.Push(&m.queue, event{max(t, m.now), m.nth, n, do})
}

func (m *model) start(i int) {
	if old := m.nodes[i]; old != nil && !old.dead || i == 0 && m.killed {
		return
	}
	cfg := Config{Self: m.member(i), Witnesses: m.plan.maxWitnesses, Seed: m.plan.seed, Checkpoint: 2 * time.Second}
	for j := range m.plan.nodes {
		cfg.Seeds = append(cfg.Seeds, address(j))
	}
	n := &node{index: i, keeper: New(cfg), startedAt: m.now, acts: make(map[Key]time.Duration)}
	n.rate = 1 + 0.045*float64(m.rand.IntN(3)-1)
	m.nodes[i] = n
	m.tick(n)
	m.poll(n)
}

func (m *model) terminate(n *node) {
	n.dead = true
	clear(n.acts)
}

func (m *model) active(kind faultKind, match func(fault) bool) bool {
	return slices.ContainsFunc(m.plan.faults, func(f fault) bool {
		return f.kind == kind && f.at <= m.now && m.now < f.at+f.duration && match(f)
	})
}

func (m *model) logOK(n *node) bool {
	return !m.active(logDown, func(fault) bool { return true }) &&
		!m.active(logCut, func(f fault) bool { return f.node == n.index }) &&
		!m.active(receiveCut, func(f fault) bool { return f.node == n.index })
}

// delay draws the delay of a message, and whether it arrives.
func (m *model) delay(from, to int) (time.Duration, bool) {
	lost := m.active(cut, func(f fault) bool { return f.node == from && f.other == to }) ||
		m.active(isolate, func(f fault) bool { return f.node == from || f.node == to }) ||
		m.active(receiveCut, func(f fault) bool { return f.node == to && f.other != from })
	d := time.Duration(1 + m.rand.Int64N(int64(m.plan.maxDelay)))
	if m.active(lossy, func(fault) bool { return true }) {
		lost = lost || m.rand.IntN(3) == 0
		if m.rand.IntN(3) == 0 {
			d = time.Duration(m.rand.IntN(3000)) * time.Millisecond
		}
	}
	return d, !lost
}

func (m *model) tick(n *node) {
	m.run(n, func(k *Keeper, t wick.Instant) []Action { return k.Tick(t) })
	m.at(n.real(n.keeper.Next())+time.Microsecond, n, func() { m.tick(n) })
}

// poll reads the log.
func (m *model) poll(n *node) {
	if m.logOK(n) {
		for _, e := range m.log[max(m.oldest, int(n.keeper.Offset())-1):] {
			m.run(n, func(k *Keeper, t wick.Instant) []Action { return k.OnEntry(t, e) })
		}
	}
	m.at(m.now+time.Duration(10+m.rand.IntN(40))*time.Millisecond, n, func() { m.poll(n) })
}

// run calls a keeper, records what it may act on, and carries out its actions.
func (m *model) run(n *node, f func(*Keeper, wick.Instant) []Action) {
	if n == nil || n.dead {
		return
	}
	now := n.local(m.now)
	acts := f(n.keeper, now)
	m.recordActs(n, now)
	for _, a := range acts {
		switch a := a.(type) {
		case SendRenewal:
			m.send(n, now, a)
		case Append:
			m.append(n, a.Record)
		case Changed:
			m.views++
		}
	}
}

// recordActs records what a run may act on after its latest decision, and checks
// that no other run acts on the same key.
func (m *model) recordActs(n *node, now wick.Instant) {
	n.mutate(m.mutation)
	for _, key := range m.keys {
		until, ok := n.keeper.MayAct(now, key)
		if !ok {
			delete(n.acts, key)
			continue
		}
		n.acts[key] = n.real(until)
		for _, o := range m.nodes {
			if o != nil && o != n && o.acts[key] > m.now && m.violation == "" {
				m.violation = fmt.Sprintf("at %v %s is acted on by h%d in view %d and h%d in view %d",
					m.now, key, o.index, o.keeper.View().Number, n.index, n.keeper.View().Number)
			}
		}
	}
}

func (n *node) mutate(p mutation) {
	k := n.keeper
	open := k.log.state.Open
	switch p {
	case previousOnly:
		if len(open) > 1 {
			k.log.state.Open = open[len(open)-1:]
		}
	case noWait:
		for key := range k.leaseEnds {
			k.leaseEnds[key] = 0
		}
	case anyRunEnds:
		for _, p := range k.peers {
			if !k.View().Has(p.member) && p.member.Peer != "" {
				p.adopted = max(p.adopted, 1<<40)
			}
		}
	}
}

func (m *model) send(n *node, sent wick.Instant, a SendRenewal) {
	to := slices.IndexFunc(m.nodes, func(o *node) bool { return o != nil && address(o.index) == a.To.Peer })
	if to < 0 || to == n.index {
		return
	}
	for range 1 + m.rand.IntN(20)/19 { // Some are duplicated.
		d, ok := m.delay(n.index, to)
		if !ok || m.active(renewalsCut, func(f fault) bool { return f.node == to }) {
			continue
		}
		m.at(m.now+d, m.nodes[to], func() { m.receive(n, m.nodes[to], sent, a.Renewal) })
	}
}

func (m *model) receive(from, to *node, sent wick.Instant, r wick.Renewal) {
	m.run(to, func(k *Keeper, t wick.Instant) []Action {
		ack, acts := k.OnRenewal(t, r)
		if m.mutation == vouchAlways {
			ack.Vouched, ack.Later = r.View, nil
		}
		d, ok := m.delay(to.index, from.index)
		if !ok {
			return acts
		}
		m.at(m.now+d, from, func() {
			m.run(from, func(k *Keeper, t wick.Instant) []Action {
				if m.mutation == fromReceipt {
					sent = t
				}
				return k.OnAck(t, sent, ack)
			})
		})
		return acts
	})
}

func (m *model) append(n *node, rec wick.Record) {
	if err := rec.Check(); err != nil {
		m.violation = err.Error()
	}
	accepted, confirmed := m.logOK(n), m.logOK(n)
	if m.active(lossy, func(fault) bool { return true }) {
		confirmed = confirmed && m.rand.IntN(3) > 0
	}
	d := time.Duration(5+m.rand.IntN(40)) * time.Millisecond
	m.at(m.now+d, nil, func() {
		if accepted {
			m.log = append(m.log, wick.Entry{
				Offset: wick.Offset(len(m.log) + 1), Time: m.now.Milliseconds() + 1, Record: rec,
			})
			if st := rec.ViewState; st != nil {
				m.at(m.now+time.Second, nil, func() { m.oldest = max(m.oldest, int(st.AsOf)) })
			}
		}
	})
	if !confirmed {
		m.at(m.now+2*d, n, func() {
			m.run(n, func(k *Keeper, t wick.Instant) []Action { return k.OnAppendFailed(t) })
		})
	}
}

// step runs the model until an instant of real time, or until a property is
// violated.
func (m *model) step(until time.Duration) {
	for m.violation == "" && len(m.queue) > 0 && m.queue[0].at <= until {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		if e.node != nil && e.node.dead {
			continue
		}
		if e.node != nil && e.node.frozenUntil > m.now {
			m.at(e.node.frozenUntil, e.node, e.do)
			continue
		}
		e.do()
	}
	m.now = max(m.now, until)
}

// idle lists the keys that no member acts on.
func (m *model) idle() []Key {
	var out []Key
	for _, key := range m.keys {
		if !slices.ContainsFunc(m.nodes, func(n *node) bool { return n.acts[key] > m.now }) {
			out = append(out, key)
		}
	}
	return out
}
