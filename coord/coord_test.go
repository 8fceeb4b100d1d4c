package coord

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"currantwick"
	"currantwick/fakes"
	"currantwick/tally"
	"currantwick/terms"
)

func ms(n int) wick.Instant { return wick.Instant(time.Duration(n) * time.Millisecond) }

// fakeIO implements wick.GatewayIO and records the calls.
type fakeIO struct {
	reads     []wick.Topic
	newest    []wick.Topic
	puts      []string
	putValues [][]byte
	putCalls  int
	orders    []wick.RunnerOrder
	inspected []wick.EndpointName
	probed    []wick.EndpointStart
	dialed    []wick.Address
	closed    []wick.Address
}

func (s *fakeIO) Read(t wick.Topic, _ wick.Offset, _ wick.Duration) { s.reads = append(s.reads, t) }
func (s *fakeIO) ReadNewest(t wick.Topic)                           { s.newest = append(s.newest, t) }

func (s *fakeIO) Put(_ wick.Offset, records ...wick.KeyedRecord) {
	s.putCalls++
	for _, r := range records {
		s.puts, s.putValues = append(s.puts, r.Key), append(s.putValues, r.Value)
	}
}

func (s *fakeIO) Order(_ wick.Address, o wick.RunnerOrder) { s.orders = append(s.orders, o) }

func (s *fakeIO) Inspect(e wick.EndpointName, _ wick.Address) { s.inspected = append(s.inspected, e) }

func (s *fakeIO) Probe(id wick.EndpointStart, _ wick.Address, _ bool) {
	s.probed = append(s.probed, id)
}

func (s *fakeIO) CloseIdle(at wick.Address) { s.closed = append(s.closed, at) }

func (s *fakeIO) Dial(to wick.Address) { s.dialed = append(s.dialed, to) }

// decoder implements wick.RecordDecoder for facts encoded as JSON.
type decoder struct{}

func (decoder) Decode(topic wick.Topic, rec wick.KeyedRecord) (wick.Fact, error) {
	f := wick.Fact{Offset: rec.Offset}
	if topic == wick.TopicRunners && len(rec.Value) == 0 {
		f.RemovedEndpoint = wick.EndpointName(rec.Key)
		return f, nil
	}
	if err := json.Unmarshal(rec.Value, &f); err != nil {
		return f, err
	}
	f.Offset = rec.Offset
	return f, nil
}

// fixedClock implements wick.Clock.
type fixedClock struct{}

func (fixedClock) Now() wick.Instant { return 0 }

// wall implements wick.WallClock.
type wall struct{ now wick.UnixMillis }

func (w *wall) Wall() wick.UnixMillis { return w.now }

// link implements wick.Link and records the messages.
type link struct {
	sent   []wick.LinkMessage
	closed bool
}

func (l *link) Post(msg wick.LinkMessage) { l.sent = append(l.sent, msg) }

func (l *link) Close() { l.closed = true }

