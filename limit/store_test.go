package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"currantwick"
)

var smallStore = wick.Store{Name: "s", Rate: 4, FullSpeed: 2, Knee: 16}

func TestStaticShare(t *testing.T) {
	big := wick.Store{Name: "s", Rate: 300, FullSpeed: 100, Knee: 2000}
	tests := []struct {
		store   wick.Store
		n       int
		holders int
	}{
		{smallStore, 1, 1},
		{smallStore, 3, 2},
		{smallStore, 7, 2},
		{smallStore, 920, 2},
		{big, 7, 7},
		{big, 200, 200},
		{big, 920, 250},
		{wick.Store{Rate: 1, FullSpeed: 1, Knee: 1}, 5, 0},
	}
	for _, tt := range tests {
		var sum Share
		holders := 0
		for i := range tt.n {
			s := StaticShare(tt.store, i, tt.n)
			sum.Rate += s.Rate
			sum.Slots += s.Slots
			if s.Slots > 0 {
				holders++
			}
		}
		g := grantable(tt.store)
		if holders != tt.holders || sum.Slots+g.Slots > tt.store.Knee || sum.Rate+g.Rate > tt.store.Rate*1.0001 {
			t.Errorf("%d members of %+v: %d holders, %+v static and %+v granted", tt.n, tt.store, holders, sum, g)
		}
	}
	if s := StaticShare(smallStore, 7, 7); s != (Share{}) {
		t.Errorf("share of a non-member: %+v", s)
	}
}

// The parts of a budget add up to the whole, and a small deployment has one
// part.
func TestStoreParts(t *testing.T) {
	big := wick.Store{Name: "s", Rate: 300, FullSpeed: 150, Knee: 1205}
	tests := []struct {
		store   wick.Store
		members int
		want    int
	}{
		{smallStore, 7, 1}, {smallStore, 40, 1}, {smallStore, 920, 2}, {big, 41, 2}, {big, 920, 23},
	}
	for _, tt := range tests {
		n := NumParts(tt.store, tt.members)
		var sum wick.Store
		for i := range n {
			s := StorePart(tt.store, i, n)
			if err := s.Check(); err != nil {
				t.Errorf("part %d of %d: %v", i, n, err)
			}
			sum.Rate += s.Rate
			sum.FullSpeed += s.FullSpeed
			sum.Knee += s.Knee
		}
		requests := make([]int, n)
		for i := range tt.members {
			requests[PartOf(wick.HostName(fmt.Sprint("host-", i)), n)]++
		}
		if n != tt.want || sum.Rate > tt.store.Rate*1.0001 || sum.FullSpeed != tt.store.FullSpeed || sum.Knee != tt.store.Knee {
			t.Errorf("%d members: %d parts, want %d; sum %+v of %+v", tt.members, n, tt.want, sum, tt.store)
		}
		if top := slices.Max(requests); top > 2*(tt.members/n+1) {
			t.Errorf("%d of %d members ask one of %d parts", top, tt.members, n)
		}
	}
}

// While views overlap, each member uses the least of its shares, which keeps
// the sum within the limits of one view.
func TestLeastShareInOverlap(t *testing.T) {
	tests := []struct{ before, after []int }{
		{[]int{0, 1, 2}, []int{0}},
		{[]int{0}, []int{0, 1, 2}},
		{[]int{0, 1}, []int{2, 3}},
		{[]int{0, 1, 2, 3}, []int{1, 2, 3, 4}},
	}
	share := func(view []int, m int) Share {
		for rank, v := range view {
			if v == m {
				return StaticShare(smallStore, rank, len(view))
			}
		}
		return Share{}
	}
	for _, tt := range tests {
		sum := wick.Slots(0)
		for m := range 5 {
			// Members of both views have adopted the later one; the rest of
			// the earlier view is still active in it.
			s := MinShare(share(tt.before, m), share(tt.after, m))
			if share(tt.after, m) == (Share{}) {
				s = share(tt.before, m)
			}
			sum += s.Slots
		}
		if sum > staticTotal(smallStore).Slots {
			t.Errorf("%v to %v: %d slots of %d", tt.before, tt.after, sum, staticTotal(smallStore).Slots)
		}
	}
}

// daemon is one member of the simulated deployment.
type daemon struct {
	host   wick.HostName
	loads  *Client
	budget *Budget
	member wick.Member
}

// message is a request or a response in transit.
type message struct {
	at     int // step of arrival
	to     int // index of the receiving daemon
	client int // index of the requesting daemon, for a request
	grant  wick.Grant
	reply  bool
}

// runningLoad is a load in flight.
type runningLoad struct {
	daemon int
	run    wick.Incarnation
	permit Permit
	until  int
}

