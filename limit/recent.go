package limit

import (
	"slices"
	"time"

	"currantwick"
)

// Recent remembers the views that were open lately. A view that is closed has no
// member left that starts a load, but loads that its members started may still
// be in flight; so for a while budgets and static shares have to count them.
type Recent struct {
	hold time.Duration
	list []recentView
}

type recentView struct {
	view wick.View
	// open is when the view was last noted.
	open wick.Instant
}

// NewRecent returns a memory that is as long as a load of a store may be in
// flight without a word.
func NewRecent(cfg StoreConfig) *Recent {
	return &Recent{hold: cfg.withDefaults().hold()}
}

// Note takes in the views that are open now and returns them with those that
// were open lately, the oldest first.
func (r *Recent) Note(now wick.Instant, open []wick.View) []wick.View {
	for _, v := range open {
		i := slices.IndexFunc(r.list, func(s recentView) bool { return s.view.Number == v.Number })
		if i < 0 {
			r.list = append(r.list, recentView{view: v})
			i = len(r.list) - 1
		}
		r.list[i].open = now
	}
	r.list = slices.DeleteFunc(r.list, func(s recentView) bool { return now.Sub(s.open) >= r.hold })
	out := make([]wick.View, 0, len(r.list))
	for _, s := range r.list {
		out = append(out, s.view)
	}
	return out
}
