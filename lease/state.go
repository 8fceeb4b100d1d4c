package lease

import (
	"slices"
	"time"

	"currantwick"
)

// streamReader builds a state by applying the records of the view stream. The
// result depends only on the records and their order, so all daemons reach the
// same one.
type streamReader struct {
	// state is complete up to state.AsOf.
	state wick.ViewState
	// pending holds consecutive entries that follow a gap after state, until a
	// checkpoint or a peer's state covers the gap.
	pending []wick.Entry
	// checkpointTime is the platform's time, in Unix milliseconds, of the
	// newest checkpoint, or of the first entry if there was none.
	checkpointTime int64
	// newest is the platform's time of the newest entry, read at newestSeenAt.
	newest       int64
	newestSeenAt wick.Instant
}

// next returns the first offset that is still to be read.
func (r *streamReader) next() wick.Offset {
	if n := len(r.pending); n > 0 {
		return r.pending[n-1].Offset + 1
	}
	return r.state.AsOf + 1
}

// read applies an entry, or keeps it in pending. It reports whether the state
// may have changed.
func (r *streamReader) read(now wick.Instant, e wick.Entry) bool {
	if e.Offset < r.next() {
		return false
	}
	if e.Time >= r.newest {
		r.newest, r.newestSeenAt = e.Time, now
	}
	if r.checkpointTime == 0 || !e.Bad && e.Record.ViewState != nil {
		r.checkpointTime = e.Time
	}
	if len(r.pending) == 0 && e.Offset == r.state.AsOf+1 {
		r.apply(e)
		return true
	}
	if e.Offset != r.next() {
		r.pending = nil // The entries before were lost to the log's retention.
	}
	r.pending = append(r.pending, e)
	if e.Bad || e.Record.ViewState == nil {
		return false
	}
	return r.adoptState(*e.Record.ViewState)
}

// adoptState replaces the state by a newer one, and applies the pending entries
// that it does not include.
func (r *streamReader) adoptState(st wick.ViewState) bool {
	if st.AsOf <= r.state.AsOf {
		return false
	}
	if len(r.pending) > 0 && st.AsOf+1 < r.pending[0].Offset {
		return false // A hole would remain.
	}
	r.replay(st)
	return true
}

// replay replaces the state, and applies the later pending entries.
func (r *streamReader) replay(st wick.ViewState) {
	pending := r.pending
	r.state, r.pending = st, nil
	for _, e := range pending {
		if e.Offset > st.AsOf {
			r.apply(e)
		}
	}
}

// restart starts over at the oldest pending entry if no checkpoint was written
// for limit: all daemons that knew the entries before must have ended, since a
// running one would have written a checkpoint.
func (r *streamReader) restart(now wick.Instant, limit time.Duration) bool {
	if r.state.AsOf > 0 || len(r.pending) == 0 {
		return false
	}
	span := time.Duration(r.newest-r.pending[0].Time)*time.Millisecond + now.Sub(r.newestSeenAt)
	if span < limit {
		return false
	}
	r.replay(wick.ViewState{AsOf: r.pending[0].Offset - 1})
	return true
}

// apply applies the next entry.
func (r *streamReader) apply(e wick.Entry) {
	st := &r.state
	st.AsOf = e.Offset
	switch c := e.Record; {
	case e.Bad:
	case c.ViewChange != nil:
		r.applyChange(e.Offset, *c.ViewChange)
	case c.ViewClosed != nil:
		st.Open = slices.DeleteFunc(slices.Clone(st.Open), func(v wick.View) bool {
			return v.Number <= c.ViewClosed.View
		})
	}
}

func (r *streamReader) applyChange(at wick.Offset, c wick.ViewChange) {
	st := &r.state
	if c.Base != st.View.Number {
		return
	}
	if st.View.Number != 0 {
		st.Open = append(slices.Clip(st.Open), st.View)
	}
	st.View = wick.View{Number: wick.ViewNumber(at), Members: c.Members, Terms: c.Terms}
}

// checkpointAge returns a lower bound on the age of the newest checkpoint, by the
// platform's clock.
func (r *streamReader) checkpointAge(now wick.Instant) time.Duration {
	return time.Duration(r.newest-r.checkpointTime)*time.Millisecond + now.Sub(r.newestSeenAt)
}
