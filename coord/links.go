package coord

import (
	"time"

	"currantwick"
	"currantwick/pause"
	"currantwick/terms"
)

const (
	// heartbeat is the longest time between two messages on a link; a link ends
	// after four heartbeats of silence.
	heartbeat = 250 * time.Millisecond
	// loadsInterval is how often changed loads are sent.
	loadsInterval = 100 * time.Millisecond
	// redialPause is the pause after a failed dial or the end of a link, and
	// maxRedialPause the longest one after several in a row.
	redialPause    = 300 * time.Millisecond
	maxRedialPause = 1200 * time.Millisecond
	// stableLink is the age from which the end of a link no longer counts as one of
	// several failures in a row.
	stableLink = 5 * time.Second
)

// holder is a daemon that this one dialed because it holds terms, or because it
// is a seed that may know who does.
type holder struct {
	link     wick.Link
	instance wick.Instance
	// dialed is the address that was dialed, and upAt when the link came up.
	dialed wick.Address
	upAt   wick.Instant
	// shards lists the shards whose endpoints currently take orders from this
	// holder.
	shards map[wick.Shard]bool
	// instances are the daemons that the holder has listed, by host.
	instances map[wick.HostName]wick.InstanceState
	// loads and uses are the values that were last reported to the holder.
	loads map[wick.EndpointName]wick.EndpointLoad
	uses  map[wick.EndpointName]map[wick.Weights]int
	// known are the offsets in the last report that had them.
	known []wick.Offset
	// sentAt is when the last report was sent, and comparedAt when the loads
	// were last checked for changes.
	sentAt, comparedAt wick.Instant
	ready              bool
	// told is set once the holder was sent the evidence about suspects.
	told bool
}

// linkUp is a new link.
type linkUp struct {
	link   wick.Link
	to     wick.Instance
	dialed wick.Address
}

func (e linkUp) apply(s *state, now wick.Instant) {
	s.log.Info("link up", "daemon", instanceText(e.to), "dialed", e.dialed != "")
	if e.dialed == "" {
		s.dropOldLink(e.to.Host)
		s.linkedDaemons[e.link] = &linkedDaemon{
			link:     e.link,
			instance: e.to,
			loads:    make(map[wick.EndpointName]wick.EndpointLoad),
			uses:     make(map[wick.EndpointName]map[wick.Weights]int),
		}
		return
	}
	if old := s.holders[e.to.Host]; old != nil {
		delete(s.hostOf, old.link)
		old.link.Close()
	}
	s.hostOf[e.link] = e.to.Host
	h := &holder{
		link:     e.link,
		instance: e.to,
		dialed:   e.dialed,
		upAt:     now,
		// The first report is due at once: the holder answers it with the state
		// that this daemon lacks.
		sentAt:     now.Add(-heartbeat),
		comparedAt: now.Add(-heartbeat),
		shards:     make(map[wick.Shard]bool),
		// Its first update lists all daemons that are linked to it.
		instances: make(map[wick.HostName]wick.InstanceState),
		loads:     make(map[wick.EndpointName]wick.EndpointLoad),
		uses:      make(map[wick.EndpointName]map[wick.Weights]int),
	}
	s.holders[e.to.Host] = h
	s.sendReport(now, h)
	s.daemonsChanged()
}

// linkDown is the end of a link.
type linkDown struct {
	link wick.Link
	err  error
}

func (e linkDown) apply(s *state, now wick.Instant) {
	if m := s.linkedDaemons[e.link]; m != nil {
		s.log.Info("link down", "daemon", instanceText(m.instance), "dialed", false, "err", errText(e.err))
		s.removeLinked(m)
		s.out.instance(m.instance.Host)
		s.daemonsChanged()
		return
	}
	host, ok := s.hostOf[e.link]
	if !ok {
		return
	}
	h := s.holders[host]
	s.log.Warn("link down", "daemon", instanceText(h.instance), "dialed", true, "err", errText(e.err))
	s.redialLater(now, h.dialed, now.Sub(h.upAt) > stableLink)
	delete(s.hostOf, e.link)
	delete(s.holders, host)
	s.daemonsChanged()
}

// dialFailed is a failed attempt to dial another daemon.
type dialFailed struct {
	to  wick.Address
	err error
}

func (e dialFailed) apply(s *state, now wick.Instant) {
	s.log.Debug("dial failed", "to", e.to, "err", errText(e.err))
	s.redialLater(now, e.to, false)
}

// redialLater sets the earliest time of the next dial of an address. wasStable is
// set if the last link to it was up for long.
func (s *state) redialLater(now wick.Instant, to wick.Address, wasStable bool) {
	d := s.dialStateOf(to)
	if wasStable {
		d.backoff.Reset()
	}
	d.after = now.Add(d.backoff.Next())
}

// dialHolders opens links to the holders of terms, and closes those to daemons
// that no longer hold one. It dials the seeds if no holder is known, this
// daemon has dialed no link and the daemons' records can't be read.
func (s *state) dialHolders(now wick.Instant) {
	wanted := make(map[wick.HostName]bool)
	for sh := range wick.Shard(terms.Shards) {
		term := s.terms.Holder(sh)
		if term.Fence > 0 && term.Holder != s.cfg.Self.Host {
			wanted[term.Holder] = true
		}
	}
	for host := range wanted {
		if rec, ok := s.daemons[host]; ok && s.holders[host] == nil {
			s.dial(now, rec.instance.PeerAddress)
		}
	}
	for host, h := range s.holders {
		if !wanted[host] && len(wanted) > 0 {
			delete(s.hostOf, h.link)
			delete(s.holders, host)
			h.link.Close()
			s.daemonsChanged()
		}
	}
	if len(wanted) == 0 && len(s.holders) == 0 && s.probe.failing {
		for _, a := range s.cfg.Seeds {
			s.dial(now, a)
		}
	}
}

func (s *state) dial(now wick.Instant, to wick.Address) {
	d := s.dialStateOf(to)
	if now < d.after {
		return
	}
	// A dial takes less than a second, so no address is dialed twice at once.
	d.after = now.Add(time.Second)
	s.cfg.IO.Dial(to)
}

// dialState limits how often an address is dialed.
type dialState struct {
	// after is the earliest time of the next dial.
	after   wick.Instant
	backoff pause.Backoff
}

func (s *state) dialStateOf(to wick.Address) *dialState {
	d := s.dialing[to]
	if d == nil {
		d = &dialState{backoff: pause.Backoff{Least: redialPause, Most: maxRedialPause}}
		s.dialing[to] = d
	}
	return d
}

// linkMessage is a message from another daemon.
type linkMessage struct {
	link wick.Link
	msg  wick.LinkMessage
}

func (e linkMessage) apply(s *state, now wick.Instant) {
	switch {
	case e.msg.Report != nil && s.linkedDaemons[e.link] != nil:
		s.applyReport(now, s.linkedDaemons[e.link], e.msg.Report)
	case e.msg.Update != nil:
		if host, ok := s.hostOf[e.link]; ok {
			s.applyUpdate(now, s.holders[host], e.msg.Update)
		}
	}
}
