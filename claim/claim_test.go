package claim

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"currantwick"
)

// fault is a fault planted into the rules, to show that the model detects it.
type fault int

const (
	noFault          fault = iota
	dispatchOnAppend       // dispatch once the claim is appended, without reading it back
	lateGrant              // dispatch a claim that is read back after its attempt was refused
	staleCheckpoint        // use a checkpoint without the records after it
	releaseTwice           // release a lost claim when a copy of its step is read
	forgetAnswers          // release answered claims
	noTimeout              // dispatch a claim however late it is read
)

const (
	life    = 20 * time.Second
	timeout = time.Second
)

// model simulates several trackers that share a log, in steps of random length.
type model struct {
	fault     fault
	rand      *rand.Rand
	now       time.Duration
	log       []wick.Entry
	oldest    int
	failUntil time.Duration // until when appends fail
	calls     []call
	daemon    []*daemon
	serial    int
	// lastRun holds the time at which a key was last dispatched.
	lastRun   map[wick.ClaimKey]time.Duration
	ops       []porcupine.Operation
	violation string
	// refused counts the refusals by code and outcome, runs the dispatches, and
	// checkpointsUsed the checkpoints that a daemon applied to skip trimmed
	// entries.
	refused               map[wick.Code]int
	runs, checkpointsUsed int
}

// call is an append in transit.
type call struct {
	from *daemon
	at   time.Duration
	rec  wick.Record
}

type daemon struct {
	index        int
	dead         bool
	tracker      *Tracker
	born         time.Duration
	madeAt       map[attemptID]int64 // when open attempts were made
	stalledUntil time.Duration       // until when it reads nothing
	// refused are the attempts that were refused.
	refused map[attemptID]bool
}

func (d *daemon) local(t time.Duration) wick.Instant { return wick.Instant(t - d.born) }

func newModel(seed uint64, p fault) *model {
	m := &model{now: time.Second, fault: p, rand: rand.New(rand.NewPCG(seed, 1)), lastRun: make(map[wick.ClaimKey]time.Duration), refused: make(map[wick.Code]int)}
	for i := range 3 {
		m.daemon = append(m.daemon, nil)
		m.start(i)
	}
	return m
}

func (m *model) start(i int) {
	if m.daemon[i] != nil {
		m.daemon[i].dead = true
	}
	m.serial++
	wait := timeout
	if m.fault == noTimeout {
		wait = time.Hour
	}
	m.daemon[i] = &daemon{index: i, born: m.now, madeAt: make(map[attemptID]int64), refused: make(map[attemptID]bool), tracker: New(Config{
		Self: wick.HostName(fmt.Sprint("h", i)), Incarnation: wick.Incarnation(m.serial),
		Life: life, Timeout: wait, Checkpoint: 2 * time.Second, MaxSteps: 2,
	})}
	m.daemon[i].tracker.SetWriter(i == 0)
}

// step simulates one random event.
func (m *model) step() {
	m.now += time.Duration(m.rand.IntN(20)) * time.Millisecond
	d := m.daemon[m.rand.IntN(len(m.daemon))]
	now := d.local(m.now)
	switch m.rand.IntN(200) {
	case 0:
		m.start(d.index)
	case 1:
		m.failUntil = m.now + time.Duration(m.rand.IntN(3000))*time.Millisecond
	case 2:
		d.stalledUntil = m.now + time.Duration(m.rand.IntN(3000))*time.Millisecond
		if m.rand.IntN(4) == 0 {
			d.stalledUntil += life
		}
	case 3:
		m.trim()
	case 4, 5, 6, 7, 8, 9, 10, 11, 12, 13:
		m.want(d, wick.ClaimKey(fmt.Sprint("k", int(m.now/time.Second)-m.rand.IntN(30))))
	default:
		m.do(d, d.tracker.Tick(now))
	}
	m.completeAppends()
	m.read(d)
}

// trim drops old records, as far as a checkpoint allows.
func (m *model) trim() {
	for i := len(m.log) - 30; i >= m.oldest; i-- {
		if st := m.log[i].Record.ClaimState; st != nil && m.checkpointComplete(*st) {
			m.oldest = max(m.oldest, int(st.AsOf)-m.rand.IntN(5))
			return
		}
	}
}

// checkpointComplete reports whether all parts of a checkpoint are on the log.
func (m *model) checkpointComplete(st wick.ClaimState) bool {
	parts := make(map[int]bool)
	for _, e := range m.log[st.AsOf:] {
		if o := e.Record.ClaimState; o != nil && o.AsOf == st.AsOf && o.Incarnation == st.Incarnation {
			parts[o.Part] = true
		}
	}
	return len(parts) == st.Parts
}