func instance(host string, n wick.Incarnation) wick.Instance {
	return wick.Instance{Host: wick.HostName(host), Incarnation: n, PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", Domain: "d"}
}

// harness is a control state with fakes of its dependencies.
type harness struct {
	*state
	fakeIO *fakeIO
	wall   *wall
}

func newHarness(t testing.TB, fenced bool) *harness {
	t.Helper()
	st, clock := &fakeIO{}, &wall{now: 1_700_000_000_000}
	return &harness{fakeIO: st, wall: clock, state: newState(Config{
		Self:   instance("a", 1),
		Bounds: wick.Bounds{Lease: wick.Duration(3 * time.Second), RequireFencing: fenced, RevisionDeadline: wick.Duration(5 * time.Second)},
		Clock:  fixedClock{}, Wall: clock, IO: st, Decoder: decoder{}, Log: slog.New(slog.DiscardHandler), Observer: fakes.GatewayObserver{},
		Pauses: new(tally.Pauses), AnsweredParts: new(tally.Parts),
	})}
}

func record(t testing.TB, at wick.Offset, key string, v any) wick.KeyedRecord {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return wick.KeyedRecord{Offset: at, Key: key, Value: data}
}

// read finishes a read of a topic with the given records.
func (w *harness) read(at wick.Instant, topic wick.Topic, list ...wick.KeyedRecord) {
	b := wick.RecordBatch{Records: list, Next: w.topics[topic].next}
	for _, r := range list {
		b.Next = max(b.Next, r.Offset+1)
	}
	topicRead{topic: topic, newest: !w.topics[topic].loaded, began: at, batch: b}.apply(w.state, at)
	w.step(at)
}

// start reads a configuration with one engine, the engine's endpoint, and a term
// of this daemon for the endpoint's shard.
func (w *harness) start(t testing.TB) wick.EndpointName {
	t.Helper()
	const name = wick.EndpointName("e")
	config := &wick.ServingConfig{Version: 1, Pools: map[wick.PoolName]wick.PoolConfig{
		"p": {Name: "p", Engine: &wick.PoolEngine{AdapterSlots: 2, Models: []wick.ModelConfig{{Name: "m"}}}},
	}}
	w.read(0, wick.TopicConfig, record(t, 0, "site", wick.Fact{ServingConfig: config}))
	w.read(0, wick.TopicRunners, record(t, 0, string(name), wick.Fact{Runner: &wick.Runner{
		Name: name, Pool: "p", Address: "x:1", Domain: "d", Models: []wick.ModelName{"m"},
	}}))
	shard := terms.ShardOf(name)
	w.read(0, wick.TopicDaemons,
		record(t, 0, keyDaemon+"a", instance("a", 1)),
		record(t, 1, fmt.Sprintf("%s%d", keyTerm, shard), terms.Claim{Shard: shard, Holder: "a", Incarnation: 1}))
	return name
}

// report delivers a report of a linked daemon with the given readiness.
func (w *harness) report(l *link, ready bool, at wick.Instant) {
	linkMessage{l, wick.LinkMessage{Report: &wick.InstanceReport{Ready: ready}}}.apply(w.state, at)
}

func TestStartReadsAndClaims(t *testing.T) {
	w := newHarness(t, true)
	w.tick(ms(10))
	if len(w.fakeIO.newest) != int(wick.NumTopics) || len(w.fakeIO.puts) != 1 || w.fakeIO.puts[0] != keyDaemon+"a" {
		t.Fatalf("read %v and appended %v, want all topics and this daemon's record", w.fakeIO.newest, w.fakeIO.puts)
	}
	putDone{key: keyDaemon + "a", current: true}.apply(w.state, ms(20))
	w.read(ms(30), wick.TopicDaemons, record(t, 0, keyDaemon+"a", instance("a", 1)))
	w.tick(ms(40))
	if len(w.fakeIO.puts) != 2 || w.fakeIO.puts[1] != keyTerm+"0" {
		t.Fatalf("appended %v, want a claim of the first shard", w.fakeIO.puts)
	}
	w.tick(ms(50))
	if len(w.fakeIO.puts) != 2 {
		t.Errorf("appended %v while an append was under way", w.fakeIO.puts)
	}
}

// A term is claimed only if the daemons' records were read within the last
// fraction of a second.
func TestClaimNeedsAFreshRead(t *testing.T) {
	w := newHarness(t, true)
	w.read(0, wick.TopicDaemons)
	w.announced = true
	w.tick(ms(800))
	if len(w.fakeIO.puts) != 0 {
		t.Fatalf("appended %v on a read of 0.8 s ago", w.fakeIO.puts)
	}
	w.read(ms(810), wick.TopicDaemons)
	w.tick(ms(820))
	if len(w.fakeIO.puts) != 1 {
		t.Errorf("appended %v after a new read, want one claim", w.fakeIO.puts)
	}
}

// After a refused append the store is read again before the next append, also
// right after the start of the daemon.
func TestClaimAfterARefusedAppend(t *testing.T) {
	for _, at := range []wick.Instant{ms(2), ms(5000)} {
		w := newHarness(t, true)
		w.announced = true
		w.read(at, wick.TopicDaemons)
		w.fakeIO.reads = nil
		putDone{key: keyTerm + "0"}.apply(w.state, at)
		w.step(at)
		if len(w.fakeIO.puts) != 1 || len(w.fakeIO.reads) != 1 {
			t.Errorf("at %v: appended %v and read %v, want one of each", at, w.fakeIO.puts, w.fakeIO.reads)
		}
	}
}

func TestAdapterRequestBecomesOrder(t *testing.T) {
	adapter := wick.Weights{Model: "m", Adapter: "a"}
	tests := []struct {
		name string
		// before runs ahead of the request for the adapter.
		before func(w *harness, t *testing.T)
		orders int
	}{
		{"own shard", func(*harness, *testing.T) {}, 1},
		{"another daemon's shard", func(w *harness, t *testing.T) {
			shard := terms.ShardOf("e")
			w.read(ms(5), wick.TopicDaemons, record(t, 2, fmt.Sprintf("%s%d", keyTerm, shard), terms.Claim{Shard: shard, Holder: "b", Incarnation: 2}))
		}, 0},
		{"after a pause of the process", func(w *harness, _ *testing.T) { w.tick(ms(5000)) }, 0},
		{"while stopping", func(w *harness, _ *testing.T) { stopping{}.apply(w.state, ms(5)) }, 0},
		{"while the store does not answer", func(w *harness, _ *testing.T) {
			topicRead{topic: wick.TopicDaemons, err: errors.New("down")}.apply(w.state, ms(5))
		}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newHarness(t, true)
			name := w.start(t)
			w.tick(ms(1))
			reportRead{name, wick.RunnerReport{Models: []wick.ModelName{"m"}, Orders: 4}, nil}.apply(w.state, ms(2))
			test.before(w, t)
			adapterRequested{wick.AdapterRequest{Endpoint: name, Weights: adapter}}.apply(w.state, ms(5001))
			// At 11 ms the last read of the daemons' records is recent enough
			// for orders.
			w.step(ms(5001 - 4990))
			if len(w.fakeIO.orders) != test.orders {
				t.Fatalf("orders %+v, want %d", w.fakeIO.orders, test.orders)
			}
			if test.orders == 0 {
				return
			}
			want := wick.RunnerOrder{Kind: wick.OrderLoad, Weights: adapter, Endpoint: name, Holder: "a", Fence: 2, Expected: 4}
			if w.fakeIO.orders[0] != want {
				t.Errorf("ordered %+v, want %+v", w.fakeIO.orders[0], want)
			}
		})
	}
}

