package share

import (
	"math"
	"slices"
	"time"

	"currantwick"
)

// account is what a daemon may use of a team's allotment.
type account struct {
	allotment wick.Allotment
	// lots are granted units, the oldest first.
	lots []lot
	// own is the level of the bucket that is used without a holder, as of ownAt.
	own   float64
	ownAt wick.Instant
	// returned are units to give back, granted at returnedFrom at the earliest.
	returned     float64
	returnedFrom wick.Instant
	// demand is the decayed sum of the units of requests, size the average of one
	// request, and usedAt the time of the last one.
	demand, size float64
	usedAt       wick.Instant
	// asked is the number of the report that awaits its answer, sent at askedAt; 0 for
	// none.
	asked   uint64
	askedAt wick.Instant
	waiting []*Waiter
	// askAfter is the earliest time to ask again for requests that the holder did not
	// decide on.
	askAfter wick.Instant
	// wanted are the units that the report asked for in all. wantAfter is the earliest
	// time to ask ahead again after a holder granted less.
	wanted    wick.Units
	wantAfter wick.Instant
	// quietUntil is the time before which there is nothing to ask unless a request comes.
	quietUntil wick.Instant
	// room and rate are the holder's statement that the team was over its limit at
	// exceededAt.
	room, rate float64
	exceededAt wick.Instant
	exceeded   bool
	// notableAt is when a refusal last got a log line.
	notableAt wick.Instant
	noted     bool
}

// lot is a number of units that were granted together.
type lot struct {
	units            float64
	granted, expires wick.Instant
}

// ask returns what to ask for the account; false if there is nothing to ask.
func (a *account) ask(now wick.Instant, number uint64) (wick.AllotmentAsk, bool) {
	var ask wick.AllotmentAsk
	a.wanted = 0
	for _, w := range a.waiting[:min(len(a.waiting), maxNeeds)] {
		ask.Needs = append(ask.Needs, wick.Units(math.Ceil(w.units)))
		a.wanted += wick.Units(math.Ceil(w.units))
		w.asked = number
	}
	later := a.heldAt(now.Add(aheadTime))
	if want := a.wants(now); later < want/2 && now >= a.wantAfter {
		ask.Want = wick.Units(want - later)
		a.wanted += ask.Want
	}
	ask.Returned = wick.Units(a.returned)
	if len(ask.Needs) == 0 && ask.Want == 0 && ask.Returned == 0 {
		a.quietUntil = now.Add(quietTime)
		if len(a.lots) > 0 {
			a.quietUntil = min(a.quietUntil, a.lots[0].expires.Add(-aheadTime))
		}
		return ask, false
	}
	ask.Held = wick.Units(a.heldAt(now))
	if ask.Returned > 0 {
		ask.Age = wick.Duration(now.Sub(a.returnedFrom).Round(time.Millisecond) + time.Millisecond)
		a.returned = 0
	}
	a.asked, a.askedAt = number, now
	return ask, true
}

// observe adds a request to the demand.
func (a *account) observe(now wick.Instant, units float64) {
	a.demand = a.demandAt(now) + units
	if a.size == 0 {
		a.size = units
	}
	a.size += (units - a.size) / 8
	a.usedAt, a.quietUntil = now, 0
}

func (a *account) demandAt(now wick.Instant) float64 {
	return a.demand * math.Exp(-now.Sub(a.usedAt).Seconds()/demandTime.Seconds())
}

// wants returns how many units the daemon should hold: those of the next reports, or one
// request for a team that sends few.
func (a *account) wants(now wick.Instant) float64 {
	if now.Sub(a.usedAt) > idleTime {
		return 0
	}
	return math.Ceil(max(a.demandAt(now)*aheadTime.Seconds()/demandTime.Seconds(), a.size))
}

// expire gives back units that may not be used any more. Those that were granted before
// since came from another holder and are dropped.
func (a *account) expire(now, since wick.Instant) {
	for len(a.lots) > 0 && a.lots[0].expires <= now {
		if l := a.lots[0]; l.granted >= since {
			a.giveBack(l.units, l.granted)
		}
		a.lots = slices.Delete(a.lots, 0, 1)
	}
}

func (a *account) giveBack(units float64, from wick.Instant) {
	if a.returned == 0 || from < a.returnedFrom {
		a.returnedFrom = from
	}
	a.returned += units
	a.quietUntil = 0
}

// heldAt returns the units that may be used after an instant.
func (a *account) heldAt(at wick.Instant) float64 {
	sum := 0.0
	for _, l := range a.lots {
		if l.expires > at {
			sum += l.units
		}
	}
	return sum
}

// spend takes units from the lots, the oldest first, if they suffice.
func (a *account) spend(units float64) bool {
	sum := 0.0
	for _, l := range a.lots {
		sum += l.units
	}
	if sum < units {
		return false
	}
	used := 0
	for i := range a.lots {
		l := &a.lots[i]
		part := min(l.units, units)
		l.units -= part
		units -= part
		if l.units > 0 {
			break
		}
		used++
	}
	a.lots = slices.Delete(a.lots, 0, used)
	return true
}

// predict returns UnitsExceeded if the holder said a moment ago that the team is over its
// limit, and there is no room for the request yet.
func (a *account) predict(now wick.Instant, units float64) wick.AllotmentVerdict {
	since := now.Sub(a.exceededAt)
	if !a.exceeded || since > exceededTime {
		return wick.AllotmentVerdict{}
	}
	room := a.room + a.rate*since.Seconds()
	if units <= room {
		return wick.AllotmentVerdict{}
	}
	return wick.AllotmentVerdict{Result: wick.UnitsExceeded, RetryAfter: wick.Duration(untilRoom(units, room, a.rate))}
}

// forgetLostAsk drops a report whose answer would be of no use any more.
func (a *account) forgetLostAsk(now wick.Instant) {
	if a.asked == 0 || now.Sub(a.askedAt) <= unitsTTL {
		return
	}
	a.asked = 0
	for _, w := range a.waiting {
		w.asked = 0
	}
}