func (m *model) want(d *daemon, key wick.ClaimKey) {
	m.serial++
	id := attemptID{key, wick.RequestID(fmt.Sprint("r", m.serial))}
	d.madeAt[id] = int64(m.now)
	m.do(d, d.tracker.Acquire(d.local(m.now), wick.Claim{Key: id.key, Request: id.request, Fingerprint: 1}))
}

// completeAppends appends due records to the log, some twice, some with a lost
// response.
func (m *model) completeAppends() {
	calls := m.calls
	m.calls = nil
	for _, c := range calls {
		if m.now < c.at {
			m.calls = append(m.calls, c)
			continue
		}
		fails := m.now < m.failUntil
		if !fails || m.rand.IntN(3) == 0 {
			m.log = append(m.log, wick.Entry{
				Offset: wick.Offset(len(m.log) + 1), Time: 1e12 + m.now.Milliseconds(), Record: c.rec,
			})
			if m.rand.IntN(10) == 0 {
				m.calls = append(m.calls, call{c.from, m.now + time.Duration(m.rand.IntN(5000))*time.Millisecond, c.rec})
			}
			if m.fault == dispatchOnAppend && c.rec.Claims != nil && !c.from.dead {
				for _, s := range c.rec.Claims.Steps {
					m.dispatch(s.Key)
				}
			}
		}
		if fails && !c.from.dead {
			c.from.tracker.OnAppendFailed(c.from.local(m.now), c.rec)
		}
	}
}

func (m *model) read(d *daemon) {
	if m.now < d.stalledUntil {
		return
	}
	for i := max(int(d.tracker.Offset())-1, m.oldest); i < len(m.log); i++ {
		e := m.log[i]
		if m.fault == staleCheckpoint && e.Record.ClaimState != nil {
			for i := range d.tracker.ledger.unapplied {
				d.tracker.ledger.unapplied[i].Bad = d.tracker.ledger.unapplied[i].Record.ClaimState == nil
			}
		}
		if m.fault == releaseTwice && e.Record.Claims != nil {
			for _, c := range e.Record.Claims.Steps {
				if d.tracker.attempts[attemptIDOf(c)] == nil && c.Incarnation == d.tracker.cfg.Incarnation && c.Step == wick.ClaimTaken {
					m.do(d, d.tracker.releaseUnwanted(d.local(m.now), c))
				}
			}
		}
		unapplied := len(d.tracker.ledger.unapplied)
		m.do(d, d.tracker.OnEntry(d.local(m.now), e))
		if unapplied > 0 && len(d.tracker.ledger.unapplied) == 0 {
			m.checkpointsUsed++
		}
	}
}

func (m *model) do(d *daemon, acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case Append:
			if err := a.Record.Check(); err != nil {
				m.violation = err.Error()
			}
			m.calls = append(m.calls, call{d, m.now + time.Duration(5+m.rand.IntN(50))*time.Millisecond, a.Record})
			if m.fault == lateGrant && a.Record.Claims != nil {
				for _, s := range a.Record.Claims.Steps {
					if s.Step == wick.ClaimReleased && d.refused[attemptIDOf(s)] {
						m.dispatch(s.Key)
					}
				}
			}
		case Granted:
			m.grant(d, attemptID{a.Key, a.Request})
		case Refused:
			id := attemptID{a.Key, a.Request}
			d.refused[id] = true
			m.refused[a.Err.Code+wick.Code(a.Err.Outcome)]++
			m.record(d, id, output{err: a.Err})
		}
	}
}

// grant dispatches a granted command or gives it up.
func (m *model) grant(d *daemon, id attemptID) {
	if d.madeAt[id] == 0 {
		m.violation = fmt.Sprintf("%v was granted twice, or was not requested", id)
		return
	}
	m.record(d, id, output{granted: true})
	now := d.local(m.now)
	kind := m.rand.IntN(4)
	if kind == 0 {
		d.madeAt[id] = int64(m.now)
		m.do(d, d.tracker.Release(now, id.key, id.request))
		m.record(d, id, output{released: true})
		return
	}
	m.dispatch(id.key)
	if kind == 1 || m.fault == releaseTwice {
		d.tracker.MarkLost(id.key, id.request)
		return
	}
	if m.fault == forgetAnswers {
		m.do(d, d.tracker.Release(now, id.key, id.request))
		return
	}
	m.do(d, d.tracker.MarkAnswered(now, id.key, id.request))
}