// Linked daemons receive at once what their holder reads and orders, and a daemon
// that links later receives all of it.
func TestLinkedDaemonsReceiveChanges(t *testing.T) {
	w := newHarness(t, true)
	name := w.start(t)
	w.tick(ms(1))
	early := &link{}
	linkUp{early, instance("b", 2), ""}.apply(w.state, ms(2))
	w.report(early, true, ms(2))
	reportRead{name, wick.RunnerReport{Models: []wick.ModelName{"m"}}, nil}.apply(w.state, ms(3))
	w.step(ms(3))
	w.read(ms(4), wick.TopicRunners, wick.KeyedRecord{Offset: 7, Key: string(name)})
	late := &link{}
	linkUp{late, instance("c", 3), ""}.apply(w.state, ms(5))
	w.report(late, true, ms(5))

	var records []wick.RelayedRecord
	for _, msg := range early.sent {
		records = append(records, msg.Update.Records...)
	}
	tests := []struct {
		name string
		ok   bool
	}{
		{"the first message on the earlier link has all three topics", len(early.sent[0].Update.Records) >= 4},
		{"the earlier link receives the removal of the endpoint", records[len(records)-1].Key == string(name) && records[len(records)-1].Confirmed},
		{"the later link receives it too", len(late.sent) == 1 && hasGone(late.sent[0].Update.Records, name)},
		{"the later link receives both other daemons", len(late.sent[0].Update.Instances) == 2},
	}
	for _, test := range tests {
		if !test.ok {
			t.Errorf("does not hold: %s", test.name)
		}
	}
}

func hasGone(list []wick.RelayedRecord, name wick.EndpointName) bool {
	for _, r := range list {
		if r.Topic == wick.TopicRunners && r.Key == string(name) && len(r.Value) == 0 {
			return true
		}
	}
	return false
}

