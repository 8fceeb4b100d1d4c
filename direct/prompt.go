package direct

import (
	"encoding/binary"
	"sync"
	"time"

	"currantwick"
	"currantwick/choose"

	"github.com/cespare/xxhash/v2"
)

const (
	// minReportedPrefix is the length of a prompt prefix, in tokens, from which
	// daemons report to one another which endpoint has it cached: prefilling it
	// again takes tens of milliseconds.
	minReportedPrefix = 1000
	// rateWeight is the weight of one observation in the average prefill rate.
	rateWeight = 0.05
	// minRateTokens is the minimum number of tokens in an observation: for
	// shorter prompts other delays are as long as the prefill.
	minRateTokens = 2000
	// minRate and maxRate bound the observed rate, in tokens per millisecond.
	minRate, maxRate = 5, 100
)

// sharedPrefixes returns the prompt prefixes that other requests may share. The
// whole prompt is left out, since its last part belongs to this request alone.
func sharedPrefixes(w wick.Weights, parts []wick.PromptPart) []wick.PromptPrefix {
	if len(parts) < 2 {
		return nil
	}
	list := make([]wick.PromptPrefix, 0, len(parts)-1)
	chain, sum := xxhash.Sum64String(w.String()), wick.Tokens(0)
	for _, p := range parts[:len(parts)-1] {
		buf := binary.BigEndian.AppendUint64(nil, chain)
		chain = xxhash.Sum64(append(buf, p.ID...))
		sum += p.Tokens
		list = append(list, wick.PromptPrefix{PrefixID: wick.PrefixID(chain), Tokens: sum})
	}
	return list
}

// prefillRates estimates the prefill rate of each pool's engines, in prompt
// tokens per millisecond. The zero value is ready to use.
type prefillRates struct {
	mu   sync.Mutex
	pool map[wick.PoolName]float64
}

func (r *prefillRates) average(p wick.PoolName) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rate, ok := r.pool[p]; ok {
		return rate
	}
	return choose.DefaultPrefillRate
}

// observe records that n prompt tokens were prefilled in the given time.
func (r *prefillRates) observe(p wick.PoolName, n wick.Tokens, took time.Duration) {
	if n < minRateTokens || took <= 0 {
		return
	}
	seen := min(max(float64(n)/float64(took.Milliseconds()+1), minRate), maxRate)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pool == nil {
		r.pool = make(map[wick.PoolName]float64)
	}
	old, ok := r.pool[p]
	if !ok {
		old = choose.DefaultPrefillRate
	}
	r.pool[p] = old + rateWeight*(seen-old)
}

// recordPrefill records that an endpoint has prefilled the request's prompt.
func (t *task) recordPrefill(to target, took time.Duration) {
	meter := to.runner.Meter
	if len(t.sharedPrefixes) > 0 {
		t.server.prefillRates.observe(t.pool, t.exchange.PromptTokens-meter.CachedTokens(t.sharedPrefixes), took)
	}
	for _, b := range t.sharedPrefixes {
		if meter.AddPrefix(b.PrefixID) && b.Tokens >= minReportedPrefix {
			t.server.cfg.Control.ReportCachedPrefix(wick.CachedPrefix{Endpoint: to.runner.Name, PrefixID: b.PrefixID})
		}
	}
}
