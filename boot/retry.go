package boot

import "sync"

const (
	// retryShare is how many retries each first try earns.
	retryShare = 0.1
	// retryBurst is how many retries may be saved up.
	retryBurst = 50
)

// retries implements wick.RetryBudget.
type retries struct {
	mu sync.Mutex
	// saved is how many retries may be made now; 0 to retryBurst.
	saved float64
}

func newRetries() *retries { return &retries{saved: retryBurst} }

// Earn implements wick.RetryBudget.
func (r *retries) Earn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saved = min(r.saved+retryShare, retryBurst)
}

// Spend implements wick.RetryBudget.
func (r *retries) Spend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.saved < 1 {
		return false
	}
	r.saved--
	return true
}
