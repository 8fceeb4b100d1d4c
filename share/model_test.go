package share

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"currantwick"
)

// The model runs daemons on a simulated clock: their clients, the holders, the links
// between them and a store with the records of terms. All teams are in one shard.

const (
	modelStep = 5 * time.Millisecond
	// modelTerm is how long it takes until a lost holder is replaced, and modelRead how
	// long a daemon takes to read the record of a term.
	modelTerm = 1200 * time.Millisecond
	modelRead = 200 * time.Millisecond
	// modelWait is how long requests wait for an answer.
	modelWait = 80 * time.Millisecond
)

// modelDaemon is a daemon of the model.
type modelDaemon struct {
	host   wick.HostName
	client *Client
	holder *Holder
	// source is the daemon that it takes for the holder, joined whether that one
	// answered, and heard when it last heard of it.
	source *modelDaemon
	joined bool
	heard  wick.Instant
	// frozen and cut are the instants until which the process stands still and can't
	// reach the store; side is the part of the network that it can reach.
	frozen, cut wick.Instant
	side        int
	sentAt      wick.Instant
	number      uint64
	inbox       []modelMessage
	waits       []modelWaiter
}

type modelMessage struct {
	at     wick.Instant
	from   *modelDaemon
	report *wick.AllotmentReport
	reply  *wick.AllotmentReply
}

type modelWaiter struct {
	waiter *Waiter
	team   wick.TeamName
	units  float64
	until  wick.Instant
}

// modelUse is a request that was admitted.
type modelUse struct {
	at    wick.Instant
	units float64
}

type model struct {
	random  *rand.Rand
	now     wick.Instant
	cfg     Config
	daemons []*modelDaemon
	teams   map[wick.TeamName]wick.Allotment
	// names has the teams in an order that is the same in each run.
	names []wick.TeamName
	// term is the holder of the newest term, since termAt; vacant is since when it was
	// not heard, -1 if it is.
	term   *modelDaemon
	termAt wick.Instant
	vacant wick.Instant
	used   map[wick.TeamName][]modelUse
	// refused counts the refusals by result.
	refused [wick.NumAllotmentResults]int
	taken   int
	// lossy is set if links lose messages.
	lossy bool
}

var modelLimits = Config{Window: 8 * time.Second, Overshoot: 0.1, Slack: 72_000}

func newModel(seed uint64, daemons int, teams map[wick.TeamName]wick.Allotment) *model {
	m := &model{
		names:  slices.Sorted(maps.Keys(teams)),
		random: rand.New(rand.NewPCG(seed, 2)), cfg: modelLimits, teams: teams, vacant: -1,
		used: make(map[wick.TeamName][]modelUse),
	}
	for i := range daemons {
		d := &modelDaemon{host: wick.HostName(fmt.Sprintf("h%d", i)), sentAt: -1 << 60}
		d.client = NewClient(0, m.cfg)
		m.daemons = append(m.daemons, d)
	}
	m.term = m.daemons[0]
	return m
}

func (m *model) reaches(a, b *modelDaemon) bool { return a.side == b.side }

func (m *model) post(from, to *modelDaemon, msg modelMessage) {
	if !m.reaches(from, to) || m.lossy && m.random.IntN(20) == 0 {
		return
	}
	msg.from, msg.at = from, m.now.Add(time.Duration(1+m.random.IntN(8))*time.Millisecond)
	to.inbox = append(to.inbox, msg)
}

// restart replaces the process of a daemon.
func (m *model) restart(d *modelDaemon) {
	d.client, d.holder, d.source, d.joined = NewClient(m.now, m.cfg), nil, nil, false
	d.inbox, d.waits = nil, nil
	d.number += 1 << 32
	if m.term == d {
		m.term, m.termAt = nil, m.now
	}
}

// step advances the clock.
func (m *model) step() {
	m.now = m.now.Add(modelStep)
	m.elect()
	for _, d := range m.daemons {
		if m.now >= d.frozen {
			m.run(d)
		}
	}
}

// elect replaces a holder that the store's side of the network has not heard for a while.
func (m *model) elect() {
	if m.term != nil && m.now >= m.term.frozen && m.now >= m.term.cut && m.term.side == 0 {
		m.vacant = -1
		return
	}
	if m.vacant < 0 {
		m.vacant = m.now
	}
	d := m.daemons[m.random.IntN(len(m.daemons))]
	if m.now.Sub(m.vacant) >= modelTerm && m.now >= d.frozen && m.now >= d.cut && d.side == 0 {
		m.term, m.termAt, m.vacant = d, m.now, -1
	}
}

