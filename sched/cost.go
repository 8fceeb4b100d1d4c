package sched

import (
	"math"
	"math/bits"
	"time"

	"currantwick"
)

// costKey groups requests that are expected to take equally long: those of one
// route whose prompt length and token limit have the same order of magnitude.
type costKey struct {
	route wick.RouteName
	// promptBits and limitBits are the bit lengths of the prompt's token count
	// and of the token limit; 0 for service calls.
	promptBits int
	limitBits  int
}

func keyOf(sub *wick.Submission) costKey {
	k := costKey{route: sub.Route}
	if w := sub.Work; w != nil {
		k.promptBits = bits.Len(uint(promptTokens(w)))
		k.limitBits = bits.Len(uint(w.MaxTokens - w.HaveTokens))
	}
	return k
}

// shape returns k without the route.
func (k costKey) shape() costKey { return costKey{promptBits: k.promptBits, limitBits: k.limitBits} }

// bytesPerToken is the usual length of a token in a prompt.
const bytesPerToken = 4

// promptTokens estimates how many tokens the engine prefills: the prompt and
// the part of the answer that was already generated.
func promptTokens(w *wick.Work) wick.Tokens {
	return wick.Tokens(len(w.Prompt)/bytesPerToken) + w.HaveTokens
}

// Constants of the estimates.
const (
	// learnRate is the weight of the newest observation in a moving average.
	learnRate = 0.15
	// longFactor is the multiple of the typical cost above which a request is
	// long.
	longFactor = 4
	// logMeanRate is the weight of the newest request in logMean, once there
	// have been at least 1/logMeanRate requests.
	logMeanRate = 0.01
	// maxKeys bounds the keys of one generation of averages.
	maxKeys = 4096
	// defaultServiceCost is the estimated cost of a service call before any
	// was observed.
	defaultServiceCost wick.Cost = 0.02
	// defaultLoadTime is the estimated time to load an adapter before any
	// load was observed.
	defaultLoadTime wick.Cost = 0.25
	// minCost keeps estimates positive.
	minCost wick.Cost = 1e-4
)

// costs estimates how long requests take from their parameters and from earlier
// requests. Its memory is bounded: averages that have not been used for a while
// are dropped.
type costs struct {
	// perPromptToken and perAnswerToken are the times per token of a prompt
	// and of an answer.
	perPromptToken wick.Cost
	perAnswerToken wick.Cost
	// slowdown is the ratio of measured to estimated time; 1 at first.
	slowdown float64
	// logMean is the moving average of the logarithm of the cost of the
	// dispatched requests, and count their number.
	logMean float64
	count   float64
	// loadTime is the average time from when an adapter was added to
	// Endpoint.wanted until it was resident.
	loadTime wick.Cost
	// running is the cost of the requests in the batch.
	running wick.Cost
	// young and old are two generations of averages, of tokens for completions
	// and of seconds for calls. Once young is full it replaces old; a lookup
	// copies an average from old to young.
	young map[costKey]float64
	old   map[costKey]float64
}

func newCosts(cfg Config) costs {
	return costs{
		perPromptToken: wick.Cost(cfg.PerPromptToken.Seconds()),
		perAnswerToken: wick.Cost(cfg.PerAnswerToken.Seconds()),
		slowdown:       1,
		loadTime:       defaultLoadTime,
		young:          map[costKey]float64{},
	}
}

// estimate returns the expected time of a request in the batch.
func (c *costs) estimate(sub *wick.Submission, k costKey) wick.Cost {
	avg, ok := c.average(k)
	if sub.Work == nil {
		if !ok {
			return defaultServiceCost
		}
		return max(minCost, wick.Cost(avg))
	}
	limit := sub.Work.MaxTokens - sub.Work.HaveTokens
	tokens := float64(limit)
	if ok {
		tokens = min(tokens, avg)
	}
	sum := c.perPromptToken*wick.Cost(promptTokens(sub.Work)) + c.perAnswerToken*wick.Cost(tokens)
	return max(minCost, sum)
}

// average returns the average of a key or, failing that, of its shape on any
// route.
func (c *costs) average(k costKey) (float64, bool) {
	if v, ok := c.lookup(k); ok {
		return v, true
	}
	if k.limitBits == 0 {
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

// learn updates the averages with a request that was answered completely.
func (c *costs) learn(t *pendingRequest, now wick.Instant, tokens wick.Tokens) {
	took := now.Sub(t.started).Seconds()
	if t.sub.Work == nil {
		c.observe(t.key, took)
		return
	}
	c.observe(t.key, float64(tokens))
	c.observe(t.key.shape(), float64(tokens))
	expected := c.perPromptToken*wick.Cost(promptTokens(t.sub.Work)) + c.answerCost(tokens)
	if expected > 0 {
		c.slowdown += learnRate * (took/float64(expected) - c.slowdown)
	}
}

// answerCost returns the time to generate n tokens of an answer.
func (c *costs) answerCost(n wick.Tokens) wick.Cost { return c.perAnswerToken * wick.Cost(n) }

// started adds the cost of a request that is being dispatched.
func (c *costs) started(cost wick.Cost) {
	c.count++
	c.logMean += max(logMeanRate, 1/c.count) * (math.Log(float64(cost)) - c.logMean)
	c.running += cost
}

// isLong reports whether a cost is more than longFactor times the typical one.
func (c *costs) isLong(cost wick.Cost) bool {
	return c.count > 0 && math.Log(float64(cost)) > c.logMean+math.Log(longFactor)
}

// processingTime estimates how long a batch with the given number of slots
// takes to process requests of total cost work, at the measured slowdown.
func (c *costs) processingTime(work wick.Cost, slots wick.Slots) time.Duration {
	return seconds(float64(work) * c.slowdown / float64(max(1, slots)))
}

// nextFree estimates the time until a slot of a full batch becomes free. It
// assumes that the requests in it are half done on average and that their ends
// are spread evenly over the remaining time.
func (c *costs) nextFree(slots wick.Slots) time.Duration {
	n := float64(max(1, slots))
	return seconds(float64(c.running) * c.slowdown / (2 * n * n))
}

// loaded updates loadTime with the time from when an adapter was added to
// Endpoint.wanted until it was resident.
func (c *costs) loaded(took time.Duration) {
	c.loadTime += learnRate * (wick.Cost(took.Seconds()) - c.loadTime)
}

func (c *costs) loadWait() time.Duration { return seconds(float64(c.loadTime)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