// cluster simulates several daemons and a store in steps of 50 ms.
type cluster struct {
	cfg          StoreConfig
	daemons      []*daemon
	view         wick.ViewNumber
	owner        int
	network      []message
	loads        []runningLoad
	starts       []int
	peak         int
	given        map[wick.HostName]int
	incarnations wick.Incarnation
}

const step = 50 * time.Millisecond

func instant(i int) wick.Instant { return wick.Instant(time.Duration(i) * step) }

func newCluster(cfg StoreConfig, n int) *cluster {
	s := &cluster{cfg: cfg, given: make(map[wick.HostName]int)}
	for i := range n {
		s.daemons = append(s.daemons, &daemon{host: wick.HostName(fmt.Sprint("h", i))})
	}
	for i := range n {
		s.startDaemon(0, i)
	}
	s.moveOwner(0, 0, nil)
	return s
}

func (s *cluster) startDaemon(now, i int) {
	d := s.daemons[i]
	s.incarnations++
	d.member = wick.Member{Host: d.host, Incarnation: s.incarnations}
	d.budget = NewBudget(s.cfg)
	d.loads = NewClient(s.cfg, d.host, s.incarnations)
	d.loads.SetStatic(instant(now), StaticShare(s.cfg.Store, i, len(s.daemons)))
}

// moveOwner moves ownership of the budget. gone lists former members whose loads
// may still run.
func (s *cluster) moveOwner(now, to int, gone []wick.Member) {
	s.daemons[s.owner].budget.DropOwnership()
	s.view++
	s.owner = to
	members := gone
	for _, d := range s.daemons {
		members = append(members, d.member)
	}
	s.daemons[to].budget.TakeOwnership(instant(now), s.view, members)
}

// lapseLease ends the ownership of the budget and regains it in the same view.
func (s *cluster) lapseLease(now int) {
	s.daemons[s.owner].budget.DropOwnership()
	s.daemons[s.owner].budget.TakeOwnership(instant(now), s.view, nil)
}

// restart replaces daemon i; its loads continue.
func (s *cluster) restart(now, i int) {
	gone := []wick.Member{s.daemons[i].member}
	wasOwner := s.owner == i
	s.startDaemon(now, i)
	if wasOwner {
		s.moveOwner(now, (i+1)%len(s.daemons), gone)
	}
}

// ask sends a request from daemon i.
func (s *cluster) ask(now, i int, w Demand, delay int, lost bool) {
	g, ok := s.daemons[i].loads.Request(instant(now), s.view, s.daemons[s.owner].member, w)
	if ok && !lost {
		s.network = append(s.network, message{at: now + delay, to: s.owner, client: i, grant: g})
	}
}

// deliver delivers the messages due now; responses arrive after delay.
func (s *cluster) deliver(now, delay int) {
	network := s.network
	s.network = nil
	for _, m := range network {
		switch {
		case m.at > now:
			s.network = append(s.network, m)
		case m.reply:
			s.daemons[m.to].loads.HandleGrant(m.grant)
		default:
			if g, ok := s.daemons[m.to].budget.HandleRequest(instant(now), m.grant); ok {
				s.network = append(s.network, message{at: now + delay, to: m.client, grant: g, reply: true})
			}
		}
	}
}

// start starts up to most loads of daemon i, as far as it has permits.
func (s *cluster) start(now, i, most, steps int) {
	for range most {
		d := s.daemons[i]
		p := d.loads.Acquire(instant(now))
		if p == PermitNone {
			return
		}
		s.given[d.host]++
		s.starts = append(s.starts, now)
		s.loads = append(s.loads, runningLoad{i, d.member.Incarnation, p, now + steps})
		s.peak = max(s.peak, len(s.loads))
	}
}

// end ends the loads that are due.
func (s *cluster) end(now int) {
	loads := s.loads
	s.loads = nil
	for _, r := range loads {
		d := s.daemons[r.daemon]
		switch {
		case r.until > now:
			s.loads = append(s.loads, r)
		case d.member.Incarnation == r.run:
			d.loads.Release(r.permit)
		}
	}
}

// excess returns the largest excess of loads started within any time span over
// what the rate allows in it.
func (s *cluster) excess(slack time.Duration) float64 {
	worst := 0.0
	for i, from := range s.starts {
		for j := i; j < len(s.starts); j++ {
			span := time.Duration(s.starts[j]-from)*step + slack
			worst = max(worst, float64(j-i+1)-float64(s.cfg.Store.Rate)*span.Seconds())
		}
	}
	return worst
}

