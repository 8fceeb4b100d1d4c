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
	// longBegin is the length of a prompt's beginning, in tokens, from which
	// daemons tell one another where it is kept: reading it again takes tens of
	// milliseconds.
	longBegin = 1000
	// ratePart is the weight of one observation of how fast prompts are read.
	ratePart = 0.05
	// leastRead is the number of tokens from which an observation counts, since
	// other delays are as long as the reading of a shorter prompt.
	leastRead = 2000
	// leastRate and mostRate bound what is learned, in tokens a millisecond.
	leastRate, mostRate = 5, 100
)

// begins returns the beginnings of a prompt that other requests may share: all
// but the whole, since the last part is the request's own.
func begins(w wick.Weights, parts []wick.PromptPart) []wick.PromptBegin {
	if len(parts) < 2 {
		return nil
	}
	list := make([]wick.PromptBegin, 0, len(parts)-1)
	chain, sum := xxhash.Sum64String(w.String()), wick.Tokens(0)
	for _, p := range parts[:len(parts)-1] {
		buf := binary.BigEndian.AppendUint64(nil, chain)
		chain = xxhash.Sum64(append(buf, p.ID...))
		sum += p.Tokens
		list = append(list, wick.PromptBegin{Chain: wick.Chain(chain), Tokens: sum})
	}
	return list
}

// rates learns how many prompt tokens the engines of each pool read a
// millisecond. The zero value is ready to use.
type rates struct {
	mu   sync.Mutex
	pool map[wick.PoolName]float64
}

func (r *rates) of(p wick.PoolName) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rate, ok := r.pool[p]; ok {
		return rate
	}
	return choose.DefaultRate
}

// observe notes that so many tokens were read in a time.
func (r *rates) observe(p wick.PoolName, n wick.Tokens, took time.Duration) {
	if n < leastRead || took <= 0 {
		return
	}
	seen := min(max(float64(n)/float64(took.Milliseconds()+1), leastRate), mostRate)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pool == nil {
		r.pool = make(map[wick.PoolName]float64)
	}
	old, ok := r.pool[p]
	if !ok {
		old = choose.DefaultRate
	}
	r.pool[p] = old + ratePart*(seen-old)
}

// keep notes that an endpoint read the request's prompt.
func (t *task) keep(to target, took time.Duration) {
	meter := to.runner.Meter
	if len(t.begins) > 0 {
		t.server.rates.observe(t.pool, t.exchange.PromptTokens-meter.Kept(t.begins), took)
	}
	for _, b := range t.begins {
		if meter.Keep(b.Chain) && b.Tokens >= longBegin {
			t.server.cfg.Control.Kept(wick.KeptBegin{Endpoint: to.runner.Name, Chain: b.Chain})
		}
	}
}
