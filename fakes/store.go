package fakes

import (
	"context"
	"fmt"
	"sync"
	"time"

	"currantwick"
	"currantwick/pause"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// StoreConfig configures a Store.
type StoreConfig struct {
	// Address is where the store listens; empty for none.
	Address wick.Address `json:"Address,omitempty"`
	// Rate is how many loads may start per second; 0 for no limit.
	Rate wick.PerSecond `json:"Rate"`
	// FullSpeed is the burst of the rate limit: the number of loads that may
	// start at once; at least 1.
	FullSpeed wick.Slots `json:"FullSpeed"`
	// Knee is the number of loads in flight beyond which each takes
	// proportionally longer; at least 1.
	Knee wick.Slots `json:"Knee"`
	// LoadTime is the duration of a load up to the knee.
	LoadTime wick.Duration `json:"LoadTime"`
}

// StoreStats holds the counters of a store.
type StoreStats struct {
	// Starts counts loads, and Waited those that the rate limit delayed.
	Starts int `json:"Starts"`
	Waited int `json:"Waited"`
	// Peak is the largest number of loads in flight at once, delayed ones
	// included.
	Peak wick.Slots `json:"Peak"`
	// OverKnee is the total time with more loads in flight than Knee.
	OverKnee wick.Duration `json:"OverKnee"`
	// OverFull is the total time with more loads in flight than FullSpeed.
	OverFull wick.Duration `json:"OverFull"`
}

// Store is a fake of a weight store with a limited rate.
type Store struct {
	cfg    StoreConfig
	limit  *rate.Limiter
	server *server

	mu       sync.Mutex
	inFlight wick.Slots
	since    time.Time // of the last change of inFlight
	stats    StoreStats
}

// StartStore starts a store; it listens only if it has an address.
func StartStore(cfg StoreConfig) (*Store, error) {
	cfg.FullSpeed = max(cfg.FullSpeed, 1)
	cfg.Knee = max(cfg.Knee, 1)
	limit := rate.Inf
	if cfg.Rate > 0 {
		limit = rate.Limit(cfg.Rate)
	}
	s := &Store{cfg: cfg, limit: rate.NewLimiter(limit, int(cfg.FullSpeed))}
	if cfg.Address == "" {
		return s, nil
	}
	s.server = newServer(s.handle)
	if err := s.server.open(cfg.Address); err != nil {
		return nil, fmt.Errorf("weight store: %w", err)
	}
	return s, nil
}

// Address returns where the store listens, or "" if it doesn't.
func (s *Store) Address() wick.Address {
	if s.server == nil {
		return ""
	}
	return s.server.Address()
}

// Close stops the store.
func (s *Store) Close() error {
	if s.server == nil {
		return nil
	}
	return s.server.Close()
}

// Load simulates a read of weights: it waits as long as the limits demand.
func (s *Store) Load(ctx context.Context) error {
	d := s.adjustInFlight(1)
	defer s.adjustInFlight(-1)
	r := s.limit.Reserve()
	if wait := r.Delay(); wait > 0 {
		s.mu.Lock()
		s.stats.Waited++
		s.mu.Unlock()
		d += wait
	}
	if !pause.For(ctx, d) {
		return fmt.Errorf("load: %w", ctx.Err())
	}
	return nil
}

// adjustInFlight adds n to the number of loads in flight, and returns the
// duration of a load that starts now.
func (s *Store) adjustInFlight(n wick.Slots) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addElapsed()
	s.inFlight += n
	if n > 0 {
		s.stats.Starts++
	}
	s.stats.Peak = max(s.stats.Peak, s.inFlight)
	slow := max(1, float64(s.inFlight)/float64(s.cfg.Knee))
	return time.Duration(slow * float64(s.cfg.LoadTime))
}

// addElapsed adds the time since the last change to OverKnee and OverFull; s.mu
// is held.
func (s *Store) addElapsed() {
	now := time.Now()
	spent := wick.Duration(now.Sub(s.since))
	s.since = now
	if s.inFlight > s.cfg.Knee {
		s.stats.OverKnee += spent
	}
	if s.inFlight > s.cfg.FullSpeed {
		s.stats.OverFull += spent
	}
}

// Stats returns a copy of the store's counters.
func (s *Store) Stats() StoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addElapsed()
	return s.stats
}

func (s *Store) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/load":
		if err := s.Load(ctx); err != nil {
			refuse(ctx, fasthttp.StatusServiceUnavailable, "%v", err)
		}
	case "/stats":
		reply(ctx, s.Stats())
	default:
		refuse(ctx, fasthttp.StatusNotFound, "no such path")
	}
}