// The limits hold while requests and responses are late, lost and overtaken,
// daemons restart with loads in flight, and ownership moves.
func TestBudgetStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := wick.Store{
			Name:      "s",
			Rate:      wick.PerSecond(rapid.IntRange(1, 60).Draw(t, "rate")),
			FullSpeed: wick.Slots(rapid.IntRange(1, 4).Draw(t, "full")),
		}
		store.Knee = store.FullSpeed + wick.Slots(rapid.IntRange(0, 8).Draw(t, "knee"))
		cfg := StoreConfig{Store: store, TTL: 500 * time.Millisecond, LoadTime: time.Second}
		s := newCluster(cfg, 4)
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		moves := rapid.IntRange(1, 100).Draw(t, "moves")
		var paused [4]bool
		for now := range 600 {
			s.end(now)
			s.deliver(now, r.IntN(3)*r.IntN(10))
			switch r.IntN(3 * moves) {
			case 0:
				s.moveOwner(now, r.IntN(4), nil)
			case 2:
				s.lapseLease(now)
			case 1:
				s.restart(now, r.IntN(4))
			}
			for i := range s.daemons {
				// Each daemon pauses at random.
				if paused[i] = paused[i] != (r.IntN(40) == 0); paused[i] {
					continue
				}
				if r.IntN(3) > 0 {
					s.start(now, i, 1+r.IntN(4), 1+r.IntN(int(cfg.LoadTime/step)))
				}
				if r.IntN(3) == 0 {
					w := Demand{Cost: 1, Loads: wick.Slots(r.IntN(6)), Prefetch: wick.Slots(r.IntN(2))}
					s.ask(now, i, w, r.IntN(3)*r.IntN(25), r.IntN(5) == 0)
				}
			}
			if s.peak > int(store.Knee) {
				t.Fatalf("%d loads in flight, want at most %d", s.peak, store.Knee)
			}
		}
		most := int(store.FullSpeed + staticTotal(store).Slots)
		if excess := s.excess(cfg.TTL); excess > float64(most)+1e-6 {
			t.Fatalf("%.2f loads over the rate, want at most %d", excess, most)
		}
	})
}

// Only the current owner answers a request, and only once.
func TestAskOnce(t *testing.T) {
	b := NewBudget(StoreConfig{Store: smallStore})
	tests := []struct {
		name     string
		own      wick.ViewNumber // 0: unchanged
		disown   bool
		view     wick.ViewNumber
		run      wick.Incarnation
		sequence wick.Sequence
		want     bool
	}{
		{name: "not owned", view: 1, run: 1, sequence: 1},
		{name: "first", own: 1, view: 1, run: 1, sequence: 1, want: true},
		{name: "duplicate", view: 1, run: 1, sequence: 1},
		{name: "overtaken", view: 1, run: 1, sequence: 0},
		{name: "later view", view: 2, run: 1, sequence: 2, want: true},
		{name: "restarted client", view: 2, run: 2, sequence: 1, want: true},
		{name: "disowned", disown: true, view: 2, run: 2, sequence: 2},
		{name: "lease regained in the same view", own: 1, view: 2, run: 2, sequence: 2, want: true},
		{name: "disowned again", disown: true, view: 2, run: 2, sequence: 3},
		{name: "older than the new ownership", own: 4, view: 2, run: 2, sequence: 3},
		{name: "owned again", view: 4, run: 2, sequence: 4, want: true},
	}
	for _, tt := range tests {
		if tt.own != 0 {
			b.TakeOwnership(0, tt.own, nil)
		}
		if tt.disown {
			b.DropOwnership()
		}
		g := wick.Grant{Store: "s", From: "h", Incarnation: tt.run, View: tt.view, Sequence: tt.sequence}
		if _, got := b.HandleRequest(0, g); got != tt.want {
			t.Errorf("%s: answered %v, want %v", tt.name, got, tt.want)
		}
	}
}

// An owner whose lease lapsed continues at once in the same view, and waits for
// the members' reports in a later one.
func TestRegainOwnership(t *testing.T) {
	tests := []struct {
		name  string
		view  wick.ViewNumber
		given wick.Slots
	}{
		{"same view", 1, 1},
		{"later view", 2, 0},
	}
	for _, tt := range tests {
		b := NewBudget(StoreConfig{Store: smallStore})
		idle := []wick.Member{{Host: "idle", Incarnation: 9}}
		b.TakeOwnership(0, 1, idle)
		now := wick.Instant(time.Minute)
		b.DropOwnership()
		b.TakeOwnership(now, tt.view, idle)
		g, _ := b.HandleRequest(now.Add(time.Second), wick.Grant{From: "h", Incarnation: 1, View: 2, Sequence: 1, Wanted: 1, Loads: 1})
		if g.Given != tt.given {
			t.Errorf("%s: %d granted, want %d", tt.name, g.Given, tt.given)
		}
	}
}

