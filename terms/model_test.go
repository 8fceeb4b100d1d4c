package terms

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"currantwick"
)

// modelHost is a daemon of the model: its table, and what happens to it.
type modelHost struct {
	name  wick.HostName
	table *Table
	// read is the offset up to which it has read the store.
	read int
	// frozen, cut and silent are the instants until which the process stands
	// still, can't reach the store, and is not heard by the others.
	frozen, cut, silent wick.Instant
	lastTick            wick.Instant
}

// model is a store with one log of claims and the daemons that share it.
type model struct {
	random *rand.Rand
	now    wick.Instant
	log    []Claim
	hosts  []*modelHost
	// lastOrder is when each host last gave an order, and highest the highest
	// fencing token of an order so far.
	lastOrder map[wick.HostName]wick.Instant
	highest   wick.Fence
	lease     time.Duration
	fenced    bool
}

const (
	modelStep = 25 * time.Millisecond
	// modelPause is the length of a standstill that a daemon notices.
	modelPause = 500 * time.Millisecond
)

func newModel(seed uint64, lease time.Duration, fenced bool) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), lease: lease, fenced: fenced, lastOrder: make(map[wick.HostName]wick.Instant)}
	for i := range 3 {
		name := wick.HostName(fmt.Sprintf("h%d", i))
		m.hosts = append(m.hosts, &modelHost{name: name, table: New(Config{Self: name, Incarnation: 1, Lease: lease, RequireFencing: fenced})})
	}
	return m
}

// disturb starts a random fault now and then.
func (m *model) disturb() {
	if m.random.IntN(40) > 0 {
		return
	}
	h := m.hosts[m.random.IntN(len(m.hosts))]
	until := m.now.Add(time.Duration(m.random.IntN(6000)) * time.Millisecond)
	switch m.random.IntN(4) {
	case 0:
		h.frozen = until
	case 1:
		h.cut = until
	case 2:
		h.silent = until
	default:
		h.cut, h.silent = until, until
	}
}

// alive lists the daemons that a host hears.
func (m *model) alive(h *modelHost) []Candidate {
	var list []Candidate
	for _, o := range m.hosts {
		if o == h || m.now >= o.silent && m.now >= o.frozen && m.now >= h.silent {
			list = append(list, Candidate{Host: o.name, Incarnation: 1, Capacity: 1})
		}
	}
	return list
}

// act lets a host read, claim and give orders; it returns a broken rule.
func (m *model) act(h *modelHost) error {
	if m.now < h.frozen {
		return nil
	}
	if m.now.Sub(h.lastTick) > modelPause {
		h.table.SetUnconfirmed()
	}
	h.lastTick = m.now
	// An order that was decided on before the read may still be sent.
	if m.random.IntN(2) == 0 {
		if err := m.order(h); err != nil {
			return err
		}
	}
	if m.now < h.cut {
		h.table.SetUnreachable()
	} else if m.random.IntN(4) == 0 {
		for ; h.read < len(m.log); h.read++ {
			h.table.Begin(m.now, wick.Offset(h.read), m.log[h.read])
		}
		h.table.Confirm(m.now)
		for _, s := range h.table.Claims(m.now, m.alive(h)) {
			if s == 0 && m.random.IntN(3) > 0 && h.read == len(m.log) {
				m.log = append(m.log, Claim{Shard: s, Holder: h.name, Incarnation: 1})
			}
		}
	}
	return m.order(h)
}

func (m *model) order(h *modelHost) error {
	fence, may := h.table.MayOrder(m.now, 0)
	if !may {
		return nil
	}
	if fence < m.highest {
		if !m.fenced {
			return fmt.Errorf("%s ordered with fencing token %d after %d", h.name, fence, m.highest)
		}
		h.table.Revoke(0) // The endpoint refuses.
		return nil
	}
	m.highest = fence
	for other, at := range m.lastOrder {
		if gap := m.now.Sub(at); other != h.name && gap < m.lease && !m.fenced {
			return fmt.Errorf("%s ordered %v after %s, within the lease of %v", h.name, gap, other, m.lease)
		}
	}
	m.lastOrder[h.name] = m.now
	return nil
}

// Whatever daemons miss, orders of a former holder don't follow those of a later
// one, and where endpoints do not check fencing tokens, a lease lies between the
// orders of two holders.
func TestHandoverModel(t *testing.T) {
	runs := 300
	if testing.Short() {
		runs = 60
	}
	tests := []struct {
		name   string
		lease  time.Duration
		fenced bool
	}{
		{"checked tokens", 3 * time.Second, true},
		{"unchecked tokens", 3 * time.Second, false},
		{"unchecked tokens, short lease", 1500 * time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			orders := 0
			for seed := range uint64(runs) {
				m := newModel(seed, test.lease, test.fenced)
				for m.now < wick.Instant(40*time.Second) {
					m.now = m.now.Add(modelStep)
					m.disturb()
					for _, i := range m.random.Perm(len(m.hosts)) {
						if err := m.act(m.hosts[i]); err != nil {
							t.Fatalf("seed %d at %v: %v", seed, time.Duration(m.now), err)
						}
					}
				}
				orders += len(m.lastOrder)
			}
			if orders < runs {
				t.Errorf("only %d holders gave orders in %d runs", orders, runs)
			}
		})
	}
}
