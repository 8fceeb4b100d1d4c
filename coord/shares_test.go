package coord

import (
	"fmt"
	"testing"
	"time"

	"currantwick"
	"currantwick/share"
	"currantwick/tally"
	"currantwick/terms"
)

const sharesTeam = wick.TeamName("t")

// limitedDecoder adds a team with a limit to each configuration.
type limitedDecoder struct{ decoder }

func (d limitedDecoder) Decode(topic wick.Topic, rec wick.KeyedRecord) (wick.Fact, error) {
	f, err := d.decoder.Decode(topic, rec)
	if f.ServingConfig != nil {
		team := &wick.Team{Name: sharesTeam, Allotment: wick.Allotment{Rate: 10, Burst: 10}}
		f.ServingConfig.Teams = &wick.Teams{ByName: map[wick.TeamName]*wick.Team{sharesTeam: team}}
	}
	return f, err
}

// limited returns a control state with a configuration that limits a team, where a host
// has the term of the team's shard, and the shares of its traffic.
func limited(t *testing.T, self, holder string, version uint64) (*harness, *tally.Shares) {
	t.Helper()
	w := newHarness(t, true)
	limits := share.Config{Window: 8 * time.Second}
	shares := tally.NewShares(tally.SharesConfig{Clock: fixedClock{}, Limits: limits, Ask: func() {}})
	w.cfg.Self, w.cfg.Shares, w.cfg.ShareLimits = instance(self, 1), shares, limits
	w.terms = terms.New(terms.Config{Self: w.cfg.Self.Host, Incarnation: 1, Lease: 3 * time.Second, RequireFencing: true})
	w.cfg.Decoder = limitedDecoder{}
	w.read(0, wick.TopicConfig, record(t, 0, "site", wick.Fact{ServingConfig: &wick.ServingConfig{Version: version}}))
	sh := share.ShardOf(sharesTeam)
	w.read(0, wick.TopicDaemons,
		record(t, 0, keyDaemon+self, instance(self, 1)),
		record(t, 1, fmt.Sprintf("%s%d", keyTerm, sh), terms.Claim{Shard: sh, Holder: wick.HostName(holder), Incarnation: 1}))
	return w, shares
}

// present reports whether the daemon has a holder for the team: it then asks that one, and
// else takes the request from its own part.
func present(s *tally.Shares) bool {
	s.Take(canceled{}, sharesTeam, wick.Allotment{Rate: 10, Burst: 10}, 1)
	for _, team := range s.State() {
		return !team.Alone
	}
	return false
}

// canceled is a context that has ended.
type canceled struct{ wick.Context }

