package tally

import (
	"context"
	"sync"
	"time"

	"currantwick"
	"currantwick/share"
)

// maxUnitsWait is how long a request waits for the holder's answer. An answer takes a few
// milliseconds between daemons that are not held up.
const maxUnitsWait = 80 * time.Millisecond

// SharesConfig sets up Shares.
type SharesConfig struct {
	Clock  wick.Clock
	Limits share.Config
	// Ask makes the control thread ask the holders for what requests wait for. It is
	// called at most once until Asks is.
	Ask func()
	// MaxWait is how long a request waits for the holder's answer; 0 for maxUnitsWait.
	MaxWait time.Duration
}

// Shares implements wick.TeamShares for traffic and wick.ShareSource for the control
// thread.
type Shares struct {
	cfg SharesConfig

	mu     sync.Mutex
	client *share.Client
	// asked is set from a call of Ask until the next Asks.
	asked bool
}

var (
	_ wick.TeamShares  = (*Shares)(nil)
	_ wick.ShareSource = (*Shares)(nil)
)

// NewShares returns shares without units.
func NewShares(cfg SharesConfig) *Shares {
	if cfg.MaxWait == 0 {
		cfg.MaxWait = maxUnitsWait
	}
	return &Shares{cfg: cfg, client: share.NewClient(cfg.Clock.Now(), cfg.Limits)}
}

// Take implements wick.TeamShares.
func (s *Shares) Take(ctx context.Context, team wick.TeamName, allotment wick.Allotment, units wick.Units) wick.AllotmentVerdict {
	s.mu.Lock()
	verdict, waiter := s.client.Take(s.cfg.Clock.Now(), team, allotment, float64(units))
	signal := waiter != nil && !s.asked
	s.asked = s.asked || signal
	s.mu.Unlock()
	if waiter == nil {
		return verdict
	}
	if signal {
		s.cfg.Ask()
	}
	timer := time.NewTimer(s.cfg.MaxWait)
	defer timer.Stop()
	select {
	case <-waiter.Done:
		return waiter.Verdict
	case <-ctx.Done():
	case <-timer.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client.Cancel(s.cfg.Clock.Now(), team, waiter)
}

// Give implements wick.TeamShares.
func (s *Shares) Give(team wick.TeamName, units wick.Units, taken wick.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client.Give(s.cfg.Clock.Now(), team, float64(units), taken)
}

// State returns what the daemon has of each team.
func (s *Shares) State() []wick.TeamShareState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client.State(s.cfg.Clock.Now())
}

// SetDaemons implements wick.ShareSource.
func (s *Shares) SetDaemons(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client.SetDaemons(n)
}

// SetHolder implements wick.ShareSource.
func (s *Shares) SetHolder(now wick.Instant, shard wick.Shard, present bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client.SetHolder(now, shard, present)
}

// Asks implements wick.ShareSource.
func (s *Shares) Asks(now wick.Instant, shard wick.Shard, number uint64, urgent bool) []wick.AllotmentAsk {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = false
	return s.client.Asks(now, shard, number, urgent)
}

// Granted implements wick.ShareSource.
func (s *Shares) Granted(now wick.Instant, number uint64, grants []wick.AllotmentGrant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.client.Granted(now, number, grants)
}
