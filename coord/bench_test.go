package coord

import (
	"fmt"
	"testing"
	"time"

	"currantwick"
	"currantwick/terms"
)

// The size of a large deployment.
const (
	benchDaemons   = 72
	benchEndpoints = 90
)

// large returns the state of a daemon that holds every shard or none, with all
// endpoints and, if it is a holder, links to all daemons.
func large(b *testing.B, holds bool) (*harness, []wick.EndpointName, []*link) {
	b.Helper()
	w := newHarness(b, true)
	w.start(b)
	var names []wick.EndpointName
	for i := range benchEndpoints {
		name := wick.EndpointName(fmt.Sprintf("i-%08x", i*7919))
		names = append(names, name)
		w.read(0, wick.TopicRunners, record(b, wick.Offset(i+1), string(name), wick.Fact{Runner: &wick.Runner{
			Name: name, Pool: "p", Address: "x:1", Domain: "d", Slots: 32, Models: []wick.ModelName{"m"},
		}}))
	}
	host := wick.HostName("a")
	if !holds {
		host = "h"
	}
	for i := range terms.Shards {
		w.read(0, wick.TopicDaemons, record(b, wick.Offset(10+i), fmt.Sprintf("%s%d", keyTerm, i), terms.Claim{Shard: wick.Shard(i), Holder: host, Incarnation: 1}))
	}
	var links []*link
	if holds {
		for i := range benchDaemons {
			l := &link{}
			links = append(links, l)
			linkUp{link: l, to: instance(fmt.Sprintf("d%d", i), 1)}.apply(w.state, 0)
		}
	} else {
		l := &link{}
		links = append(links, l)
		linkUp{link: l, to: instance("h", 1), dialed: "h:1"}.apply(w.state, 0)
		u := &wick.HolderUpdate{}
		for i := range benchDaemons {
			u.Instances = append(u.Instances, wick.InstanceState{Instance: instance(fmt.Sprintf("d%d", i), 1), Ready: true})
		}
		linkMessage{l, wick.LinkMessage{Update: u}}.apply(w.state, 0)
	}
	return w, names, links
}

// BenchmarkHolderSecond simulates a second of a holder that receives 20 reports
// from each daemon.
func BenchmarkHolderSecond(b *testing.B) {
	w, names, links := large(b, true)
	weights := wick.Weights{Model: "m", Adapter: "a1"}
	now, n := ms(1000), 0
	for b.Loop() {
		for range 20 {
			now = now.Add(50 * time.Millisecond)
			for i, l := range links {
				if n++; n%2 == i%2 {
					continue
				}
				name := names[n%len(names)]
				r := &wick.InstanceReport{
					Ready: true,
					Loads: []wick.NamedLoad{{Endpoint: name, Load: wick.EndpointLoad{Running: n % 5}}},
					Uses:  []wick.AdapterUse{{Endpoint: name, Weights: weights, Count: n % 3}},
				}
				linkMessage{l, wick.LinkMessage{Report: r}}.apply(w.state, now)
				w.step(now)
				if w.dirty {
					w.buildView(now)
				}
				l.sent = l.sent[:0]
			}
			w.tick(now)
			w.step(now)
			w.buildView(now)
		}
	}
}

// BenchmarkNonHolderSecond simulates a second of a daemon to which a holder
// sends loads ten times and the state of an adapter fifty times.
func BenchmarkNonHolderSecond(b *testing.B) {
	w, names, links := large(b, false)
	now, n := ms(1000), 0
	for b.Loop() {
		for i := range 60 {
			now = now.Add(time.Second / 60)
			u := &wick.HolderUpdate{}
			if i%6 == 0 {
				for range maxLoadsPerUpdate {
					n++
					u.Loads = append(u.Loads, wick.NamedLoad{Endpoint: names[n%len(names)], Load: wick.EndpointLoad{Running: n % 17}})
				}
			} else {
				n++
				u.Placements = append(u.Placements, wick.AdapterPlacement{Endpoint: names[n%len(names)], Weights: wick.Weights{Model: "m", Adapter: wick.AdapterName(fmt.Sprint("a", n%990))}})
			}
			linkMessage{links[0], wick.LinkMessage{Update: u}}.apply(w.state, now)
			w.tick(now)
			w.step(now)
			w.buildView(now)
			links[0].sent = links[0].sent[:0]
		}
	}
}
