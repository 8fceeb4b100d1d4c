// Package choose picks the endpoint for a request: among engines, the one with the
// shortest estimated time to the first token; among plain services, one drawn at
// random in proportion to the room that is expected there. The estimate for a candidate covers the prompts that wait there,
// the load of the adapter, the network distance, and the recent latency and
// failures of the endpoint.
package choose

import (
	"math"
	"slices"
	"time"

	"currantwick"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultPrefillRate is the prefill rate assumed before any measurement, in
	// prompt tokens per millisecond; it is the rate of the slower of the
	// platform's engines.
	DefaultPrefillRate = 19.2
	// longPrompt is the number of uncached prompt tokens from which the prefill
	// noticeably stalls concurrent streams: several of the chunks that engines
	// prefill between two tokens.
	longPrompt = 3000
	// streamPenalty is added per running stream for a prompt of twice
	// longPrompt, and in proportion for other long prompts. It weighs the delay
	// of the running streams against that of the long prompt.
	streamPenalty = 20 * time.Millisecond
	// longPrefillPenalty is added for a short prompt if at least longPrompt
	// tokens wait to be prefilled.
	longPrefillPenalty = 150 * time.Millisecond
	// storeLoadCost and cachedLoadCost are the costs of loading an adapter: the
	// time of the load, with the transit of the order. storeLoadCost counts the
	// time of a load twice, the second time for its price and for the adapter
	// slot that it takes from another adapter.
	storeLoadCost  = 500 * time.Millisecond
	cachedLoadCost = 60 * time.Millisecond
	// replaceTime is added where an older version is loaded, since requests on
	// it may have to finish first: about the duration of a stream.
	replaceTime = 700 * time.Millisecond
	// modelLoadTime is the time to load a base model and to receive the report
	// that it is loaded.
	modelLoadTime = 2 * time.Second
	// parallelLoads is how many adapters an endpoint loads in parallel.
	parallelLoads = 4
	// nonHomePenalty is added for an endpoint that is not a home (see
	// homeCount) of an adapter that must be loaded, so that daemons choose the
	// same endpoint. It grows in proportion to the number of daemons above
	// penaltyDaemons: otherwise many daemons would send adapters to the one
	// endpoint that looks best before they learn of each other's choices.
	nonHomePenalty = 60 * time.Millisecond
	penaltyDaemons = 8
	// homeCount is the number of homes of an adapter, the endpoints that
	// daemons prefer for loading it.
	homeCount = 2
	// otherDomainPenalty is added for an endpoint in another failure domain:
	// network latency and the price of the traffic.
	otherDomainPenalty = 15 * time.Millisecond
	// adapterSlotWait is the wait for an adapter slot, per adapter that waits
	// for one: about a third of a short stream.
	adapterSlotWait = 300 * time.Millisecond
	// batchSlotWait is the wait per request beyond the batch slots of an
	// endpoint.
	batchSlotWait = 30 * time.Millisecond
	// runningPenalty is the delay that each running request adds to the others
	// in the batch.
	runningPenalty = time.Millisecond
	// trialPenalty is added per running request for a request that may crash the
	// endpoint, and them with it.
	trialPenalty = 50 * time.Millisecond
	// failurePenalty is added for an endpoint whose recent requests all failed,
	// and in proportion where some did.
	failurePenalty = 3 * time.Second
)

// Candidate is an endpoint that may take a request.
type Candidate struct {
	Name   wick.EndpointName
	Domain wick.Domain
	Slots  wick.Slots
	// Running counts the running requests of all daemons, Waiting the prompt
	// tokens that are not prefilled yet.
	Running int
	Waiting wick.Tokens
	// CachedTokens counts the tokens of the request's prompt that are in the
	// endpoint's prefix cache.
	CachedTokens wick.Tokens
	// Lag is the recent excess of the endpoint's latency over the estimate,
	// FailedShare the share of its recent requests that failed: each as
	// observed by this daemon or by all daemons, whichever is worse.
	Lag         time.Duration
	FailedShare float64
	// Work is the time that a request takes at a plain service without waiting there;
	// 0 if it was not measured.
	Work time.Duration
	// Avoid is set when the endpoint must not be picked.
	Avoid bool
	// HasAdapter is set when the adapter is loaded or loading there; it is
	// ready in ReadyIn.
	HasAdapter bool
	ReadyIn    time.Duration
	// BaseLoaded is set when the adapter's base model is loaded there,
	// OlderVersion when an older version of the adapter is.
	BaseLoaded, OlderVersion bool
	// FreeSlots counts the adapters that could be loaded there now, in addition
	// to the PendingAdapters adapters that requests already wait for.
	FreeSlots, PendingAdapters int
	// Cached is set when the endpoint has a cached copy of the adapter,
	// OrdersActive when the holder of its shard gives it orders now.
	Cached, OrdersActive bool
}