func (canceled) Done() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func TestHolderAnswersAsks(t *testing.T) {
	sh := share.ShardOf(sharesTeam)
	asks := []wick.AllotmentAsk{{Team: sharesTeam, Needs: []wick.Units{5}}}
	tests := []struct {
		name   string
		holder string
		report *wick.AllotmentReport
		// want is the answer; nil for none.
		want *wick.AllotmentReply
	}{
		{"nothing about allotments", "a", nil, nil},
		{"takes units here", "a", &wick.AllotmentReport{Shards: []wick.Shard{sh}}, &wick.AllotmentReply{Shards: []wick.Shard{sh}}},
		{"asks", "a", &wick.AllotmentReport{Number: 7, Shards: []wick.Shard{sh}, Asks: asks}, &wick.AllotmentReply{Number: 7, Shards: []wick.Shard{sh}, Grants: []wick.AllotmentGrant{{Units: 5}}}},
		{"asks a daemon that is not the holder", "c", &wick.AllotmentReport{Number: 7, Shards: []wick.Shard{sh}, Asks: asks}, &wick.AllotmentReply{Number: 7}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w, _ := limited(t, "a", test.holder, 1)
			b := &link{}
			linkUp{b, instance("b", 2), ""}.apply(w.state, 0)
			for at := range 20 {
				w.report(b, true, ms(50*at))
				w.tick(ms(50 * at))
			}
			// The holder counts the daemon only from its report on; let its bucket fill.
			w.applyShareReport(ms(960), w.linkedDaemons[b], &wick.AllotmentReport{Shards: []wick.Shard{sh}})
			w.tick(ms(1000))
			w.tick(ms(1900))
			if test.report == nil || len(test.report.Asks) == 0 {
				w.shares.told = make(map[wick.HostName]toldShares)
			}
			b.sent = nil
			linkMessage{b, wick.LinkMessage{Report: &wick.InstanceReport{Ready: true, Allotments: test.report}}}.apply(w.state, ms(1950))
			var got *wick.AllotmentReply
			for _, m := range b.sent {
				if m.Update != nil && m.Update.Allotments != nil {
					got = m.Update.Allotments
				}
			}
			if (got == nil) != (test.want == nil) {
				t.Fatalf("got %+v, want %+v", got, test.want)
			}
			if got != nil && (got.Number != test.want.Number || len(got.Shards) != len(test.want.Shards) || len(got.Grants) != len(test.want.Grants) || len(got.Grants) > 0 && got.Grants[0].Units != test.want.Grants[0].Units) {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// A daemon must use the units of one holder only, and its own part if that one is lost or
// may not know of a lowered limit.
func TestShareSource(t *testing.T) {
	sh := share.ShardOf(sharesTeam)
	confirm := func(config uint64) *wick.AllotmentReply {
		return &wick.AllotmentReply{Shards: []wick.Shard{sh}, Config: config}
	}
	tests := []struct {
		name string
		// replies come from the holder, at 100 ms and after.
		replies []*wick.AllotmentReply
		lost    bool
		// at is when the daemon is looked at.
		at int
		// present is set if it has a holder, and joined if its last report names the shard.
		present, joined bool
	}{
		{"no answer", nil, false, 300, false, true},
		{"no answer for long", nil, false, 5000, false, true},
		{"confirmed", []*wick.AllotmentReply{confirm(3)}, false, 300, true, true},
		{"confirmed by the holder of another shard", []*wick.AllotmentReply{{Config: 3}}, false, 300, false, true},
		{"older configuration", []*wick.AllotmentReply{confirm(2)}, false, 1500, true, true},
		{"older configuration for long", []*wick.AllotmentReply{confirm(2)}, false, 2000, false, false},
		{"older configuration, then the same", []*wick.AllotmentReply{confirm(2), confirm(3)}, false, 5000, true, true},
		{"lost", []*wick.AllotmentReply{confirm(3)}, true, 400, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w, shares := limited(t, "a", "h", 3)
			h := &link{}
			linkUp{h, instance("h", 1), "h:1"}.apply(w.state, ms(10))
			w.step(ms(10))
			for at := 50; at <= test.at; at += 50 {
				if i := at/50 - 2; i >= 0 && i < len(test.replies) {
					linkMessage{h, wick.LinkMessage{Update: &wick.HolderUpdate{Allotments: test.replies[i]}}}.apply(w.state, ms(at))
				}
				if test.lost && at == 300 {
					linkDown{h, nil}.apply(w.state, ms(at))
				}
				w.step(ms(at))
				w.tick(ms(at))
			}
			joined := false
			for _, m := range h.sent {
				if m.Report != nil && m.Report.Allotments != nil {
					joined = len(m.Report.Allotments.Shards) > 0
				}
			}
			if got := present(shares); got != test.present || !test.lost && joined != test.joined {
				t.Errorf("has a holder: %v, takes part: %v; want %v, %v", got, joined, test.present, test.joined)
			}
		})
	}
}

// A deployment without limited teams sends the same messages as before.
func TestNoAllotmentMessages(t *testing.T) {
	w := newHarness(t, true)
	w.start(t)
	b := &link{}
	linkUp{b, instance("b", 2), ""}.apply(w.state, 0)
	w.report(b, true, 0)
	w.tick(ms(50))
	w.tick(ms(400))
	for _, m := range b.sent {
		if m.Update != nil && m.Update.Allotments != nil {
			t.Errorf("sent %+v", m.Update.Allotments)
		}
	}
	if h := (&holder{link: b}); w.shareReport(0, h, false) != nil {
		t.Error("reports allotments")
	}
}

// After a change of holders and back within one report, the holder did not repeat that it
// gives out units, and the daemon used only its own part of the rate from then on.
func TestSourceConfirmedAgain(t *testing.T) {
	sh := share.ShardOf(sharesTeam)
	a, _ := limited(t, "a", "h", 1)
	toHolder, toDaemon := &link{}, &link{}
	linkUp{toHolder, instance("h", 1), "h:1"}.apply(a.state, ms(10))
	h, _ := limited(t, "h", "h", 1)
	linkUp{toDaemon, instance("a", 1), ""}.apply(h.state, ms(10))
	h.report(toDaemon, true, ms(10))
	// exchange passes a report and its answer on, and returns how many answers there were.
	exchange := func(now wick.Instant) int {
		r := a.shareReport(now, a.holders["h"], false)
		toDaemon.sent = nil
		h.applyShareReport(now, h.linkedDaemons[toDaemon], r)
		for _, m := range toDaemon.sent {
			a.applyShareReply(now, a.holders["h"], m.Update.Allotments)
		}
		return len(toDaemon.sent)
	}
	a.step(ms(20))
	if exchange(ms(50)); !a.shares.sources[sh].present {
		t.Fatal("not confirmed at first")
	}
	if n := exchange(ms(100)); n != 0 {
		t.Errorf("%d answers to a report that changes nothing, want none", n)
	}
	a.shares.sources[sh] = shareSource{olderSince: -1} // As for another holder.
	a.refreshShares(ms(110))
	if exchange(ms(150)); !a.shares.sources[sh].present {
		t.Error("not confirmed after a change of holders and back")
	}
}
