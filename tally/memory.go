package tally

import (
	"sync/atomic"

	"currantwick"
)

// Memory is a memory budget of fixed size. It is safe for concurrent use.
type Memory struct {
	size  int64
	taken atomic.Int64
}

var _ wick.MemoryBudget = (*Memory)(nil)

// NewMemory returns a budget of the given size.
func NewMemory(size wick.Bytes) *Memory { return &Memory{size: int64(size)} }

// Take implements wick.MemoryBudget.
func (m *Memory) Take(n wick.Bytes) bool { return m.take(int64(n), 0) }

func (m *Memory) take(n, leave int64) bool {
	for {
		taken := m.taken.Load()
		if n > m.size-leave-taken { // A sum with n could overflow.
			return false
		}
		if m.taken.CompareAndSwap(taken, taken+n) {
			return true
		}
	}
}

// Give implements wick.MemoryBudget.
func (m *Memory) Give(n wick.Bytes) { m.taken.Add(-int64(n)) }

// Taken returns how much is taken.
func (m *Memory) Taken() wick.Bytes { return wick.Bytes(m.taken.Load()) }

// Leaving returns a view of the budget that takes nothing of its last bytes, which are
// left to uses that matter more.
func (m *Memory) Leaving(n wick.Bytes) wick.MemoryBudget { return &memoryPart{m, int64(n)} }

// memoryPart is a view of a budget.
type memoryPart struct {
	*Memory
	leave int64
}

// Take implements wick.MemoryBudget.
func (p *memoryPart) Take(n wick.Bytes) bool { return p.take(int64(n), p.leave) }
