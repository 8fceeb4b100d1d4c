package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"currantwick"
)

func TestRetryBudget(t *testing.T) {
	tests := []struct {
		name     string
		policy   wick.RetryPolicy
		attempts int // first attempts
		retries  int // wanted for each first attempt
		want     int
	}{
		{"all fail once", "", 1000, 1, 150},
		{"all fail three times", "", 1000, 3, 150},
		{"few attempts at the start", "", 20, 1, 20},
		{"unlimited", wick.RetryUnlimited, 1000, 3, 3000},
	}
	for _, tt := range tests {
		r, err := NewRetryBudget(RetryConfig{Policy: tt.policy})
		if err != nil {
			t.Fatal(err)
		}
		got := 0
		for range tt.attempts {
			r.Earn()
			for range tt.retries {
				if r.Spend() {
					got++
				}
			}
		}
		if got < tt.want-2 || got > tt.want {
			t.Errorf("%s: %d retries, want %d", tt.name, got, tt.want)
		}
	}
}

// The delay converges to the percentile, and hedges stay within their part of
// the requests even while everything is slow.
func TestHedges(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name       string
		policy     wick.HedgePolicy
		slow       float64 // the part of attempts that take 20 times longer
		delay      [2]time.Duration
		part       float64 // of requests that are hedged, at most
		hedgesSlow float64 // of slow attempts that are hedged, at least
	}{
		{"ordinary", "", 0, [2]time.Duration{12 * ms, 26 * ms}, 0.055, 0},
		{"few slow", "", 0.02, [2]time.Duration{12 * ms, 30 * ms}, 0.055, 0.5},
		{"many slow", "", 0.5, [2]time.Duration{200 * ms, 520 * ms}, 0.055, 0},
		{"median", "", 0.02, [2]time.Duration{10 * ms, 15 * ms}, 0.055, 0},
		{"none", wick.HedgeNone, 0.02, [2]time.Duration{}, 0, 0},
	}
	for _, tt := range tests {
		cfg := HedgeConfig{Policy: tt.policy}
		if tt.name == "median" {
			cfg.Percentile = 0.5
		}
		h, err := NewHedger(cfg)
		if err != nil {
			t.Fatal(err)
		}
		r := rand.New(rand.NewPCG(1, 2))
		hedges, slow, slowHedged := 0, 0, 0
		const n = 20000
		for range n {
			h.RequestStarted()
			took := time.Duration((5 + 15*r.Float64()) * float64(ms))
			late := r.Float64() < tt.slow
			if late {
				took *= 20
				slow++
			}
			if d, ok := h.Delay(); ok && took > d && h.TryHedge() {
				hedges++
				if late {
					slowHedged++
				}
			}
			h.ObserveLatency(took)
		}
		if d, _ := h.Delay(); d < tt.delay[0] || d > tt.delay[1] {
			t.Errorf("%s: delay %v, want %v", tt.name, d, tt.delay)
		}
		if part := float64(hedges) / n; part > tt.part {
			t.Errorf("%s: %.3f of requests hedged, want at most %.3f", tt.name, part, tt.part)
		}
		if part := float64(slowHedged) / max(float64(slow), 1); part < tt.hedgesSlow {
			t.Errorf("%s: %.2f of slow attempts hedged, want %.2f", tt.name, part, tt.hedgesSlow)
		}
	}
}

func TestSettingsAreChecked(t *testing.T) {
	for _, cfg := range []RetryConfig{{Policy: "x"}, {Ratio: 1}, {Burst: -1}} {
		if _, err := NewRetryBudget(cfg); err == nil {
			t.Errorf("%+v was accepted", cfg)
		}
	}
	for _, cfg := range []HedgeConfig{{Policy: "x"}, {Ratio: 1}, {Percentile: 2}, {MaxDelay: time.Millisecond}} {
		if _, err := NewHedger(cfg); err == nil {
			t.Errorf("%+v was accepted", cfg)
		}
	}
}