func (m *model) dispatch(key wick.ClaimKey) {
	if last, ok := m.lastRun[key]; ok && m.now-last < life/2 {
		m.violation = cmp.Or(m.violation, fmt.Sprintf("%s ran at %v and at %v", key, last, m.now))
	}
	m.lastRun[key] = m.now
	m.runs++
}

// output is the result of an attempt, for the history.
type output struct {
	granted, released bool
	err               *wick.Error
}

func (m *model) record(d *daemon, id attemptID, out output) {
	m.ops = append(m.ops, porcupine.Operation{
		ClientId: len(m.ops), Input: id, Call: d.madeAt[id], Output: out, Return: int64(m.now) + 1,
	})
	delete(d.madeAt, id)
}

// sequential specifies the behaviour of one key whose claims do not expire.
var sequential = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		keys := make(map[wick.ClaimKey][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(attemptID).key
			keys[key] = append(keys[key], op)
		}
		out := make([][]porcupine.Operation, 0, len(keys))
		for _, ops := range keys {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return wick.RequestID("") },
	Step: func(state, input, out any) (bool, any) {
		held, t, o := state.(wick.RequestID), input.(attemptID), out.(output)
		switch {
		case o.granted:
			return held == "", t.request
		case o.released:
			return held == t.request, wick.RequestID("")
		}
		// A claim that the daemon gave up holds the key for a moment, so only
		// a refusal that reports the command as answered is checked.
		return o.err.Outcome != wick.Answered || held != "", held
	},
}

func (m *model) run(steps int) string {
	for range steps {
		if m.step(); m.violation != "" {
			return m.violation
		}
	}
	m.failUntil = 0
	for range 400 {
		m.now += 10 * time.Millisecond
		for _, d := range m.daemon {
			d.stalledUntil = 0
			m.do(d, d.tracker.Tick(d.local(m.now)))
			m.completeAppends()
			m.read(d)
		}
	}
	return cmp.Or(m.violation, m.difference())
}

// difference describes how the states of two daemons differ after all entries
// were read.
func (m *model) difference() string {
	first := m.daemon[0].tracker
	for _, d := range m.daemon[1:] {
		a, b := first.ledger, d.tracker.ledger
		if a.applied != b.applied || a.clock != b.clock {
			return fmt.Sprintf("daemons read up to %d and %d", a.applied, b.applied)
		}
		live := func(l ledger) map[wick.ClaimKey]heldKey {
			out := maps.Clone(l.keys)
			maps.DeleteFunc(out, func(_ wick.ClaimKey, e heldKey) bool { return l.clock >= e.expires() })
			return out
		}
		if !reflect.DeepEqual(live(a), live(b)) {
			return fmt.Sprintf("daemons hold keys %v and %v", live(a), live(b))
		}
	}
	return ""
}

func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"), noFault)
		if text := m.run(rapid.IntRange(0, 3000).Draw(t, "steps")); text != "" {
			t.Fatal(text)
		}
	})
}

// TestHistory checks the daemons' history against the sequential model.
func TestHistory(t *testing.T) {
	for seed := range max(*seeds, 20) {
		m := newModel(uint64(seed), noFault)
		if text := m.run(1000); text != "" {
			t.Fatal(text)
		}
		// A key that the tracker itself released shows no operation, as it was
		// never granted; claims expire only after the history.
		if !porcupine.CheckOperations(sequential, m.ops) {
			t.Errorf("seed %d: history of %d operations is not linearizable", seed, len(m.ops))
		}
		t.Logf("seed %d: %d operations, %d ran, %d checkpoints used, refused %v", seed, len(m.ops), m.runs, m.checkpointsUsed, m.refused)
	}
}

var seeds = flag.Int("seeds", 0, "number of seeds; 0 means 20 for TestHistory, and for TestPlantedFaults up to 1000 until one shows the fault")

// TestPlantedFaults shows that the model detects a fault when a rule is broken.
func TestPlantedFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault fault
	}{
		{"dispatched once appended", dispatchOnAppend},
		{"claims read back after a refusal dispatched", lateGrant},
		{"checkpoint without the records after it", staleCheckpoint},
		{"dispatched claim released by a copy of its step", releaseTwice},
		{"answered claims released", forgetAnswers},
		{"claim dispatched however late it was read", noTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			count, tried, first := 0, 0, ""
			for (count == 0 || tried < *seeds) && tried < max(*seeds, 1000) {
				text := newModel(uint64(tried), test.fault).run(5000)
				tried++
				if text != "" {
					count++
					first = cmp.Or(first, text)
				}
			}
			t.Logf("%d of %d seeds showed the fault; %s", count, tried, first)
			if count == 0 {
				t.Error("the model did not detect the planted fault")
			}
		})
	}
}
