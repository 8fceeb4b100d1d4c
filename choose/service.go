package choose

import (
	"time"

	"currantwick"
)

const (
	// defaultServiceTime is the assumed duration of a plain service call before
	// any measurement. It is added to the lag.
	defaultServiceTime = 15 * time.Millisecond
	// loadAge is the usual age of what a daemon knows of the requests of others:
	// 100 to 400 ms.
	loadAge = 250 * time.Millisecond
	// fullPart is the number of requests for each slot from which a plain service may be
	// full: it has queue places, too.
	fullPart = 2
	// maxServices bounds the endpoints that a request chooses from; where there are
	// more, a part of the list is taken, at random.
	maxServices = 64
)

// filling is the state of one plain service.
type filling struct {
	index int
	// rate is how many requests the service finishes per second, and wait the
	// seconds until a request that is sent now is answered.
	rate, wait float64
}

// PickService returns the index of a candidate of a plain service, or -1 if none can
// take the request.
//
// It is made for many daemons that choose at once and see each other's requests late:
// if each took the service that looks best, all would fill the same one. PickService
// estimates how many requests the other daemons have sent since the loads were
// observed and assumes that these, and its own request, filled up the services to the
// same time to an answer. A service is drawn in proportion to what it took of them.
// One daemon alone thus gets the service with the shortest time; the more requests the
// others send, the closer the draw comes to the rates of the services. Lasting
// differences (slow, failing or distant services) count in both cases.
func PickService(in Input, list []Candidate) int {
	var buf [maxServices]filling
	services, arrivals := buf[:0], 0.0
	first := 0
	if len(list) > maxServices {
		first = int(mix(in.Random, 1) % uint64(len(list)))
	}
	usual := usualWork(list)
	for n := range list {
		i := (first + n) % len(list)
		if c := &list[i]; !c.Avoid && len(services) < maxServices {
			f, rate := observed(in, c, usual)
			f.index = i
			services, arrivals = append(services, f), arrivals+rate
		}
	}
	if len(services) == 0 {
		return -1
	}
	unseen := 0.0
	if in.Daemons > 1 {
		unseen = arrivals * loadAge.Seconds() * float64(in.Daemons-1) / float64(in.Daemons)
	}
	return draw(services, level(services, unseen+1), float64(mix(in.Random, 0)>>11)/(1<<53))
}

// usualWork returns the average measured work, in seconds; 0 if there is none.
func usualWork(list []Candidate) float64 {
	sum, n := 0.0, 0
	for i := range list {
		if w := list[i].Work; w > 0 {
			sum += w.Seconds()
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// RefusalIsFailure reports whether a refusal shows that a plain service fails: one that
// was seen to run so few requests has room.
func RefusalIsFailure(slots wick.Slots, running int) bool { return running < fullPart*int(slots) }

// observed returns the state of a service, and the rate at which requests arrive
// there, from the number of running ones and their duration.
func observed(in Input, c *Candidate, usual float64) (f filling, arrivals float64) {
	slots, work := float64(max(c.Slots, 1)), c.Work.Seconds()
	rounds := max(float64(c.Running)/slots, 1)
	switch {
	case work > 0:
	case usual > 0:
		work = usual
	default:
		work = (defaultServiceTime + c.Lag).Seconds()
	}
	f.rate = slots / work
	f.wait = c.FailedShare*failurePenalty.Seconds() + work*(1+float64(c.Running)/slots)
	if c.Domain != in.Domain {
		f.wait += otherDomainPenalty.Seconds()
	}
	return f, float64(c.Running) / (work * rounds)
}

// level returns the time to an answer at which the services have taken n more requests.
func level(services []filling, n float64) float64 {
	top := 0.0
	for _, f := range services {
		top = max(top, f.wait)
	}
	for {
		sum, rate, next := n, 0.0, 0.0
		for _, f := range services {
			if f.wait <= top {
				sum += f.wait * f.rate
				rate += f.rate
			}
		}
		at := sum / rate
		if at >= top {
			return at
		}
		// Services above the level take nothing.
		for _, f := range services {
			if f.wait <= at {
				next = max(next, f.wait)
			}
		}
		top = next
	}
}

// draw returns the index of a service, drawn in proportion to what each takes up to a
// level; at is from 0 to 1.
func draw(services []filling, level, at float64) int {
	sum := 0.0
	for _, f := range services {
		sum += max(level-f.wait, 0) * f.rate
	}
	at *= sum
	last := services[0].index
	for _, f := range services {
		part := max(level-f.wait, 0) * f.rate
		if part <= 0 {
			continue
		}
		last = f.index
		if at -= part; at < 0 {
			break
		}
	}
	return last
}

func mix(r uint64, i int) uint64 {
	x := r + uint64(i)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return x ^ x>>31
}
