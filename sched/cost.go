package sched

import (
	"math"
	"math/bits"
	"time"

	"currantwick"
)

// costKey groups requests that are expected to take equally long: those of one
// route whose prompts and limits have the same order of magnitude.
type costKey struct {
	route  wick.RouteName
	prompt int
	limit  int
}

func keyOf(sub *wick.Submission) costKey {
	k := costKey{route: sub.Route}
	if w := sub.Work; w != nil {
		k.prompt = bits.Len(uint(promptTokens(w)))
		k.limit = bits.Len(uint(w.MaxTokens - w.HaveTokens))
	}
	return k
}

// shape is k without the route.
func (k costKey) shape() costKey { return costKey{prompt: k.prompt, limit: k.limit} }

// bytesPerToken is the usual length of a token in a prompt.
const bytesPerToken = 4

func promptTokens(w *wick.Work) wick.Tokens {
	return wick.Tokens(len(w.Prompt)/bytesPerToken) + w.HaveTokens
}

// Constants of the estimates.
const (
	// learnRate is the weight of the newest observation in an average.
	learnRate = 0.15
	// longFactor is how many times the usual cost makes a request long.
	longFactor = 4
	// usualRate is the weight of the newest request in the usual cost, once
	// enough have come.
	usualRate = 0.01
	// maxKeys bounds the keys of one generation of averages.
	maxKeys = 4096
	// firstService is the cost of a service call before one was seen.
	firstService wick.Cost = 0.02
	// firstLoad is the time to load an adapter before one was seen.
	firstLoad wick.Cost = 0.25
	// minCost keeps estimates positive.
	minCost wick.Cost = 1e-4
)

// costs estimates how long requests take, from their form and from what
// earlier ones took. Its memory is bounded: averages that were not used for a
// while are forgotten.
type costs struct {
	prompt wick.Cost
	token  wick.Cost
	// speed is the ratio of measured to estimated time; 1 at first.
	speed float64
	// usual is the average logarithm of the cost of requests, of which seen
	// have been dispatched.
	usual float64
	seen  float64
	// load is the average time from the first request for an adapter until it
	// was resident.
	load wick.Cost
	// running is the cost of the batch.
	running wick.Cost
	// young and old are two generations of averages, of tokens for
	// completions and of seconds for calls.
	young map[costKey]float64
	old   map[costKey]float64
}

func newCosts(cfg Config) costs {
	return costs{
		prompt: wick.Cost(cfg.Prompt.Seconds()),
		token:  wick.Cost(cfg.Answer.Seconds()),
		speed:  1,
		load:   firstLoad,
		young:  map[costKey]float64{},
	}
}

// estimate returns the time a request will take in the batch.
func (c *costs) estimate(sub *wick.Submission, k costKey) wick.Cost {
	avg, ok := c.average(k)
	if sub.Work == nil {
		if !ok {
			return firstService
		}
		return max(minCost, wick.Cost(avg))
	}
	limit := sub.Work.MaxTokens - sub.Work.HaveTokens
	tokens := float64(limit)
	if ok {
		tokens = min(tokens, avg)
	}
	sum := c.prompt*wick.Cost(promptTokens(sub.Work)) + c.token*wick.Cost(tokens)
	return max(minCost, sum)
}

// average returns what is known of a key, or else of its shape on any route.
func (c *costs) average(k costKey) (float64, bool) {
	if v, ok := c.lookup(k); ok {
		return v, true
	}
	if k.limit == 0 {
		return 0, false
	}
	return c.lookup(k.shape())
}

func (c *costs) lookup(k costKey) (float64, bool) {
	if v, ok := c.young[k]; ok {
		return v, true
	}
	v, ok := c.old[k]
	if ok {
		c.store(k, v)
	}
	return v, ok
}

func (c *costs) store(k costKey, v float64) {
	if len(c.young) >= maxKeys {
		c.old, c.young = c.young, map[costKey]float64{}
	}
	c.young[k] = v
}

func (c *costs) observe(k costKey, v float64) {
	if avg, ok := c.lookup(k); ok {
		v = avg + learnRate*(v-avg)
	}
	c.store(k, v)
}

// learn takes in a request that was answered whole.
func (c *costs) learn(t *item, now wick.Instant, tokens wick.Tokens) {
	took := now.Sub(t.started).Seconds()
	if t.sub.Work == nil {
		c.observe(t.key, took)
		return
	}
	c.observe(t.key, float64(tokens))
	c.observe(t.key.shape(), float64(tokens))
	expected := c.prompt*wick.Cost(promptTokens(t.sub.Work)) + c.answer(tokens)
	if expected > 0 {
		c.speed += learnRate * (took/float64(expected) - c.speed)
	}
}

// answer returns the time that so many tokens of an answer take.
func (c *costs) answer(n wick.Tokens) wick.Cost { return c.token * wick.Cost(n) }

// started takes in the cost of a request as it is dispatched.
func (c *costs) started(cost wick.Cost) {
	c.seen++
	c.usual += max(usualRate, 1/c.seen) * (math.Log(float64(cost)) - c.usual)
	c.running += cost
}

// isLong reports whether a cost is many times the usual one.
func (c *costs) isLong(cost wick.Cost) bool {
	return c.seen > 0 && math.Log(float64(cost)) > c.usual+math.Log(longFactor)
}

// wait estimates how long a batch of so many slots takes over work.
func (c *costs) wait(work wick.Cost, slots wick.Slots) time.Duration {
	return seconds(float64(work) * c.speed / float64(max(1, slots)))
}

// nextFree estimates when the next slot of a full batch gets free, taking the
// requests in it to be half done.
func (c *costs) nextFree(slots wick.Slots) time.Duration {
	n := float64(max(1, slots))
	return seconds(float64(c.running) * c.speed / (2 * n * n))
}

// loaded takes in the time from the first request for an adapter until it was
// resident.
func (c *costs) loaded(took time.Duration) {
	c.load += learnRate * (wick.Cost(took.Seconds()) - c.load)
}

func (c *costs) loadWait() time.Duration { return seconds(float64(c.load)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
