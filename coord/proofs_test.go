package coord

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"currantwick"
	"currantwick/crash"
	"currantwick/terms"
)

// crashWith7 adds the evidence of request 7, which crashed its n-th to m-th endpoint,
// from the second on as a trial.
func (w *harness) crashWith7(at wick.Instant, n, m int) {
	for i := n; i <= m; i++ {
		r := wick.CrashReport{Crash: wick.EndpointStart{Endpoint: "e", Started: wick.Started(i)}, Pending: []wick.PendingRequest{{Request: 7, Trial: i > 1}}}
		w.addEvidence(at, wick.Evidence{Crashes: []wick.CrashReport{r}}, ownEvidence)
	}
}

// memoPuts returns the values of the memos with a key that were appended.
func (w *harness) memoPuts(key string) [][]byte {
	var list [][]byte
	for i, k := range w.fakeIO.puts {
		if k == key {
			list = append(list, w.fakeIO.putValues[i])
		}
	}
	return list
}

// giveTerms gives shards to another daemon to which this one has a link, and the rest to
// this one.
func giveTerms(t *testing.T, w *harness, others ...wick.Shard) {
	for sh := range wick.Shard(terms.Shards) {
		c := terms.Claim{Shard: sh, Holder: "a", Incarnation: 1}
		if slices.Contains(others, sh) {
			c.Holder, c.Incarnation = "b", 2
		}
		w.read(0, wick.TopicDaemons, record(t, wick.Offset(10+sh), fmt.Sprintf("%s%d", keyTerm, sh), c))
	}
	w.holders["b"] = &holder{link: &link{}, instances: make(map[wick.HostName]wick.InstanceState)}
}

// After the loss of all daemons a request that crashes endpoints was found anew.
func TestProofsOutliveDaemons(t *testing.T) {
	w := newHarness(t, true)
	w.start(t)
	w.crashWith7(ms(1000), 1, 2)
	w.crashWith7(ms(17_000), 3, 3)
	w.tick(ms(17_050))
	puts := w.memoPuts(keyProofs)
	if len(puts) != 1 {
		t.Fatalf("%d records with proofs were appended, want 1", len(puts))
	}
	tests := []struct {
		name string
		// later is when the daemon that has just started reads the record.
		later time.Duration
		want  crash.Verdict
	}{
		{"within the second stop", 29 * time.Second, crash.Stopped},
		{"after it", 31 * time.Second, crash.RunAlone},
		{"with a clock that is behind", -2400 * time.Millisecond, crash.Stopped},
		{"after the evidence is too old", time.Hour, crash.Clear},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fresh := newHarness(t, true)
			fresh.wall.now = w.wall.now + wick.UnixMillis(test.later.Milliseconds())
			fresh.read(0, wick.TopicDaemons, wick.KeyedRecord{Offset: 3, Key: keyProofs, Value: puts[0]})
			if got, _ := fresh.verdicts.Of(7, nil); got != test.want {
				t.Errorf("verdict %d, want %d", got, test.want)
			}
		})
	}
}

// A proof that other evidence takes back must leave the memo, or daemons that start
// afterwards refuse sound requests: they have only the half of the evidence that proved it.
func TestProofsTakenBack(t *testing.T) {
	w := newHarness(t, true)
	w.start(t)
	crashOf := func(endpoint string, n int, pending ...wick.PendingRequest) {
		r := wick.CrashReport{Crash: wick.EndpointStart{Endpoint: wick.EndpointName(endpoint), Started: wick.Started(n)}, Pending: pending}
		w.addEvidence(ms(1), wick.Evidence{Crashes: []wick.CrashReport{r}}, ownEvidence)
	}
	tick := func(at wick.Instant) {
		w.tick(at)
		if w.memos.pending != "" {
			putDone{key: keyProofs, current: true}.apply(w.state, at)
		}
	}
	w.crashWith7(ms(1), 1, 2)
	crashOf("f", 1, wick.PendingRequest{Request: 9})
	crashOf("f", 2, wick.PendingRequest{Request: 9, Trial: true})
	tick(ms(2))
	for n := range 2 {
		crashOf("e", n+1, wick.PendingRequest{Request: 8})
	}
	for at := ms(1000); at < ms(9000); at += ms(1000) {
		tick(at)
	}
	puts := w.memoPuts(keyProofs)
	if len(puts) != 2 {
		t.Fatalf("%d memos were written, want 2", len(puts))
	}
	fresh := newHarness(t, true)
	fresh.read(0, wick.TopicDaemons, wick.KeyedRecord{Offset: 3, Key: keyProofs, Value: puts[1]})
	tests := []struct {
		request wick.Fingerprint
		want    crash.Verdict
	}{{7, crash.Clear}, {8, crash.Clear}, {9, crash.Stopped}}
	for _, test := range tests {
		if got, _ := fresh.verdicts.Of(test.request, nil); got != test.want {
			t.Errorf("request %d: verdict %d, want %d", test.request, got, test.want)
		}
	}
}

