package config

import (
	"fmt"

	"currantwick"
)

// objectRef is a reference from a field of an object to another object.
type objectRef struct {
	field string
	key   wick.ObjectKey
}

// objectRefs lists the references of an object.
func objectRefs(o wick.Object) []objectRef {
	switch v := o.(type) {
	case wick.Adapter:
		return []objectRef{modelRef(v.Model)}
	case wick.Version:
		return []objectRef{{"Adapter", wick.ObjectKey{Kind: wick.KindAdapter, Name: string(v.Adapter)}}}
	case wick.Pool:
		if v.Kind != wick.RunnerEndpoint {
			return nil
		}
		return []objectRef{
			modelRef(v.Model),
			{"Store", wick.ObjectKey{Kind: wick.KindStore, Name: string(v.Store)}},
		}
	case wick.Endpoint:
		return []objectRef{poolRef(v.Pool)}
	case wick.Route:
		out := []objectRef{
			poolRef(v.Pool),
			{"Priority", wick.ObjectKey{Kind: wick.KindPriority, Name: string(v.Priority)}},
		}
		if !v.Ref.IsBase() {
			out = append(out, objectRef{"Ref", wick.VersionKey(v.Ref)})
		}
		return out
	}
	return nil
}

func modelRef(name wick.ModelName) objectRef {
	return objectRef{"Model", wick.ObjectKey{Kind: wick.KindModel, Name: string(name)}}
}

func poolRef(name wick.PoolName) objectRef {
	return objectRef{"Pool", wick.ObjectKey{Kind: wick.KindPool, Name: string(name)}}
}

// ruleViolation is a rule that an object violates.
type ruleViolation struct {
	Rule wick.Rule
	Text string
}

// checkObject returns the rules that an object violates among the objects of t.
func checkObject(t *Table, o wick.Object) []ruleViolation {
	var out []ruleViolation
	for _, r := range objectRefs(o) {
		if t.node(r.key) == nil {
			out = append(out, ruleViolation{wick.RuleReference, fmt.Sprintf("%s: %s does not exist", r.field, r.key)})
		}
	}
	if len(out) > 0 {
		return out // The checks below need the referenced objects.
	}
	switch v := o.(type) {
	case wick.Endpoint:
		return checkEndpoint(t, v)
	case wick.Route:
		return checkRoute(t, v)
	}
	return nil
}

func checkEndpoint(t *Table, e wick.Endpoint) []ruleViolation {
	pool, _ := t.Pool(e.Pool)
	switch {
	case pool.Kind == wick.RunnerEndpoint && e.AdapterSlots == 0:
		return mismatch("AdapterSlots: a runner needs at least 1")
	case pool.Kind == wick.ServiceEndpoint && e.AdapterSlots != 0:
		return mismatch("AdapterSlots: must be 0 for a service")
	case pool.Kind == wick.ServiceEndpoint && e.ChecksFencing:
		return mismatch("ChecksFencing: a service takes no orders")
	}
	return nil
}

func checkRoute(t *Table, r wick.Route) []ruleViolation {
	pool, _ := t.Pool(r.Pool)
	if pool.Kind == wick.ServiceEndpoint {
		return checkServiceRoute(r)
	}
	var out []ruleViolation
	if r.Path != "" {
		out = append(out, mismatch("Path: pool %s holds runners, which have none", r.Pool)...)
	}
	if r.NonIdempotent {
		out = append(out, mismatch("NonIdempotent: only calls of services can be")...)
	}
	model, ok := t.Model(pool.Model)
	if ok && r.MaxTokens > model.Context {
		out = append(out, mismatch("MaxTokens: %d is over the context %d of model %s", r.MaxTokens, model.Context, model.Name)...)
	}
	if r.Ref.IsBase() {
		return out
	}
	adapter, ok := t.Adapter(r.Ref.Adapter)
	if ok && adapter.Model != pool.Model {
		out = append(out, mismatch("Ref: adapter %s is for model %s, pool %s runs model %s", adapter.Name, adapter.Model, pool.Name, pool.Model)...)
	}
	return out
}

func checkServiceRoute(r wick.Route) []ruleViolation {
	var out []ruleViolation
	if r.Path == "" {
		out = append(out, mismatch("Path: pool %s holds services, which need one", r.Pool)...)
	}
	if !r.Ref.IsBase() {
		out = append(out, mismatch("Ref: pool %s holds services, which have no adapters", r.Pool)...)
	}
	if r.MaxTokens != 0 {
		out = append(out, mismatch("MaxTokens: must be 0 for a service")...)
	}
	return out
}

func mismatch(format string, args ...any) []ruleViolation {
	return []ruleViolation{{wick.RuleMatch, fmt.Sprintf(format, args...)}}
}
