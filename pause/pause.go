// Package pause waits on the clock without outliving a context.
package pause

import (
	"context"
	"time"
)

// For waits for a time, or until ctx ends, and reports whether ctx still runs.
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
