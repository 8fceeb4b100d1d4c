package ctrl

import (
	"slices"
	"time"

	"currantwick"
	"currantwick/config"
)

// entriesTTL is how long callers may cache a list of entry points.
const entriesTTL = 5 * time.Second

// maxEntries bounds the entry points in one list.
const maxEntries = 16

// Snapshot is an immutable view of the control state for traffic goroutines.
type Snapshot struct {
	View   wick.View
	Config *config.Table
	// Offset is the offset of the last configuration record that Config
	// reflects.
	Offset wick.Offset
	Router wick.Router
	// Stale is set if the configuration is not known to be current; see
	// state.isCurrent.
	Stale bool
	// Refusing is set if the daemon accepts no new requests.
	Refusing bool
	// leaving are the hosts to which callers must not be directed.
	leaving map[wick.HostName]bool
}

// CheckAccepting returns nil if the daemon accepts new requests, or else why it
// does not.
func (s *Snapshot) CheckAccepting() *wick.Error {
	switch {
	case s.Refusing:
		return wick.NotRunf(wick.CodeStopping, "this entry is stopping")
	case s.Offset == 0:
		return wick.NotRunf(wick.CodeStale, "no configuration yet")
	case s.Stale:
		return wick.NotRunf(wick.CodeStale, "this entry is cut off and its configuration may be old")
	}
	return nil
}

// Entries returns the entry points that callers should use, those in their
// failure domain first. The selection and its order are random, so that callers
// spread over the entry points; draw returns a number in [0, n).
func (s *Snapshot) Entries(near wick.Domain, draw func(n int) int) wick.EntryList {
	list := wick.EntryList{Keep: wick.Duration(entriesTTL)}
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
		return domainRank(a, near) - domainRank(b, near)
	})
	list.Entries = sample(list.Entries)
	return list
}

// sample truncates a list that is too long. Half of the result is the head of
// the list, the other half its tail, which holds the other failure domains.
func sample(list []wick.EntryPoint) []wick.EntryPoint {
	if len(list) <= maxEntries {
		return list
	}
	head := list[:maxEntries/2]
	tail := list[len(list)-maxEntries/2:]
	return append(slices.Clone(head), tail...)
}

func domainRank(e wick.EntryPoint, near wick.Domain) int {
	if e.Domain == near {
		return 0
	}
	return 1
}
