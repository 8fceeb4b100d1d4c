package coord

import (
	"math"
	"slices"
	"time"

	"currantwick"
	"currantwick/share"
	"currantwick/terms"
)

// Teams are assigned to shards as endpoints are. The holder of a shard gives out the
// allotments of its teams: it answers what daemons ask in their reports. Nothing is sent
// where the configuration limits no team.

// outdatedGrace is how long a holder with an older configuration than this daemon's is
// still asked: half of the time in which a lowered limit must take effect. Most of the
// time the holder reads it a moment later.
const outdatedGrace = 1500 * time.Millisecond

// loggedPart is the change of the part of the allotments that is logged.
const loggedPart = 0.1

// shareState is the control state of allotments.
type shareState struct {
	// limited is set if the configuration with the version checked limits a team.
	limited bool
	checked *wick.ServingConfig
	// holders have the buckets of the shards of this daemon; nil for the others.
	holders [terms.Shards]*share.Holder
	// sources are where this daemon's units come from, by shard.
	sources [terms.Shards]shareSource
	// number is that of the last report with asks.
	number uint64
	// told is what each linked daemon was told last.
	told map[wick.HostName]toldShares
	// logged is the part of the rates that was logged last, by shard.
	logged [terms.Shards]float64
}

// shareSource is the holder that this daemon takes units of a shard's teams from.
type shareSource struct {
	// link is nil if this daemon is the holder or if there is none.
	link wick.Link
	self bool
	// confirmed is set once the holder said on this link that it gives out units, with
	// the version of its configuration.
	confirmed bool
	config    uint64
	// olderSince is since when that version has been older than this daemon's; -1 if it
	// is not.
	olderSince wick.Instant
	// present is what the traffic was told.
	present bool
}

// toldShares is what a linked daemon was told.
type toldShares struct {
	link   wick.Link
	shards []wick.Shard
	config uint64
}

// sharesLimited reports whether the configuration limits a team.
func (s *state) sharesLimited() bool {
	config := s.facts.ServingConfig()
	if config == s.shares.checked {
		return s.shares.limited
	}
	s.shares.checked, s.shares.limited = config, false
	if config != nil && config.Teams != nil {
		for _, team := range config.Teams.ByName {
			s.shares.limited = s.shares.limited || team.Allotment.Rate > 0
		}
	}
	return s.shares.limited
}

// tickShares makes the time-driven decisions about allotments.
func (s *state) tickShares(now wick.Instant) {
	if !s.sharesLimited() {
		return
	}
	s.refreshShares(now)
	s.cfg.Shares.SetDaemons(s.roster.daemons)
	for host, told := range s.shares.told {
		if s.linkedDaemons[told.link] == nil {
			delete(s.shares.told, host)
			for _, h := range s.shares.holders {
				if h != nil {
					h.Leave(now, host)
				}
			}
		}
	}
	for sh, h := range s.shares.holders {
		if h == nil {
			continue
		}
		h.Join(now, s.cfg.Self.Host)
		h.Tick(now, s.roster.daemons)
		s.answerSelf(now, wick.Shard(sh), false)
		if part, was := h.Part(), s.shares.logged[sh]; part != was && (part == 1 || math.Abs(part-was) >= loggedPart) {
			s.shares.logged[sh] = part
			s.log.Info("part of allotments changed", "shard", sh, "part", part, "daemons", s.roster.daemons)
		}
	}
	s.askUnits(now) // For requests that a new holder did not decide on.
}

// refreshShares starts and ends holders with this daemon's terms, and tells the traffic
// whether there is a holder for each shard.
func (s *state) refreshShares(now wick.Instant) {
	if !s.sharesLimited() {
		return
	}
	changed := false
	var opened []wick.Link
	for i := range s.shares.sources {
		sh, src := wick.Shard(i), &s.shares.sources[i]
		holds := s.terms.Holds(sh)
		if holds != (s.shares.holders[i] != nil) {
			s.shares.holders[i] = nil
			if holds {
				s.shares.holders[i] = share.NewHolder(now, s.cfg.ShareLimits)
			}
		}
		link := s.shareLink(sh)
		if link != src.link || holds != src.self {
			s.setSharesPresent(now, sh, false)
			*src = shareSource{link: link, self: holds, confirmed: holds, olderSince: -1}
			if link != nil {
				opened = append(opened, link)
			}
		}
		if present := src.confirmed && !s.isOutdated(now, src); present != src.present {
			s.setSharesPresent(now, sh, present)
			changed = true
		}
	}
	for _, h := range s.holders {
		if slices.Contains(opened, h.link) {
			s.postShareReport(h, s.shareReport(now, h, true))
		}
	}
	if changed {
		s.askUnits(now)
	}
}

// postShareReport sends a report about allotments alone.
func (s *state) postShareReport(h *holder, r *wick.AllotmentReport) {
	h.link.Post(wick.LinkMessage{Report: &wick.InstanceReport{Ready: s.ready(), Allotments: r}})
}

// shareLink returns the link to the holder of a shard; nil if there is none or if this
// daemon is the holder.
func (s *state) shareLink(sh wick.Shard) wick.Link {
	term := s.terms.Holder(sh)
	if h := s.holders[term.Holder]; h != nil && term.Fence > 0 && !term.Left && term.Holder != s.cfg.Self.Host {
		return h.link
	}
	return nil
}