// The store's calls are priced and limited: the proofs are written by one daemon, when
// a cause is proved, and removed once when none is left.
func TestProofsAreWrittenSparingly(t *testing.T) {
	const last = 30 * time.Minute
	ok := func(w *harness, at wick.Instant) { putDone{key: keyProofs, current: true}.apply(w.state, at) }
	tests := []struct {
		name string
		do   func(t *testing.T, w *harness)
		// until is when the last tick is, with one each second.
		until time.Duration
		// done handles an append.
		done func(w *harness, at wick.Instant)
		// least and most bound the appends with a value, and removals are those without.
		least, most, removals int
	}{
		{"no crash", func(*testing.T, *harness) {}, last, ok, 0, 0, 0},
		{"a crash under a request that is not proved", func(_ *testing.T, w *harness) { w.crashWith7(0, 1, 1) }, last, ok, 0, 0, 0},
		{"a proved request", func(_ *testing.T, w *harness) { w.crashWith7(0, 1, 2) }, time.Minute, ok, 1, 1, 0},
		{"and when its evidence is too old", func(_ *testing.T, w *harness) { w.crashWith7(0, 1, 2) }, last, ok, 1, 1, 1},
		{"and when it was answered", func(_ *testing.T, w *harness) {
			w.crashWith7(0, 1, 2)
			w.tick(ms(1))
			ok(w, ms(2))
			suspectsAnswered{[]wick.Fingerprint{7}}.apply(w.state, ms(3))
		}, time.Minute, ok, 1, 1, 1},
		{"another daemon decides on trials", func(t *testing.T, w *harness) {
			giveTerms(t, w, 0, 1, 2, 3)
			w.crashWith7(0, 1, 2)
		}, time.Minute, ok, 0, 0, 0},
		{"it can't write", func(t *testing.T, w *harness) {
			giveTerms(t, w, 0)
			w.crashWith7(0, 1, 2)
		}, time.Minute, ok, 1, 1, 0},
		{"it can't write for a moment", func(t *testing.T, w *harness) {
			giveTerms(t, w, 0)
			w.crashWith7(0, 1, 2)
		}, proofsTakeover, ok, 0, 0, 0},
		{"nor remove", func(t *testing.T, w *harness) {
			giveTerms(t, w, 0)
			w.crashWith7(0, 1, 2)
			suspectsAnswered{[]wick.Fingerprint{7}}.apply(w.state, ms(3))
			w.storedProofs.there = true
		}, time.Minute, ok, 0, 0, 0},
		{"it is stored already", func(t *testing.T, w *harness) {
			w.crashWith7(0, 1, 2)
			w.tick(ms(1))
			w.read(ms(2), wick.TopicDaemons, wick.KeyedRecord{Offset: 9, Key: keyProofs, Value: w.memoPuts(keyProofs)[0]})
			ok(w, ms(3))
			w.fakeIO.puts = nil
		}, time.Minute, ok, 0, 0, 0},
		{"an earlier write is done late", func(t *testing.T, w *harness) {
			w.crashWith7(0, 1, 2)
			w.tick(ms(1))
			ok(w, ms(2))
			w.crashWith7(0, 3, 3)
			w.tick(ms(3000))
			ok(w, ms(3001))
			w.read(ms(3002), wick.TopicDaemons, wick.KeyedRecord{Offset: 9, Key: keyProofs, Value: w.memoPuts(keyProofs)[0]})
		}, time.Minute, ok, 3, 3, 0},
		{"the store is away for a minute", func(_ *testing.T, w *harness) { w.crashWith7(0, 1, 2) }, time.Minute, func(w *harness, at wick.Instant) {
			putDone{key: keyProofs, err: errors.New("down")}.apply(w.state, at)
			w.read(at, wick.TopicDaemons)
		}, 5, 30, 0},
		{"the store has newer records each time", func(_ *testing.T, w *harness) { w.crashWith7(0, 1, 2) }, time.Minute, func(w *harness, at wick.Instant) {
			putDone{key: keyProofs}.apply(w.state, at)
			w.read(at, wick.TopicDaemons)
		}, 5, 30, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newHarness(t, true)
			w.start(t)
			test.do(t, w)
			for at := wick.Instant(3 * time.Second); at < wick.Instant(test.until); at += wick.Instant(time.Second) {
				w.tick(at)
				if w.memos.pending != "" {
					test.done(w, at)
				}
			}
			writes, removals := 0, 0
			for _, v := range w.memoPuts(keyProofs) {
				if len(v) > 0 {
					writes++
				} else {
					removals++
				}
			}
			if writes < test.least || writes > test.most || removals != test.removals {
				t.Errorf("%d writes and %d removals, want %d to %d and %d", writes, removals, test.least, test.most, test.removals)
			}
		})
	}
}