// An endpoint's record may expire while the store is unreachable. If a holder
// relays the removal as unconfirmed, a daemon applies it only if the store was
// reachable from that daemon; it applies a confirmed removal in any case.
func TestExpiredEndpointRecords(t *testing.T) {
	tests := []struct {
		name      string
		storeDown bool
		confirmed bool
		known     bool
	}{
		{"store reachable from here", false, false, false},
		{"store unreachable from here too", true, false, true},
		{"confirmed by the holder", true, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newHarness(t, true)
			name := w.start(t)
			l := &link{}
			linkUp{l, instance("b", 2), "b:1"}.apply(w.state, ms(1))
			if test.storeDown {
				topicRead{topic: wick.TopicRunners, err: errors.New("down")}.apply(w.state, ms(2))
			}
			linkMessage{l, wick.LinkMessage{Update: &wick.HolderUpdate{
				Records: []wick.RelayedRecord{{Topic: wick.TopicRunners, Offset: 9, Key: string(name), Confirmed: test.confirmed}},
			}}}.apply(w.state, ms(3))
			if known := w.facts.Runner(name) != nil; known != test.known {
				t.Errorf("endpoint known: %v, want %v", known, test.known)
			}
		})
	}
}

// Reads of the store must not grow with the number of daemons: a daemon that
// receives updates from holders does not read. A read of the daemons' records
// blocks for up to daemonsWait, so the age that a holder reports for that topic
// may be that much higher.
func TestWhoReads(t *testing.T) {
	tests := []struct {
		name string
		// age is the age of the topics that a holder reported 100 ms ago, and
		// linked whether that holder is still linked.
		age    time.Duration
		linked bool
		read   int
	}{
		{"fresh", 0, true, 0},
		{"a second old", time.Second, true, 0},
		{"stale", 1500 * time.Millisecond, true, int(wick.NumTopics) - 1},
		{"at the end of a holder's wait", 2300 * time.Millisecond, true, int(wick.NumTopics) - 1},
		{"longer than a holder waits", 3500 * time.Millisecond, true, int(wick.NumTopics)},
		{"stale, and no holder is linked", 1500 * time.Millisecond, false, int(wick.NumTopics)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newHarness(t, true)
			l := &link{}
			linkUp{l, instance("b", 2), "b:1"}.apply(w.state, ms(4000))
			age := wick.Duration(test.age)
			linkMessage{l, wick.LinkMessage{Update: &wick.HolderUpdate{TopicAges: []wick.Duration{age, age, age}}}}.apply(w.state, ms(4000))
			if !test.linked {
				linkDown{l, errors.New("reset")}.apply(w.state, ms(4000))
			}
			w.readTopics(ms(4100))
			if read := len(w.fakeIO.reads) + len(w.fakeIO.newest); read != test.read {
				t.Errorf("%d topics read, want %d", read, test.read)
			}
		})
	}
}

func TestStopReleasesTerms(t *testing.T) {
	w := newHarness(t, true)
	w.start(t)
	w.pendingPut, w.fakeIO.puts = "", nil // Discards the pending claims of the other shards.
	stopping{}.apply(w.state, ms(1))
	if v := w.buildView(ms(2)); v.Ready || len(v.Entries) != 0 {
		t.Errorf("ready %v with entries %v, want not ready and no entries", v.Ready, v.Entries)
	}
	w.tick(ms(3))
	if len(w.fakeIO.puts) != 1 || w.fakeIO.puts[0] != fmt.Sprintf("%s%d", keyTerm, terms.ShardOf("e")) {
		t.Errorf("appended %v, want the release of this daemon's term", w.fakeIO.puts)
	}
}