func TestRecentViews(t *testing.T) {
	view := func(n wick.ViewNumber) wick.View { return wick.View{Number: n} }
	tests := []struct {
		at   time.Duration
		open []wick.View
		want string
	}{
		{0, []wick.View{view(1)}, "[1]"},
		{time.Second, []wick.View{view(1), view(4)}, "[1 4]"},
		{2 * time.Second, []wick.View{view(4)}, "[1 4]"},
		{6900 * time.Millisecond, []wick.View{view(4), view(6)}, "[1 4 6]"},
		{7 * time.Second, []wick.View{view(6)}, "[4 6]"},
		{20 * time.Second, []wick.View{view(6)}, "[6]"},
	}
	r := NewRecentViews(StoreConfig{})
	for _, tt := range tests {
		var got []wick.ViewNumber
		for _, v := range r.Update(wick.Instant(tt.at), tt.open) {
			got = append(got, v.Number)
		}
		if fmt.Sprint(got) != tt.want {
			t.Errorf("after %v: %v, want %v", tt.at, got, tt.want)
		}
	}
}

// Prefetch leaves a token for the next request, and gets none while one waits.
func TestPrefetchComesLast(t *testing.T) {
	b := NewBudget(StoreConfig{Store: smallStore})
	b.TakeOwnership(0, 1, nil)
	tests := []struct {
		at    time.Duration
		from  wick.HostName
		w     Demand
		given wick.Slots
	}{
		{time.Minute, "a", Demand{Prefetch: 2}, 1},
		{time.Minute, "b", Demand{Cost: 1, Loads: 1}, 1},
		{time.Minute, "b", Demand{Cost: 1, Loads: 1}, 0},
		{time.Minute + 500*time.Millisecond, "a", Demand{Prefetch: 2}, 0},
		{time.Minute + 600*time.Millisecond, "b", Demand{Cost: 1, Loads: 1}, 1},
	}
	for i, tt := range tests {
		g, _ := b.HandleRequest(wick.Instant(tt.at), wick.Grant{
			Store: "s", From: tt.from, View: 1, Sequence: wick.Sequence(i + 1), Incarnation: 1,
			Wanted: tt.w.Cost, Loads: tt.w.Loads, Prefetch: tt.w.Prefetch,
		})
		if g.Given != tt.given {
			t.Errorf("%s after %v: %d granted, want %d", tt.from, tt.at, g.Given, tt.given)
		}
	}
}

// Without faults the whole rate is used, in proportion to the demand.
func TestBudgetUtilization(t *testing.T) {
	tests := []struct {
		name  string
		wants []Demand
		load  int // steps
		cut   bool
		rate  [2]float64 // loads per second, minimum and maximum
		part  []float64  // share of daemon 0 in all loads, minimum and maximum
	}{
		{"one daemon wants loads", []Demand{{1, 1, 0}, {}, {}}, 5, false, [2]float64{3.6, 4.2}, []float64{1, 1}},
		{"nine to one", []Demand{{}, {}, {9, 4, 0}, {1, 4, 0}}, 5, false, [2]float64{3.3, 4.2}, []float64{0, 0}},
		{"slow store", []Demand{{1, 9, 0}, {1, 9, 0}, {}}, 60, false, [2]float64{3.6, 4.2}, []float64{0.4, 0.7}},
		{"very slow store", []Demand{{1, 9, 0}, {1, 9, 0}, {}}, 200, false, [2]float64{1.2, 1.8}, []float64{0.4, 0.7}},
		{"prefetch alone", []Demand{{0, 0, 2}, {}, {}}, 5, false, [2]float64{3.3, 4.2}, []float64{1, 1}},
		{"prefetch while others need loads", []Demand{{0, 0, 2}, {}, {}, {1, 4, 0}}, 5, false, [2]float64{3.6, 4.2}, []float64{0, 0.1}},
		{"owner unreachable", []Demand{{1, 4, 0}, {1, 4, 0}, {1, 4, 0}}, 5, true, [2]float64{0.4, 0.6}, []float64{0.4, 0.6}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := StoreConfig{Store: smallStore, LoadTime: 20 * time.Second}
			s := newCluster(cfg, len(tt.wants))
			const steps = 1200
			for now := range steps {
				s.end(now)
				s.deliver(now, 0)
				for i, w := range tt.wants {
					s.start(now, i, int(w.Loads+w.Prefetch), tt.load)
					if now%2 == 0 {
						s.ask(now, i, w, 0, tt.cut)
					}
				}
			}
			secs := (steps * step).Seconds()
			rate := float64(len(s.starts)) / secs
			part := float64(s.given["h0"]) / float64(len(s.starts))
			if rate < tt.rate[0] || rate > tt.rate[1] || part < tt.part[0] || part > tt.part[1] {
				t.Errorf("%.2f loads per second, want %v; part of the first daemon %.2f, want %v", rate, tt.rate, part, tt.part)
			}
			if tt.name == "nine to one" {
				if q := float64(s.given["h2"]) / float64(s.given["h3"]); q < 6 || q > 10 {
					t.Errorf("%d to %d loads, want about nine to one", s.given["h2"], s.given["h3"])
				}
			}
		})
	}
}
