package direct_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"currantwick"
	"currantwick/coord"
)

// A request for an adapter that no endpoint can ever hold waited for it to be loaded.
func TestAdapterWithoutRoom(t *testing.T) {
	const second = wick.ModelName("n")
	loaded := func(list ...wick.Weights) map[wick.Weights]coord.Residence {
		m := make(map[wick.Weights]coord.Residence)
		for _, w := range list {
			m[w] = coord.Residence{Revision: 1}
		}
		return m
	}
	tests := []struct {
		name   string
		engine wick.PoolEngine
		held   map[wick.Weights]coord.Residence
		want   wick.Weights
		// served is set if the request is sent, and asked if its adapter is asked for.
		served, asked bool
	}{
		{"room for it", wick.PoolEngine{AdapterSlots: 4, WeightMemory: 100, Models: []wick.ModelConfig{{Name: "m", Size: 60, AdapterSize: 40}}}, loaded(model), adapter, false, true},
		{"too large beside its model", wick.PoolEngine{AdapterSlots: 4, WeightMemory: 100, Models: []wick.ModelConfig{{Name: "m", Size: 60, AdapterSize: 41}}}, loaded(model), adapter, false, false},
		{"too large, but loaded", wick.PoolEngine{AdapterSlots: 4, WeightMemory: 100, Models: []wick.ModelConfig{{Name: "m", Size: 60, AdapterSize: 41}}}, loaded(model, adapter), adapter, true, false},
		{"no limit of memory", wick.PoolEngine{AdapterSlots: 4, Models: []wick.ModelConfig{{Name: "m", Size: 60, AdapterSize: 41}}}, loaded(model), adapter, false, true},
		{"no slots", wick.PoolEngine{Models: []wick.ModelConfig{{Name: "m"}}}, loaded(model), adapter, false, false},
		{"a model that does not fit beside another", wick.PoolEngine{AdapterSlots: 4, WeightMemory: 100, Models: []wick.ModelConfig{{Name: "m", Size: 60}, {Name: second, Size: 50}}}, loaded(model), wick.Weights{Model: second}, false, false},
		{"a model that fits beside another", wick.PoolEngine{AdapterSlots: 4, WeightMemory: 110, Models: []wick.ModelConfig{{Name: "m", Size: 60}, {Name: second, Size: 50}}}, loaded(model), wick.Weights{Model: second}, false, true},
		{"an adapter of a model that does not fit beside another", wick.PoolEngine{AdapterSlots: 4, WeightMemory: 100, Models: []wick.ModelConfig{{Name: "m", Size: 60}, {Name: second, Size: 50}}}, loaded(model), wick.Weights{Model: second, Adapter: "a"}, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := &control{view: view(route(wick.KindStream, "llm", 1, false))}
			c.view.ServingConfig.Pools["llm"] = wick.PoolConfig{Name: "llm", Engine: &test.engine}
			for _, r := range c.view.Pools["llm"] {
				r.Adapters = test.held
			}
			send := &sender{replies: []reply{{status: 200, body: "id: 1\n\n"}}}
			x := &wick.Exchange{Request: "q", Host: "h", Path: "/x", Method: "POST", Target: "/x", Model: test.want.Model, Adapter: test.want.Adapter}
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			began := time.Now()
			err := server(t, c, send, budget(t, 1000)).Forward(ctx, x, &writer{})
			if served := len(send.sent) > 0; served != test.served || (len(c.wants) > 0) != test.asked {
				t.Fatalf("sent %d times, asked for %v; want %v and %v: %v", len(send.sent), c.wants, test.served, test.asked, err)
			}
			if test.served || test.asked {
				return
			}
			e := wick.AsError(err)
			if took := time.Since(began); e.Outcome != wick.NotRun || e.RetryAfter <= 0 || took > 200*time.Millisecond || !strings.Contains(e.Text, test.want.String()) {
				t.Errorf("refused after %v with %+v; want NotRun at once, with a time to come back and the adapter's name", took, e)
			}
		})
	}
}

// A prompt that exceeds the memory of every endpoint was sent to one after the other,
// each of which refused it as if it were full.
func TestPromptWithoutRoom(t *testing.T) {
	tests := []struct {
		name          string
		limit, prompt wick.Tokens
		sends         int
	}{
		{"fits", 1000, 1000, 1},
		{"too long", 1000, 1001, 0},
		{"no limit given", 0, 1001, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := &control{view: view(route(wick.KindStream, "llm", 1, false))}
			c.view.ServingConfig.Pools["llm"].Engine.CacheTokens = test.limit
			send := &sender{replies: []reply{{status: 200, body: "id: 1\n\n"}}}
			x := &wick.Exchange{Request: "q", Host: "h", Path: "/x", Method: "POST", Target: "/x", Model: "m", Adapter: "a", PromptTokens: test.prompt}
			err := server(t, c, send, budget(t, 1000)).Forward(t.Context(), x, &writer{})
			if len(send.sent) != test.sends {
				t.Fatalf("sent %d times, want %d: %v", len(send.sent), test.sends, err)
			}
			if e := wick.AsError(err); test.sends == 0 && (e.Outcome != wick.NotRun || e.RetryAfter <= 0) {
				t.Errorf("refused with %+v, want NotRun with a time to come back", e)
			}
		})
	}
}