// isOutdated reports whether the holder has had an older configuration than this daemon
// for long. It may not know that a limit was lowered.
func (s *state) isOutdated(now wick.Instant, src *shareSource) bool {
	if src.self || src.config == 0 || src.config >= s.facts.ServingConfig().Version {
		src.olderSince = -1
		return false
	}
	if src.olderSince < 0 {
		src.olderSince = now
	}
	return now.Sub(src.olderSince) > outdatedGrace
}

func (s *state) setSharesPresent(now wick.Instant, sh wick.Shard, present bool) {
	src := &s.shares.sources[sh]
	if src.present == present {
		return
	}
	src.present = present
	s.cfg.Shares.SetHolder(now, sh, present)
	s.log.Info("holder of allotments changed", "shard", sh, "holder", s.terms.Holder(sh).Holder, "present", present)
}

// shareReport returns the part of a report to a holder that concerns allotments; nil if
// there is none.
func (s *state) shareReport(now wick.Instant, h *holder, urgent bool) *wick.AllotmentReport {
	if !s.sharesLimited() {
		return nil
	}
	r, unconfirmed := &wick.AllotmentReport{}, false
	for i := range s.shares.sources {
		src := &s.shares.sources[i]
		if src.link != h.link || s.isOutdated(now, src) {
			continue
		}
		r.Shards = append(r.Shards, wick.Shard(i))
		unconfirmed = unconfirmed || !src.confirmed
		if src.present {
			r.Asks = append(r.Asks, s.cfg.Shares.Asks(now, wick.Shard(i), s.shares.number+1, urgent)...)
		}
	}
	// Without a number, a holder that has said before that it gives out units does not
	// repeat it. A change of holders and back, or a lost answer, needs it repeated.
	if len(r.Asks) > 0 || unconfirmed {
		s.shares.number++
		r.Number = s.shares.number
	}
	return r
}

// unitsNeeded is the event that requests wait for units.
type unitsNeeded struct{}

func (unitsNeeded) apply(s *state, now wick.Instant) { s.askUnits(now) }

// askUnits asks the holders at once for the units that requests wait for.
func (s *state) askUnits(now wick.Instant) {
	if !s.sharesLimited() {
		return
	}
	for i, h := range s.shares.holders {
		if h != nil {
			s.answerSelf(now, wick.Shard(i), true)
		}
	}
	for _, h := range s.holders {
		if r := s.shareReport(now, h, true); r.Asking() {
			s.postShareReport(h, r)
		}
	}
}

// answerSelf answers what this daemon asks of itself.
func (s *state) answerSelf(now wick.Instant, sh wick.Shard, urgent bool) {
	if !s.shares.sources[sh].present {
		return
	}
	for more := true; more; urgent = true {
		s.shares.number++
		asks := s.cfg.Shares.Asks(now, sh, s.shares.number, urgent)
		more = len(asks) > 0 && s.cfg.Shares.Granted(now, s.shares.number, s.grants(now, s.cfg.Self.Host, asks))
	}
}

// grants answers asks of a daemon about teams in the shards of this one.
func (s *state) grants(now wick.Instant, host wick.HostName, asks []wick.AllotmentAsk) []wick.AllotmentGrant {
	var list []wick.AllotmentGrant
	teams := s.facts.ServingConfig().Teams
	for _, ask := range asks {
		h := s.shares.holders[share.ShardOf(ask.Team)]
		if h == nil {
			continue
		}
		// A team that only the other daemon knows will be known here in a moment.
		if team := teams.ByName[ask.Team]; team != nil {
			list = append(list, h.Answer(now, host, ask, team.Allotment))
		}
	}
	return list
}

// applyShareReport applies the part of a linked daemon's report that concerns allotments.
func (s *state) applyShareReport(now wick.Instant, m *linkedDaemon, r *wick.AllotmentReport) {
	if r == nil || !s.sharesLimited() {
		return
	}
	s.refreshShares(now)
	host := m.instance.Host
	reply := &wick.AllotmentReply{Number: r.Number, Config: s.facts.ServingConfig().Version}
	for i, h := range s.shares.holders {
		switch {
		case h == nil:
		case slices.Contains(r.Shards, wick.Shard(i)):
			h.Join(now, host)
			reply.Shards = append(reply.Shards, wick.Shard(i))
		default:
			h.Leave(now, host)
		}
	}
	reply.Grants = s.grants(now, host, r.Asks)
	told := s.shares.told[host]
	if r.Number == 0 && told.link == m.link && told.config == reply.Config && slices.Equal(told.shards, reply.Shards) {
		return
	}
	s.shares.told[host] = toldShares{m.link, reply.Shards, reply.Config}
	u := s.baseUpdate()
	u.Allotments = reply
	m.link.Post(wick.LinkMessage{Update: u})
}

// applyShareReply applies a holder's answer.
func (s *state) applyShareReply(now wick.Instant, h *holder, r *wick.AllotmentReply) {
	if r == nil || !s.sharesLimited() {
		return
	}
	for i := range s.shares.sources {
		src := &s.shares.sources[i]
		if src.link != h.link {
			continue
		}
		src.confirmed, src.config = slices.Contains(r.Shards, wick.Shard(i)), r.Config
	}
	s.refreshShares(now)
	if len(r.Grants) > 0 && s.cfg.Shares.Granted(now, r.Number, r.Grants) {
		s.askUnits(now)
	}
}
