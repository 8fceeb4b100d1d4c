// Package pause waits for a time or for the end of a context, and yields growing
// pauses between attempts.
package pause

import (
	"context"
	"time"
)

// For waits until d has passed or ctx ends, and reports whether ctx is still
// active.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