// Failures that other daemons saw count in this daemon's choice of endpoints, and
// the holder sends the sum to the linked daemons.
func TestEndpointStatsAreShared(t *testing.T) {
	w := newHarness(t, true)
	name := w.start(t)
	l := &link{}
	linkUp{link: l, to: instance("b", 1)}.apply(w.state, ms(10))
	linkMessage{l, wick.LinkMessage{Report: &wick.InstanceReport{EndpointStats: []wick.EndpointStats{{Endpoint: name, Requests: 9, Failed: 9}}}}}.apply(w.state, ms(20))
	w.tick(ms(120))
	if got := w.buildView(ms(120)).Pools["p"][0].OtherLoad.FailedShare; got < 0.5 {
		t.Errorf("share of failures %v after nine failures at another daemon", got)
	}
	shared := false
	for _, m := range l.sent {
		for _, load := range m.Update.Loads {
			shared = shared || load.Endpoint == name && load.Load.FailedShare > 0.5
		}
	}
	if !shared {
		t.Error("the failures were not sent to the linked daemon")
	}
}

func TestEndpointStatsAreReported(t *testing.T) {
	w := newHarness(t, true)
	name := w.start(t)
	l := &link{}
	shard := terms.ShardOf(name)
	w.read(ms(5), wick.TopicDaemons, record(t, 2, fmt.Sprintf("%s%d", keyTerm, shard), terms.Claim{Shard: shard, Holder: "b", Incarnation: 1}))
	linkUp{link: l, to: instance("b", 1), dialed: "127.0.0.1:1"}.apply(w.state, ms(10))
	w.endpoints[name].meter.Observe(ms(10), 0, true)
	w.tick(ms(200))
	for _, m := range l.sent {
		if m.Report != nil && len(m.Report.EndpointStats) == 1 && m.Report.EndpointStats[0].Failed == 1 {
			return
		}
	}
	t.Errorf("the holder received no report of a failure: %+v", l.sent)
}

// Linked daemons receive the daemons that joined, changed or left, and not all
// others each time. A daemon that has linked but not reported yet may be ready,
// so nothing is sent about it.
func TestDaemonsAreSentOnce(t *testing.T) {
	w := newHarness(t, true)
	w.start(t)
	first := &link{}
	linkUp{link: first, to: instance("b", 1)}.apply(w.state, ms(10))
	w.report(first, true, ms(10))
	w.step(ms(10))
	received := func() (joined, left []wick.HostName) {
		for _, m := range first.sent {
			for _, d := range m.Update.Instances {
				joined = append(joined, d.Instance.Host)
			}
			left = append(left, m.Update.Departed...)
		}
		first.sent = nil
		return joined, left
	}
	other, again := &link{}, &link{}
	tests := []struct {
		name   string
		do     func(at wick.Instant)
		joined []wick.HostName
		left   []wick.HostName
	}{
		{"the first", func(wick.Instant) {}, []wick.HostName{"a", "b"}, nil},
		{"another links", func(at wick.Instant) { linkUp{link: other, to: instance("c", 1)}.apply(w.state, at) }, nil, nil},
		{"it reports", func(at wick.Instant) { w.report(other, true, at) }, []wick.HostName{"c"}, nil},
		{"the same again", func(at wick.Instant) { w.report(other, true, at) }, nil, nil},
		{"it stops", func(at wick.Instant) { w.report(other, false, at) }, []wick.HostName{"c"}, nil},
		{"it starts again", func(at wick.Instant) {
			linkUp{link: again, to: instance("c", 2)}.apply(w.state, at)
			w.report(again, true, at)
		}, []wick.HostName{"c"}, nil},
		{"it leaves", func(at wick.Instant) { linkDown{link: again, err: errors.New("reset")}.apply(w.state, at) }, nil, []wick.HostName{"c"}},
		{"nothing", func(wick.Instant) {}, nil, nil},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			at := ms(20 + 10*i)
			test.do(at)
			w.step(at)
			if joined, left := received(); !slices.Equal(joined, test.joined) || !slices.Equal(left, test.left) {
				t.Errorf("got instances %v and left %v, want %v and %v", joined, left, test.joined, test.left)
			}
		})
	}
}

