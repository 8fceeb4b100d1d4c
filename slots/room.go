package slots

import (
	"maps"
	"math"

	"currantwick"
)

// An endpoint that is ordered to load more than its slots or its memory hold crashes.
// Everything that may be there counts: what is loaded, what is on its way, what a lost
// order may load, what is being unloaded, and an old version beside its replacement.

// room is what an endpoint's adapters and models take.
type room struct {
	slots  wick.Slots
	memory wick.Megabytes
}

// taken returns the room that everything takes that the endpoint may hold.
func (l *Ledger) taken() room {
	var r room
	for m := range l.models {
		r.memory += l.engine.SizeOf(wick.Weights{Model: m})
	}
	for w, p := range l.placements {
		own := l.roomOf(w, p)
		r.slots, r.memory = r.slots+own.slots, r.memory+own.memory
	}
	return r
}

// leastTaken returns the room that is taken once all evictable adapters are unloaded.
func (l *Ledger) leastTaken(now wick.Instant) room {
	r := l.taken()
	for w, p := range l.placements {
		if p.evictable(now) {
			gone := l.roomOf(w, p)
			r.slots, r.memory = r.slots-gone.slots, r.memory-gone.memory
		}
	}
	return r
}

// roomOf returns the room of one placement. The old version of an adapter that is being
// replaced takes the same again.
func (l *Ledger) roomOf(w wick.Weights, p *Placement) room {
	size := l.engine.SizeOf(w)
	if p.replaced {
		return room{slots: 2, memory: 2 * size}
	}
	return room{slots: 1, memory: size}
}

// fitsBeside reports whether w can be loaded where that much room is taken.
func (l *Ledger) fitsBeside(w wick.Weights, taken room) bool {
	if w.Adapter != "" && taken.slots >= l.engine.AdapterSlots {
		return false
	}
	return l.engine.WeightMemory <= 0 || taken.memory+l.engine.SizeOf(w) <= l.engine.WeightMemory
}

// canHold reports whether the endpoint can hold w once other adapters are unloaded.
func (l *Ledger) canHold(w wick.Weights) bool { return l.engine.CanHold(maps.Keys(l.models), w) }

// free returns how many more adapters would fit where that much room is taken.
func (l *Ledger) free(taken room) int {
	n := int(l.engine.AdapterSlots - taken.slots)
	size := wick.Megabytes(0)
	for _, m := range l.engine.Models {
		size = max(size, m.AdapterSize)
	}
	if l.engine.WeightMemory <= 0 || size <= 0 {
		return n
	}
	// The bound keeps sizes that no engine has within the range of an int.
	most := float64(l.engine.AdapterSlots)
	byMemory := math.Floor(float64((l.engine.WeightMemory - taken.memory) / size))
	return min(n, int(min(max(byMemory, -most), most)))
}
