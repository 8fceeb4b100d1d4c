package coord

import (
	"errors"
	"testing"
	"time"

	"currantwick"
)

// A write that the store carries out late must not take effect, neither at a daemon
// that knows of the newer one nor at one that starts afterwards and finds the late one
// in the store.
func TestLateRecords(t *testing.T) {
	entry := func(t *testing.T, at wick.Offset, seq wick.DescriptionCount, draining bool) wick.KeyedRecord {
		return record(t, at, "e", wick.Fact{Runner: &wick.Runner{
			Name: "e", Pool: "p", Address: "x:1", Domain: "d", Started: 5, Sequence: seq, Draining: draining,
		}})
	}
	removed := func(at wick.Offset) wick.KeyedRecord { return wick.KeyedRecord{Offset: at, Key: "e"} }
	config := func(t *testing.T, at wick.Offset, version uint64) wick.KeyedRecord {
		return record(t, at, "config", wick.Fact{ServingConfig: &wick.ServingConfig{Version: version}})
	}
	revision := func(t *testing.T, at wick.Offset, version wick.Revision) wick.KeyedRecord {
		return record(t, at, "version", wick.Fact{NewRevision: &wick.Loaded{Weights: wick.Weights{Model: "m", Adapter: "a"}, Revision: version}})
	}
	inUse := func(s *state) bool { return s.endpoints["e"] != nil && s.endpoints["e"].takesRequests() }
	tests := []struct {
		name  string
		topic wick.Topic
		// records are those of one key in the order in which the store has them.
		records func(t *testing.T) []wick.KeyedRecord
		// followsLast reports whether a daemon goes by the last record.
		followsLast func(s *state) bool
	}{
		{"entry of an endpoint that left", wick.TopicRunners, func(t *testing.T) []wick.KeyedRecord {
			return []wick.KeyedRecord{entry(t, 1, 7, false), removed(2), entry(t, 3, 6, false)}
		}, inUse},
		{"entry of an endpoint that left, its last", wick.TopicRunners, func(t *testing.T) []wick.KeyedRecord {
			return []wick.KeyedRecord{entry(t, 1, 7, false), removed(2), entry(t, 3, 8, false)}
		}, inUse},
		{"entry of a draining endpoint", wick.TopicRunners, func(t *testing.T) []wick.KeyedRecord {
			return []wick.KeyedRecord{entry(t, 1, 6, false), entry(t, 2, 7, true), entry(t, 3, 5, false)}
		}, inUse},
		{"configuration", wick.TopicConfig, func(t *testing.T) []wick.KeyedRecord {
			return []wick.KeyedRecord{config(t, 1, 12), config(t, 2, 7)}
		}, func(s *state) bool { return s.facts.ServingConfig().Version == 7 }},
		{"version of an adapter", wick.TopicConfig, func(t *testing.T) []wick.KeyedRecord {
			return []wick.KeyedRecord{revision(t, 1, 3), revision(t, 2, 2)}
		}, func(s *state) bool { return s.facts.Newest()[wick.Weights{Model: "m", Adapter: "a"}].Number == 2 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reader, fresh := newLateHarness(t), newLateHarness(t)
			list := test.records(t)
			for i, r := range list {
				reader.read(ms(i), test.topic, r)
			}
			if test.followsLast(reader.state) {
				t.Error("the daemon that knew the newer record goes by the late one")
			}
			// A daemon that starts now reads the newest record of the key only.
			fresh.read(ms(10), test.topic, list[len(list)-1])
			if !test.followsLast(fresh.state) {
				t.Fatal("the daemon that has just started does not go by the only record that it knows")
			}
			l, sender := &link{}, &holder{instances: make(map[wick.HostName]wick.InstanceState)}
			reader.connect(l, "b", 2, ms(11), fresh.knownOffsets()...)
			for _, m := range l.sent {
				fresh.applyUpdate(ms(12), sender, m.Update)
			}
			if test.followsLast(fresh.state) {
				t.Error("the daemon that has just started goes by the late record after it was told of the newer one")
			}
		})
	}
}

// An entry that lapsed in an outage which the reader alone saw is removed by the others,
// and was held by them when it was renewed, as if it were late.
func TestRenewedEntryIsNotHeld(t *testing.T) {
	entry := func(at wick.Offset, seq wick.DescriptionCount) wick.KeyedRecord {
		return record(t, at, "e", wick.Fact{Runner: &wick.Runner{Name: "e", Pool: "p", Address: "x:1", Domain: "d", Started: 5, Sequence: seq}})
	}
	reader, other := newLateHarness(t), newLateHarness(t)
	l, sender := &link{}, &holder{instances: make(map[wick.HostName]wick.InstanceState)}
	reader.connect(l, "b", 2, ms(1))
	relay := func(at wick.Instant) {
		reader.tick(at)
		for _, m := range l.sent {
			other.applyUpdate(at, sender, m.Update)
		}
		l.sent = nil
	}
	reader.read(ms(2), wick.TopicRunners, entry(1, 7))
	relay(ms(2))
	topicRead{topic: wick.TopicRunners, err: errors.New("down")}.apply(reader.state, ms(100))
	reader.read(ms(200), wick.TopicRunners, wick.KeyedRecord{Offset: 2, Key: "e"})
	relay(ms(200))
	if reader.endpoints["e"] == nil || other.endpoints["e"] != nil {
		t.Fatal("want the entry lapsed at the reader and removed at the other daemon")
	}
	reader.read(ms(300), wick.TopicRunners, entry(3, 8))
	relay(ms(300))
	if reader.endpoints["e"] == nil || other.endpoints["e"] == nil {
		t.Error("the renewed endpoint is not in use")
	}
}

// A record of an earlier run of a daemon that the store writes late must not hide the
// address of the present one. The record of before a start is not late.
func TestLateRecordOfEarlierRun(t *testing.T) {
	own, earlier := instance("a", 1), instance("a", 9)
	tests := []struct {
		name string
		// records are those of the daemon's host in the order of the store.
		records []wick.Instance
		// appends are expected after them.
		appends int
	}{
		{"before its own", []wick.Instance{earlier, own}, 0},
		{"late", []wick.Instance{earlier, own, earlier}, 1},
		{"late, again and again", []wick.Instance{own, earlier, own, earlier, own, earlier, own, earlier, own, earlier}, maxReannounced},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newHarness(t, true)
			w.announced = true
			for i, d := range test.records {
				w.read(ms(i), wick.TopicDaemons, record(t, wick.Offset(i), keyDaemon+"a", d))
				w.pendingPut = "" // The claim of a term.
				w.announce(ms(i))
				if w.pendingPut == keyDaemon+"a" {
					putDone{key: w.pendingPut, current: true}.apply(w.state, ms(i))
				}
			}
			appends := 0
			for _, key := range w.fakeIO.puts {
				if key == keyDaemon+"a" {
					appends++
				}
			}
			if appends != test.appends {
				t.Errorf("its own record was appended %d times, want %d", appends, test.appends)
			}
		})
	}
}

// newLateHarness returns a control state with a configuration of a pool of plain
// services, whose entries may be written late.
func newLateHarness(t *testing.T) *harness {
	w := newHarness(t, true)
	w.cfg.Bounds.Heartbeat = wick.Duration(time.Second)
	w.state = newState(w.cfg)
	w.read(0, wick.TopicConfig, record(t, 0, "config", wick.Fact{ServingConfig: &wick.ServingConfig{
		Version: 1, Pools: map[wick.PoolName]wick.PoolConfig{"p": {Name: "p"}},
	}}))
	w.read(0, wick.TopicRunners)
	return w
}
