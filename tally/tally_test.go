package tally

import (
	"testing"

	"golang.org/x/sync/errgroup"

	"currantwick"
)

// Concurrent calls of Start and Done add up, even if they create a chunk of
// counters at the same time.
func TestCounts(t *testing.T) {
	tests := []struct {
		index wick.EndpointIndex
		want  wick.Cost
	}{
		{0, 50}, {chunkSize, 50}, {chunkSize*maxChunks - 1, 50}, {chunkSize * maxChunks, 0}, {-1, 0},
	}
	for _, tt := range tests {
		var c Counts
		var g errgroup.Group
		for range 100 {
			g.Go(func() error {
				c.Start(tt.index, 1)
				c.Done(tt.index, 0.5)
				return nil
			})
		}
		_ = g.Wait()
		if got := c.Cost(tt.index); got != tt.want {
			t.Errorf("endpoint %d: %v, want %v", tt.index, got, tt.want)
		}
	}
}
