package lease

import (
	"slices"
	"time"

	"currantwick"
)

// viewsKey is the key by which the daemons that close views and write checkpoints
// are ranked.
const viewsKey Key = "Views"

// viewClosers is the number of members that close views and write checkpoints;
// those of lower rank are standbys.
const viewClosers = 3

// closesViews reports whether self is one of the daemons that close views.
func (k *Keeper) closesViews() bool { return k.closingRank() < viewClosers }

func (k *Keeper) closingRank() int {
	self := k.current.index(k.self)
	if i := slices.Index(k.current.ranked(viewsKey, viewClosers), self); i >= 0 {
		return i
	}
	return viewClosers
}

// closeViews appends the closing of the earlier views in which no member can
// act any more.
func (k *Keeper) closeViews(now wick.Instant) []Action {
	var last wick.ViewNumber
	if !k.closesViews() {
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
	due := k.closableAt.Add(time.Duration(k.closingRank()) * 2 * k.cfg.Renew)
	if now < max(due, k.closeAfter) {
		return nil
	}
	k.closeAfter = now.Add(appendPause)
	return []Action{Append{wick.Record{ViewClosed: &wick.ViewClosed{View: last, By: k.self.host}}}}
}

func (k *Keeper) allEnded(now wick.Instant, v wick.View) bool {
	for _, o := range v.Members {
		if !k.leaseEnded(now, v, o) {
			return false
		}
	}
	return true
}

// checkpoint appends the state if the newest checkpoint is old.
func (k *Keeper) checkpoint(now wick.Instant) []Action {
	if !k.closesViews() || k.View().Number == 0 || now < k.checkpointAfter {
		return nil
	}
	wait := k.cfg.Checkpoint * time.Duration(viewClosers+k.closingRank()) / viewClosers
	if k.log.checkpointAge(now) < wait {
		return nil
	}
	k.checkpointAfter = now.Add(appendPause)
	st := k.State()
	return []Action{Append{wick.Record{ViewState: &st}}}
}
