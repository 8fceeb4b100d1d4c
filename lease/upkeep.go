package lease

import (
	"slices"
	"time"

	"currantwick"
)

// viewsKey is what the daemons are ranked by that close views and write
// checkpoints.
const viewsKey Key = "Views"

// closers is how many members stand by for that.
const closers = 3

// closer reports whether self is one of those who close views.
func (k *Keeper) closer() bool { return k.closerRank() < closers }

func (k *Keeper) closerRank() int {
	self := k.current.index(k.self)
	if i := slices.Index(k.current.ranked(viewsKey, closers), self); i >= 0 {
		return i
	}
	return closers
}

// close appends the closing of the earlier views in which nobody can act.
func (k *Keeper) close(now wick.Instant) []Action {
	var last wick.ViewNumber
	if !k.closer() {
		return nil
	}
	for _, v := range k.log.state.Open {
		if !k.allEnded(now, v) {
			break
		}
		last = v.Number
	}
	if last == 0 {
		return nil
	}
	if last != k.closable {
		k.closable, k.closableAt = last, now
	}
	due := k.closableAt.Add(time.Duration(k.closerRank()) * 2 * k.cfg.Renew)
	if now < max(due, k.closed) {
		return nil
	}
	k.closed = now.Add(appendPause)
	return []Action{Append{wick.Record{ViewClosed: &wick.ViewClosed{View: last, By: k.self.host}}}}
}

func (k *Keeper) allEnded(now wick.Instant, v wick.View) bool {
	for _, o := range v.Members {
		if !k.ended(now, v, o) {
			return false
		}
	}
	return true
}

// checkpoint appends the state when the newest checkpoint is old.
func (k *Keeper) checkpoint(now wick.Instant) []Action {
	if !k.closer() || k.View().Number == 0 || now < k.stamped {
		return nil
	}
	wait := k.cfg.Checkpoint * time.Duration(closers+k.closerRank()) / closers
	if k.log.age(now) < wait {
		return nil
	}
	k.stamped = now.Add(appendPause)
	st := k.State()
	return []Action{Append{wick.Record{ViewState: &st}}}
}
