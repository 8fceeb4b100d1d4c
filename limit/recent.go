package limit

import (
	"slices"
	"time"

	"currantwick"
)

// RecentViews remembers recently open views. No member of a closed view starts
// loads, but loads that its members started may still be in flight, so budgets
// and static shares have to account for them for a while.
type RecentViews struct {
	holdTime time.Duration
	views    []recentView
}

type recentView struct {
	view wick.View
	// open is when the view was last reported as open.
	open wick.Instant
}

// NewRecentViews returns a RecentViews that keeps views for as long as a load
// of the store may be in flight without a report.
func NewRecentViews(cfg StoreConfig) *RecentViews {
	return &RecentViews{holdTime: cfg.withDefaults().holdTime()}
}

// Update records the views that are open now and returns all recently open views,
// the oldest first.
func (r *RecentViews) Update(now wick.Instant, open []wick.View) []wick.View {
	for _, v := range open {
		i := slices.IndexFunc(r.views, func(s recentView) bool { return s.view.Number == v.Number })
		if i < 0 {
			r.views = append(r.views, recentView{view: v})
			i = len(r.views) - 1
		}
		r.views[i].open = now
	}
	r.views = slices.DeleteFunc(r.views, func(s recentView) bool { return now.Sub(s.open) >= r.holdTime })
	out := make([]wick.View, 0, len(r.views))
	for _, s := range r.views {
		out = append(out, s.view)
	}
	return out
}
