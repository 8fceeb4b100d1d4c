package loads

import (
	"fmt"
	"time"

	"currantwick"
	"currantwick/fakes"
)

const (
	modelName   wick.ModelName   = "base"
	storeName   wick.StoreName   = "weights"
	servicePool wick.PoolName    = "services"
	version     wick.VersionName = "v1"
	// modelContext is the maximum length of prompt and answer together.
	modelContext wick.Tokens = 32768
	// adapterSize is the size of an adapter's weights.
	adapterSize wick.Bytes = 64 << 20
	// adaptersPerChange is the maximum number of adapters in one change.
	adaptersPerChange = 500
)

// ref returns the adapter version of the adapter with a number.
func ref(adapter int) wick.Ref {
	return wick.Ref{Adapter: wick.AdapterName(fmt.Sprintf("adapter-%d", adapter)), Version: version}
}

// routeOf returns the name of the route to an adapter for requests of a kind.
func routeOf(k Kind, adapter int) wick.RouteName {
	if k.IsCall() {
		return wick.RouteName(k.Name)
	}
	return wick.RouteName(fmt.Sprintf("%s-%d", k.Name, adapter))
}

// changes returns the configuration of a scene, split into changes of at most
// adaptersPerChange adapters.
func changes(s Scene, at fakes.Addresses) []wick.Change {
	out := []wick.Change{{ID: "base", Operator: "wickload", Puts: baseObjects(s, at)}}
	for from := 0; from < s.Adapters; from += adaptersPerChange {
		var o wick.Objects
		for a := from; a < min(s.Adapters, from+adaptersPerChange); a++ {
			putAdapter(s, &o, a)
		}
		id := wick.ChangeID(fmt.Sprintf("adapters-%d", from))
		out = append(out, wick.Change{ID: id, Operator: "wickload", Puts: o})
	}
	return out
}

// baseObjects returns the objects of a scene except adapters and their routes.
func baseObjects(s Scene, at fakes.Addresses) wick.Objects {
	o := wick.Objects{
		Models: []wick.Model{{Name: modelName, Context: modelContext}},
		Stores: []wick.Store{{Name: storeName, Rate: s.Store.Rate, FullSpeed: s.Store.FullSpeed, Knee: s.Store.Knee}},
		Pools:  []wick.Pool{{Name: servicePool, Kind: wick.ServiceEndpoint}},
	}
	engines := at.Engines
	for _, p := range s.Pools {
		o.Pools = append(o.Pools, wick.Pool{Name: p.Name, Kind: wick.RunnerEndpoint, Model: modelName, Store: storeName})
		for i, a := range engines[:p.Runners] {
			e := endpoint(s, p.Name, i, a)
			e.BatchSlots, e.AdapterSlots = s.Engine.BatchSlots, s.Engine.AdapterSlots
			o.Endpoints = append(o.Endpoints, e)
		}
		engines = engines[p.Runners:]
	}
	for i, a := range at.Services {
		e := endpoint(s, servicePool, i, a)
		e.BatchSlots = serviceSlots
		o.Endpoints = append(o.Endpoints, e)
	}
	for _, k := range s.Kinds {
		o.Priorities = append(o.Priorities, wick.Priority{
			Name: k.Name, Level: k.Level, Deadline: k.Deadline, Sheddable: k.Sheddable,
		})
		if k.IsCall() {
			o.Routes = append(o.Routes, wick.Route{
				Name: routeOf(k, 0), Pool: servicePool, Priority: k.Name, Path: "/run", NonIdempotent: true,
			})
		}
	}
	return o
}

// serviceSlots is the number of concurrent calls that a plain service accepts.
const serviceSlots wick.Slots = 32

func endpoint(s Scene, pool wick.PoolName, i int, at wick.Address) wick.Endpoint {
	return wick.Endpoint{
		Name:    wick.EndpointName(fmt.Sprintf("%s-%d", pool, i+1)),
		Pool:    pool,
		Host:    wick.HostName(fmt.Sprintf("%s-host-%d", pool, i+1)),
		Domain:  s.Domains[i%len(s.Domains)],
		Address: at,
	}
}

// putAdapter adds an adapter, its version, and the routes to it.
func putAdapter(s Scene, o *wick.Objects, adapter int) {
	r := ref(adapter)
	o.Adapters = append(o.Adapters, wick.Adapter{Name: r.Adapter, Model: modelName})
	o.Versions = append(o.Versions, wick.Version{
		Adapter: r.Adapter, Name: r.Version, Source: "adapters/" + string(r.Adapter), Size: adapterSize,
	})
	for _, k := range s.Kinds {
		if k.IsCall() || k.Adapters > 0 && adapter >= k.Adapters {
			continue
		}
		o.Routes = append(o.Routes, wick.Route{Name: routeOf(k, adapter), Pool: k.Pool, Priority: k.Name, Ref: r})
	}
}

// slots returns the number of adapter slots of all runners of a pool.
func (s Scene) slots(pool wick.PoolName) int {
	n := 0
	for _, p := range s.Pools {
		if p.Name == pool {
			n += p.Runners * int(s.Engine.AdapterSlots)
		}
	}
	return n
}

// fullRate returns the tokens per second that the runners of a pool generate with
// full batches.
func (s Scene) fullRate(pool wick.PoolName) float64 {
	e := s.Engine
	step := e.Base.Std() + time.Duration(e.BatchSlots)*e.PerSequence.Std()
	for _, p := range s.Pools {
		if p.Name == pool {
			return float64(p.Runners) * float64(e.BatchSlots) / step.Seconds()
		}
	}
	return 0
}