// run lets a daemon do what is due.
func (m *model) run(d *modelDaemon) {
	due := d.inbox
	d.inbox = nil
	for _, msg := range due {
		if msg.at > m.now {
			d.inbox = append(d.inbox, msg)
			continue
		}
		m.receive(d, msg)
	}
	m.follow(d)
	if d.holder != nil {
		d.holder.Join(m.now, d.host)
		d.holder.Tick(m.now, len(m.daemons))
	}
	d.client.SetDaemons(len(m.daemons))
	m.report(d)
	d.waits = slices.DeleteFunc(d.waits, func(w modelWaiter) bool {
		select {
		case <-w.waiter.Done:
			m.count(w.team, w.units, w.waiter.Verdict)
			return true
		default:
		}
		if m.now >= w.until {
			m.count(w.team, w.units, d.client.Cancel(m.now, w.team, w.waiter))
			return true
		}
		return false
	})
}

func (m *model) shard() wick.Shard {
	return ShardOf(m.names[0])
}

// follow reads the newest term from the store, and gives up a holder that is silent.
func (m *model) follow(d *modelDaemon) {
	if d.source != nil && d.source != d && m.now.Sub(d.heard) > memberTimeout {
		d.joined, d.heard = false, m.now
		d.client.SetHolder(m.now, m.shard(), false)
	}
	if m.term == nil || m.term == d.source || m.now < d.cut || d.side != 0 || m.now.Sub(m.termAt) < modelRead {
		return
	}
	if d.joined {
		d.client.SetHolder(m.now, m.shard(), false)
		if d.source != d {
			m.post(d, d.source, modelMessage{report: &wick.AllotmentReport{}})
		}
	}
	d.source, d.joined, d.heard, d.holder = m.term, false, m.now, nil
	if d.source == d {
		d.holder, d.joined = NewHolder(m.now, m.cfg), true
		d.client.SetHolder(m.now, m.shard(), true)
	}
}

// report asks the holder for units, and tells it that it is the holder.
func (m *model) report(d *modelDaemon) {
	regular := m.now.Sub(d.sentAt) >= 100*time.Millisecond
	if d.source == nil || !regular && len(d.waits) == 0 {
		return
	}
	r := &wick.AllotmentReport{Number: d.number + 1, Shards: []wick.Shard{m.shard()}}
	if d.joined {
		r.Asks = d.client.Asks(m.now, m.shard(), r.Number, !regular)
	}
	if !regular && len(r.Asks) == 0 {
		return
	}
	d.number++
	if regular {
		d.sentAt = m.now
	}
	if d.source == d {
		d.client.Granted(m.now, r.Number, m.answer(d, d, r))
		return
	}
	m.post(d, d.source, modelMessage{report: r})
}

func (m *model) answer(holder, from *modelDaemon, r *wick.AllotmentReport) []wick.AllotmentGrant {
	var grants []wick.AllotmentGrant
	for _, ask := range r.Asks {
		grants = append(grants, holder.holder.Answer(m.now, from.host, ask, m.teams[ask.Team]))
	}
	return grants
}

func (m *model) receive(d *modelDaemon, msg modelMessage) {
	switch {
	case msg.report != nil && d.holder != nil && len(msg.report.Shards) == 0:
		d.holder.Leave(m.now, msg.from.host)
	case msg.report != nil && d.holder != nil:
		d.holder.Join(m.now, msg.from.host)
		m.post(d, msg.from, modelMessage{reply: &wick.AllotmentReply{Number: msg.report.Number, Grants: m.answer(d, msg.from, msg.report)}})
	case msg.reply != nil && d.source == msg.from:
		d.heard = m.now
		if !d.joined {
			d.joined = true
			d.client.SetHolder(m.now, m.shard(), true)
		}
		d.client.Granted(m.now, msg.reply.Number, msg.reply.Grants)
	}
}

// request lets a daemon take units for a request.
func (m *model) request(d *modelDaemon, team wick.TeamName, units float64) {
	if m.now < d.frozen {
		return
	}
	v, w := d.client.Take(m.now, team, m.teams[team], units)
	if w == nil {
		m.count(team, units, v)
		return
	}
	d.waits = append(d.waits, modelWaiter{w, team, units, m.now.Add(modelWait)})
}

func (m *model) count(team wick.TeamName, units float64, v wick.AllotmentVerdict) {
	if v.Result != wick.UnitsTaken {
		m.refused[v.Result]++
		return
	}
	m.taken++
	m.used[team] = append(m.used[team], modelUse{m.now, units})
}

// worst returns the largest part of its bound that a team used in any window.
func (m *model) worst(team wick.TeamName) float64 {
	a, list := m.teams[team], m.used[team]
	bound := (float64(a.Rate)*m.cfg.Window.Seconds()+a.Burst)*(1+m.cfg.Overshoot) + m.cfg.slack(a)
	sum, most, from := 0.0, 0.0, 0
	for _, u := range list {
		sum += u.units
		for u.at.Sub(list[from].at) > m.cfg.Window {
			sum -= list[from].units
			from++
		}
		most = max(most, sum)
	}
	return most / bound
}

// drawUnits draws the size of a request: mostly 650, up to 40,000.
func (m *model) drawUnits() float64 {
	if m.random.IntN(20) > 0 {
		return float64(300 + m.random.IntN(700))
	}
	return float64(1000 + m.random.IntN(39_000))
}
