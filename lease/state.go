package lease

import (
	"slices"
	"time"

	"currantwick"
)

// reader folds the view stream into a state. All daemons judge alike, since
// the fold looks at nothing but the records and their order.
type reader struct {
	// state is complete up to state.AsOf.
	state wick.ViewState
	// gap holds entries that follow on each other but not on state, until a
	// checkpoint or a peer's state bridges the gap.
	gap []wick.Entry
	// stamped is the platform's time, in Unix milliseconds, of the newest
	// checkpoint, or of the first record.
	stamped int64
	// newest is the platform's time of the newest entry, seen at seen.
	newest int64
	seen   wick.Instant
}

// next returns the first offset that is still to be read.
func (r *reader) next() wick.Offset {
	if n := len(r.gap); n > 0 {
		return r.gap[n-1].Offset + 1
	}
	return r.state.AsOf + 1
}

// read takes an entry. It reports whether the state may have changed.
func (r *reader) read(now wick.Instant, e wick.Entry) bool {
	if e.Offset < r.next() {
		return false
	}
	if e.Time >= r.newest {
		r.newest, r.seen = e.Time, now
	}
	if r.stamped == 0 || !e.Bad && e.Record.ViewState != nil {
		r.stamped = e.Time
	}
	if len(r.gap) == 0 && e.Offset == r.state.AsOf+1 {
		r.apply(e)
		return true
	}
	if e.Offset != r.next() {
		r.gap = nil // The entries before were lost to the log's retention.
	}
	r.gap = append(r.gap, e)
	if e.Bad || e.Record.ViewState == nil {
		return false
	}
	return r.load(*e.Record.ViewState)
}

// load takes over a state that is newer than the own one, and replays what it
// does not include.
func (r *reader) load(st wick.ViewState) bool {
	if st.AsOf <= r.state.AsOf {
		return false
	}
	if len(r.gap) > 0 && st.AsOf+1 < r.gap[0].Offset {
		return false // A hole would remain.
	}
	r.replay(st)
	return true
}

// replay takes over a state, and applies what the gap holds after it.
func (r *reader) replay(st wick.ViewState) {
	gap := r.gap
	r.state, r.gap = st, nil
	for _, e := range gap {
		if e.Offset > st.AsOf {
			r.apply(e)
		}
	}
}

// restart begins anew at the oldest entry, if nobody wrote a checkpoint for so
// long that all who knew the entries before must have ended.
func (r *reader) restart(now wick.Instant, limit time.Duration) bool {
	if r.state.AsOf > 0 || len(r.gap) == 0 {
		return false
	}
	span := time.Duration(r.newest-r.gap[0].Time)*time.Millisecond + now.Sub(r.seen)
	if span < limit {
		return false
	}
	r.replay(wick.ViewState{AsOf: r.gap[0].Offset - 1})
	return true
}

// apply judges the next entry.
func (r *reader) apply(e wick.Entry) {
	st := &r.state
	st.AsOf = e.Offset
	switch c := e.Record; {
	case e.Bad:
	case c.ViewChange != nil:
		r.change(e.Offset, *c.ViewChange)
	case c.ViewClosed != nil:
		st.Open = slices.DeleteFunc(slices.Clone(st.Open), func(v wick.View) bool {
			return v.Number <= c.ViewClosed.View
		})
	}
}

func (r *reader) change(at wick.Offset, c wick.ViewChange) {
	st := &r.state
	if c.Base != st.View.Number {
		return
	}
	if st.View.Number != 0 {
		st.Open = append(slices.Clip(st.Open), st.View)
	}
	st.View = wick.View{Number: wick.ViewNumber(at), Members: c.Members, Terms: c.Terms}
}

// age is how old the newest checkpoint is at least, by the platform's clock.
func (r *reader) age(now wick.Instant) time.Duration {
	return time.Duration(r.newest-r.stamped)*time.Millisecond + now.Sub(r.seen)
}
