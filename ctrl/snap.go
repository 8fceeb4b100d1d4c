package ctrl

import (
	"slices"
	"time"

	"currantwick"
	"currantwick/config"
)

// keepEntries is how long callers may keep an answer on the addresses to use.
const keepEntries = 5 * time.Second

// maxEntries bounds the addresses in one answer.
const maxEntries = 16

// Snapshot is the control state as traffic goroutines see it. It never
// changes.
type Snapshot struct {
	View   wick.View
	Config *config.Table
	// Offset is the newest offset of the configuration.
	Offset wick.Offset
	Router wick.Router
	// Stale tells that the configuration may be older than it ought to be.
	Stale bool
	// Stopping tells that the daemon takes no new requests.
	Stopping bool
	// leaving are hosts that no caller should turn to.
	leaving map[wick.HostName]bool
}

// Accepts returns why the daemon takes no new requests, or nil.
func (s *Snapshot) Accepts() *wick.Error {
	switch {
	case s.Stopping:
		return wick.NotRunf(wick.CodeStopping, "this entry is stopping")
	case s.Offset == 0:
		return wick.NotRunf(wick.CodeStale, "no configuration yet")
	case s.Stale:
		return wick.NotRunf(wick.CodeStale, "this entry is cut off and its configuration may be old")
	}
	return nil
}

// Entries returns addresses that callers should use, those in their own failure
// domain first. Which ones, and in which order, is drawn at random, so that
// callers spread over the entries; draw returns a number from 0 to below n.
func (s *Snapshot) Entries(near wick.Domain, draw func(n int) int) wick.EntryList {
	list := wick.EntryList{Keep: wick.Duration(keepEntries)}
	for _, m := range s.View.Members {
		if !s.leaving[m.Host] {
			list.Entries = append(list.Entries, wick.EntryPoint{Address: m.Entry, Host: m.Host, Domain: m.Domain})
		}
	}
	for i := len(list.Entries) - 1; i > 0; i-- {
		j := draw(i + 1)
		list.Entries[i], list.Entries[j] = list.Entries[j], list.Entries[i]
	}
	slices.SortStableFunc(list.Entries, func(a, b wick.EntryPoint) int {
		return rank(a, near) - rank(b, near)
	})
	list.Entries = sample(list.Entries)
	return list
}

// sample cuts a list that is too long. It keeps the first half of the sample,
// and fills the rest from behind, where the other failure domains are.
func sample(list []wick.EntryPoint) []wick.EntryPoint {
	if len(list) <= maxEntries {
		return list
	}
	head := list[:maxEntries/2]
	tail := list[len(list)-maxEntries/2:]
	return append(slices.Clone(head), tail...)
}

func rank(e wick.EntryPoint, near wick.Domain) int {
	if e.Domain == near {
		return 0
	}
	return 1
}
