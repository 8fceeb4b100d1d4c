package direct

import (
	"sync"

	"currantwick"

	"golang.org/x/sync/errgroup"
)

// race decides between the legs of a hedged attempt.
type race struct {
	group errgroup.Group
	// results receives the legs that failed and the winner; it never blocks them.
	results chan *leg

	mu   sync.Mutex
	legs []*leg
	// over is set once a leg has won, or the attempt has ended without a winner.
	over bool
	// settled is set once a leg has a result. No further leg is then started: a retry
	// after a failure waits for the judgment of a possible crash.
	settled bool
}

func newRace() *race { return &race{results: make(chan *leg, maxLegs)} }

// start runs a leg, unless another has a result.
func (r *race) start(l *leg, send wick.Sender) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.settled {
		return false
	}
	r.legs = append(r.legs, l)
	r.group.Go(func() error {
		l.run(send)
		if r.deliver(l) {
			r.results <- l
		} else {
			l.end()
		}
		return nil
	})
	return true
}

// deliver reports whether the task receives a leg's result: not if the race is over.
// The first leg that has an answer wins; the others are canceled at once.
func (r *race) deliver(l *leg) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over {
		return false
	}
	r.settled = true
	if !l.failed() {
		r.over = true
		for _, other := range r.legs {
			if other != l {
				other.cancel()
			}
		}
	}
	return true
}

// isSettled reports whether a leg has a result.
func (r *race) isSettled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.settled
}

// close cancels all legs, waits for them, and gives back what they held. It returns how
// many of those whose result was not handled may have run.
func (r *race) close() int {
	r.mu.Lock()
	r.over = true
	for _, l := range r.legs {
		l.cancel()
	}
	r.mu.Unlock()
	_ = r.group.Wait() // Legs return no errors.
	ran := 0
	for _, l := range r.legs {
		l.end()
		if !l.handled && l.mayHaveRun() {
			ran++
		}
	}
	return ran
}