// Input is a request to place.
type Input struct {
	// Adapter is empty for a base model.
	Adapter wick.Weights
	Prompt  wick.Tokens
	Domain  wick.Domain
	// PrefillRate is the prefill rate, in prompt tokens per millisecond;
	// positive.
	PrefillRate float64
	// LoadSlowdown is the factor by which contention at the weight store
	// currently lengthens loads.
	LoadSlowdown float64
	// Daemons counts the daemons that choose endpoints concurrently.
	Daemons int
	// Trial is set for a request that may crash its endpoint.
	Trial bool
	// Random draws a plain service; PickEngine ignores it.
	Random uint64
}

// PickEngine returns the index of the candidate with the shortest estimate and
// the estimate, or -1 if none can take the request.
func PickEngine(in Input, list []Candidate) (int, time.Duration) {
	isHome := homes(in.Adapter, list)
	best, least := -1, time.Duration(math.MaxInt64)
	for i := range list {
		c := &list[i]
		if c.Avoid || !c.HasAdapter && !c.OrdersActive {
			continue
		}
		if d := estimate(in, c, isHome(i)); d < least {
			best, least = i, d
		}
	}
	return best, least
}

func estimate(in Input, c *Candidate, home bool) time.Duration {
	uncached := max(in.Prompt-c.CachedTokens, 0)
	prefillMs := float64(c.Waiting+uncached) / in.PrefillRate
	d := time.Duration(prefillMs*float64(time.Millisecond)) + endpointCost(in.Domain, c)
	switch {
	case uncached >= longPrompt:
		d += time.Duration(float64(c.Running) * float64(streamPenalty) * float64(uncached) / (2 * longPrompt))
	case c.Waiting >= longPrompt:
		d += longPrefillPenalty
	}
	d += time.Duration(c.Running) * runningPenalty
	if in.Trial {
		d += time.Duration(c.Running) * trialPenalty
	}
	if over := c.Running + 1 - int(c.Slots); over > 0 {
		d += time.Duration(over) * batchSlotWait
	}
	if c.HasAdapter {
		return d + max(c.ReadyIn, 0)
	}
	return d + adapterReadyTime(in, c, home)
}

// adapterReadyTime estimates the time until the adapter is ready.
func adapterReadyTime(in Input, c *Candidate, home bool) time.Duration {
	load := time.Duration(float64(storeLoadCost) * max(in.LoadSlowdown, 1))
	if c.Cached {
		load = cachedLoadCost
	}
	// Adapters that requests already wait for are loaded first, parallelLoads
	// at a time.
	d := load + load*time.Duration(c.PendingAdapters)/parallelLoads
	if !c.BaseLoaded {
		d += modelLoadTime
	}
	if c.OlderVersion {
		d += replaceTime
	}
	if !home {
		d += nonHomePenalty * time.Duration(max(in.Daemons, penaltyDaemons)) / penaltyDaemons
	}
	if c.FreeSlots <= 0 {
		d += time.Duration(1-c.FreeSlots) * adapterSlotWait
	}
	return d
}

// endpointCost returns the part of the estimate that engines and plain services
// have in common: recent latency, failures and network distance.
func endpointCost(domain wick.Domain, c *Candidate) time.Duration {
	d := c.Lag + time.Duration(c.FailedShare*float64(failurePenalty))
	if c.Domain != domain {
		d += otherDomainPenalty
	}
	return d
}

// homes returns a function that reports whether a candidate is one of the
// adapter's homes by rendezvous hashing. Every candidate is a home for a base
// model.
func homes(w wick.Weights, list []Candidate) func(int) bool {
	if w.Adapter == "" {
		return func(int) bool { return true }
	}
	// best holds the highest scores in descending order, and at the indexes of
	// their candidates.
	var best [homeCount]uint64
	at := [homeCount]int{-1, -1}
	for i := range list {
		s := score(w, list[i].Name)
		for k := range best {
			if at[k] < 0 || s > best[k] {
				copy(best[k+1:], best[k:])
				copy(at[k+1:], at[k:])
				best[k], at[k] = s, i
				break
			}
		}
	}
	return func(i int) bool { return slices.Contains(at[:], i) }
}

func score(w wick.Weights, e wick.EndpointName) uint64 {
	var buf [128]byte
	b := append(buf[:0], w.Model...)
	b = append(b, 0)
	b = append(b, w.Adapter...)
	b = append(b, 0)
	b = append(b, e...)
	return xxhash.Sum64(b)
}
