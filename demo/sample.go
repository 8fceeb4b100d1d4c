package demo

import (
	"fmt"
	"time"

	"currantwick"
	"currantwick/fakes"
)

const (
	modelName    wick.ModelName = "base"
	answerTokens wick.Tokens    = 12
)

// sampleChange returns a change that publishes a configuration for the fakes at
// the given addresses.
func sampleChange(addrs fakes.Addresses) wick.Change {
	o := wick.Objects{
		Models:     []wick.Model{{Name: modelName, Context: 4096}},
		Stores:     []wick.Store{{Name: "weights", Rate: 20, FullSpeed: 4, Knee: 16}},
		Priorities: []wick.Priority{{Name: "normal", Level: 5, Deadline: wick.Duration(10 * time.Second)}},
		Pools: []wick.Pool{
			{Name: "runners", Kind: wick.RunnerEndpoint, Model: modelName, Store: "weights"},
			{Name: "desk", Kind: wick.ServiceEndpoint},
		},
		Routes: []wick.Route{{
			Name: "confirm", Pool: "desk", Priority: "normal",
			Path: "/confirm", NonIdempotent: true,
		}},
	}
	for _, name := range []string{"alpha", "beta"} {
		ref := wick.Ref{Adapter: wick.AdapterName(name), Version: "v1"}
		o.Adapters = append(o.Adapters, wick.Adapter{Name: ref.Adapter, Model: modelName})
		o.Versions = append(o.Versions, wick.Version{
			Adapter: ref.Adapter, Name: ref.Version,
			Source: "adapters/" + name + "/v1", Size: 64 << 20,
		})
		o.Routes = append(o.Routes, wick.Route{
			Name: wick.RouteName(name), Pool: "runners", Priority: "normal", Ref: ref,
		})
	}
	for i, a := range addrs.Engines {
		o.Endpoints = append(o.Endpoints, endpoint("runner", "runners", i, a, 2))
	}
	for i, a := range addrs.Services {
		o.Endpoints = append(o.Endpoints, endpoint("desk", "desk", i, a, 0))
	}
	return wick.Change{ID: "demo", Operator: "demo", Puts: o}
}

func endpoint(kind string, pool wick.PoolName, i int, addr wick.Address, adapters wick.Slots) wick.Endpoint {
	return wick.Endpoint{
		Name:         wick.EndpointName(fmt.Sprintf("%s-%d", kind, i+1)),
		Pool:         pool,
		Host:         wick.HostName(fmt.Sprintf("%s-host-%d", kind, i+1)),
		Domain:       wick.Domain(fmt.Sprintf("domain-%d", i+1)),
		Address:      addr,
		BatchSlots:   4,
		AdapterSlots: adapters,
	}
}
