package pause

import (
	"math/rand/v2"
	"time"
)

// Backoff yields growing pauses between attempts at something that keeps failing.
// Each pause is extended by up to half at random, so that many processes that fail
// together do not try again together.
type Backoff struct {
	// Least is the first pause, which doubles up to Most; both without the random
	// part, and positive.
	Least, Most time.Duration
	last        time.Duration
}

// Next returns the pause after one more failure.
func (b *Backoff) Next() time.Duration {
	b.last = min(max(2*b.last, b.Least), b.Most)
	return b.last + rand.N(b.last/2)
}

// Reset starts again with the least pause.
func (b *Backoff) Reset() { b.last = 0 }
