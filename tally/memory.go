package tally

import (
	"currantwick"

	"golang.org/x/sync/semaphore"
)

// Memory is a memory budget of fixed size. It is safe for concurrent use.
type Memory struct {
	left *semaphore.Weighted
}

var _ wick.MemoryBudget = (*Memory)(nil)

// NewMemory returns a budget of the given size.
func NewMemory(size wick.Bytes) *Memory { return &Memory{semaphore.NewWeighted(int64(size))} }

// Take implements wick.MemoryBudget.
func (m *Memory) Take(n wick.Bytes) bool { return m.left.TryAcquire(int64(n)) }

// Give implements wick.MemoryBudget.
func (m *Memory) Give(n wick.Bytes) { m.left.Release(int64(n)) }
