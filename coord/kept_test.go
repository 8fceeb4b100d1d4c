package coord

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"currantwick"
)

// After a late write of an older configuration and the loss of all daemons, the older
// one was in force for good.
func TestKeptConfiguration(t *testing.T) {
	config := func(t *testing.T, at wick.Offset, version uint64) wick.KeyedRecord {
		return record(t, at, "config", wick.Fact{ServingConfig: &wick.ServingConfig{Version: version}})
	}
	const memo = keyKept + "config"
	tests := []struct {
		name string
		// records are those of the operator's topic.
		records []uint64
		// holds is set if the daemon holds a term.
		holds bool
		// keeps is the version of the memo that is written, 0 for none, and removed is
		// set if it is removed.
		keeps   uint64
		removed bool
	}{
		{"in order", []uint64{7, 12}, true, 0, false},
		{"an older one is late", []uint64{12, 7}, true, 12, false},
		{"two older ones are late", []uint64{12, 7, 9}, true, 12, false},
		{"the same one again", []uint64{12, 12}, true, 0, false},
		{"a daemon without a term", []uint64{12, 7}, false, 0, false},
		{"and then a newer one", []uint64{12, 7, 20}, true, 12, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newHarness(t, true)
			if test.holds {
				w.start(t)
			}
			for i, version := range test.records {
				w.read(ms(3000*i), wick.TopicConfig, config(t, wick.Offset(10+i), version))
				for at := ms(3000 * i); at < ms(3000*i+3000); at += ms(50) {
					w.tick(at)
					if w.memos.pending != "" {
						putDone{key: memo, current: true}.apply(w.state, at)
					}
				}
			}
			want := [][]byte(nil)
			if test.keeps > 0 {
				want = append(want, config(t, 0, test.keeps).Value)
			}
			if test.removed {
				want = append(want, nil)
			}
			if puts := w.memoPuts(memo); !slices.EqualFunc(puts, want, bytes.Equal) {
				t.Errorf("memos written: %q, want %q", puts, want)
			}
		})
	}
}

// After late writes of many versions and the loss of all daemons, most of the older ones
// were in use for good, since memos were written one in 2 s.
func TestKeptVersions(t *testing.T) {
	const adapters = maxKeptPerCall + 44
	version := func(t *testing.T, at wick.Offset, adapter int, n wick.Revision) wick.KeyedRecord {
		w := wick.Weights{Model: "m", Adapter: wick.AdapterName(fmt.Sprint(adapter))}
		return record(t, at, fmt.Sprintf("version/m.%d", adapter), wick.Fact{NewRevision: &wick.Loaded{Weights: w, Revision: n}})
	}
	tests := []struct {
		name string
		// late are the numbers of versions that are written late, in one read each.
		late []int
		// within is the time after which memos and calls are counted.
		within       time.Duration
		memos, calls int
	}{
		{"one", []int{1}, time.Second, 1, 1},
		{"many in one read", []int{100}, time.Second, 100, 1},
		{"many in three reads", []int{1, 50, 49}, time.Second, 100, 1},
		{"more than one call has", []int{adapters}, time.Second, maxKeptPerCall, 1},
		{"the rest of them", []int{adapters}, 2*memoInterval - time.Second, adapters, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newHarness(t, true)
			w.start(t)
			for i := range adapters {
				w.read(0, wick.TopicConfig, version(t, wick.Offset(i), i, 2))
			}
			calls, puts := w.fakeIO.putCalls, len(w.fakeIO.puts)
			next := 0
			for at := ms(3000); at < ms(3000).Add(test.within); at += ms(50) {
				if reads := int(at-ms(3000)) / int(ms(50)); reads < len(test.late) {
					var late []wick.KeyedRecord
					for range test.late[reads] {
						late = append(late, version(t, wick.Offset(1000+next), next, 1))
						next++
					}
					w.read(at, wick.TopicConfig, late...)
				}
				w.tick(at)
				if w.memos.pending != "" {
					putDone{key: w.memos.pending, current: true}.apply(w.state, at)
				}
			}
			if got := len(w.fakeIO.puts) - puts; got != test.memos {
				t.Errorf("%d memos were written, want %d", got, test.memos)
			}
			if got := w.fakeIO.putCalls - calls; got != test.calls {
				t.Errorf("%d calls, want %d", got, test.calls)
			}
		})
	}
}

// A daemon that starts goes by the memo, unless the operator's topic has a newer record.
func TestKeptConfigurationIsRead(t *testing.T) {
	config := func(t *testing.T, key string, version uint64) wick.KeyedRecord {
		return record(t, 30, key, wick.Fact{ServingConfig: &wick.ServingConfig{Version: version}})
	}
	tests := []struct {
		name string
		// store is the version in the operator's topic, and first is set if the memo is
		// read before it.
		store uint64
		first bool
		want  uint64
	}{
		{"memo first", 7, true, 12},
		{"memo last", 7, false, 12},
		{"memo first, obsolete", 20, true, 20},
		{"memo last, obsolete", 20, false, 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newHarness(t, true)
			memo := func() { w.read(0, wick.TopicDaemons, config(t, keyKept+"config", 12)) }
			if test.first {
				memo()
			}
			w.read(0, wick.TopicConfig, config(t, "config", test.store))
			if !test.first {
				memo()
			}
			for at := ms(0); at < wick.Instant(time.Minute); at += ms(1000) {
				w.storeKept(at)
			}
			if got := w.facts.ServingConfig().Version; got != test.want {
				t.Errorf("configuration %d is in force, want %d", got, test.want)
			}
			if slices.Contains(w.fakeIO.puts, keyKept+"config") {
				t.Error("a daemon without a term has written the memo")
			}
		})
	}
}