// A daemon that a holder lists as ready remains an entry point after it has
// linked to this daemon and before its first report.
func TestEntryBeforeFirstReport(t *testing.T) {
	w := newHarness(t, true)
	w.start(t)
	old, fresh := &link{}, &link{}
	ready := wick.InstanceState{Instance: instance("c", 1), Ready: true}
	linkUp{link: old, to: instance("h", 1), dialed: "h:1"}.apply(w.state, ms(10))
	linkMessage{old, wick.LinkMessage{Update: &wick.HolderUpdate{Instances: []wick.InstanceState{ready}}}}.apply(w.state, ms(10))
	linkUp{link: fresh, to: instance("c", 1)}.apply(w.state, ms(20))
	for _, e := range w.buildView(ms(20)).Entries {
		if e.Host == "c" {
			return
		}
	}
	t.Errorf("entries %v, want c among them", w.buildView(ms(20)).Entries)
}

// With many linked daemons, large changes of loads are sent and small ones are
// not.
func TestLoadsAreSent(t *testing.T) {
	old := wick.EndpointLoad{Running: 10, Waiting: 1000, Free: 1}
	with := func(f func(*wick.EndpointLoad)) wick.EndpointLoad {
		l := old
		f(&l)
		return l
	}
	tests := []struct {
		name string
		load wick.EndpointLoad
		few  bool
		many bool
	}{
		{"nothing new", old, false, false},
		{"one request more", with(func(l *wick.EndpointLoad) { l.Running++ }), true, false},
		{"two requests more", with(func(l *wick.EndpointLoad) { l.Running += 2 }), true, true},
		{"a short prompt", with(func(l *wick.EndpointLoad) { l.Waiting += 100 }), true, false},
		{"a long prompt", with(func(l *wick.EndpointLoad) { l.Waiting += 6000 }), true, true},
		{"no slot is free", with(func(l *wick.EndpointLoad) { l.Free = 0 }), true, true},
		{"it fails", with(func(l *wick.EndpointLoad) { l.FailedShare = 0.25 }), true, true},
		{"it is late", with(func(l *wick.EndpointLoad) { l.Lag = wick.Duration(200 * time.Millisecond) }), true, true},
	}
	for _, test := range tests {
		for _, members := range []int{2, manyLinks} {
			t.Run(fmt.Sprintf("%s, %d daemons", test.name, members), func(t *testing.T) {
				w := newHarness(t, true)
				e := w.endpoints[w.start(t)]
				for i := range members {
					linkUp{link: &link{}, to: instance(fmt.Sprintf("d%d", i), 1)}.apply(w.state, ms(10))
				}
				e.sentLoad, e.total = old, test.load
				w.out.loads = nil
				w.queueLoads()
				want := test.few
				if members == manyLinks {
					want = test.many
				}
				if sent := len(w.out.loads) > 0; sent != want {
					t.Errorf("sent %v, want %v", sent, want)
				}
			})
		}
	}
}

// In an outage of the store, a daemon that holds no term asks it about once a
// second, and notices within about that time that it is back.
func TestReadsInAnOutage(t *testing.T) {
	tests := []struct {
		name  string
		holds bool
		// most are the reads of all topics in the outage of 10 s.
		most int
	}{
		{"a daemon without a term", false, 16},
		{"a holder", true, (10*4 + 1) * int(wick.NumTopics)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newHarness(t, true)
			w.start(t)
			if !test.holds {
				shard := terms.ShardOf("e")
				w.read(0, wick.TopicDaemons, record(t, 2, fmt.Sprintf("%s%d", keyTerm, shard), terms.Claim{Shard: shard, Holder: "b", Incarnation: 2}))
			}
			reads := 0
			for at := 10; at < 10_000; at += 10 {
				w.tick(ms(at))
				w.step(ms(at))
				sent := append(w.fakeIO.reads, w.fakeIO.newest...)
				w.fakeIO.reads, w.fakeIO.newest = nil, nil
				for _, topic := range sent {
					reads++
					topicRead{topic: topic, err: errors.New("reset")}.apply(w.state, ms(at))
				}
			}
			if reads > test.most || reads < 5 {
				t.Errorf("%d reads in an outage of 10 s, want 5 to %d", reads, test.most)
			}
			for at := 10_000; at < 12_000 && len(w.fakeIO.reads) == 0; at += 10 {
				w.tick(ms(at))
			}
			if len(w.fakeIO.reads) == 0 {
				t.Error("no read within 2 s after the outage")
			}
		})
	}
}
