package accept

import (
	"net/netip"
)

// class is how much a connection matters. The first class is closed first.
type class int

const (
	// unused has not carried a request, or a head arrives on it.
	unused class = iota
	// between is idle between requests.
	between
	// unread waits for its remote end to read an answer.
	unread
	// needed is served.
	needed
)

// classOf returns the class of a connection and for how long it has been in it.
func (c *Conn) classOf(now int64) (class, int64) {
	age := now - c.since.Load() + 1
	switch phase(c.phase.Load()) {
	case waiting, inHead:
		return unused, age
	case idle:
		return between, age
	case serving:
		if at := c.blocked.Load(); at > 0 && now-at > int64(blockedTime) {
			return unread, now - at
		}
	}
	return needed, age
}

// leastImportant returns the connection to close first; nil if all are needed. Within the
// lowest class it is the one that has waited longest, counted as often as its address has
// connections of this class: an address with many connections loses its own, and heads of
// ordinary callers, which take milliseconds, lose to those that stay incomplete.
func leastImportant(conns map[*Conn]struct{}, now int64) *Conn {
	lowest := needed
	count := make(map[netip.Addr]int64)
	for c := range conns {
		k, _ := c.classOf(now)
		if k < lowest {
			lowest = k
			clear(count)
		}
		if k == lowest && k < needed {
			count[c.remote]++
		}
	}
	var victim *Conn
	var most int64
	for c := range conns {
		k, age := c.classOf(now)
		if k != lowest || k == needed {
			continue
		}
		if score := age * count[c.remote]; victim == nil || score > most {
			victim, most = c, score
		}
	}
	return victim
}

// largestHead returns, of the address whose incomplete heads take most memory, the
// connection whose head takes most; nil if none takes any.
func largestHead(conns map[*Conn]struct{}) *Conn {
	sum := make(map[netip.Addr]int64)
	for c := range conns {
		if c.is(inHead) {
			sum[c.remote] += c.taken.Load()
		}
	}
	var victim *Conn
	var mostOfAll, most int64
	for c := range conns {
		n, all := c.taken.Load(), sum[c.remote]
		if c.is(inHead) && n > 0 && (all > mostOfAll || all == mostOfAll && n > most) {
			victim, mostOfAll, most = c, all, n
		}
	}
	return victim
}
