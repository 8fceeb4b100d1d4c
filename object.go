package wick

import (
	"fmt"
)

// ObjectKind is the kind of a configuration object.
type ObjectKind string

// The kinds of configuration objects.
const (
	KindModel    ObjectKind = "Model"
	KindAdapter  ObjectKind = "Adapter"
	KindVersion  ObjectKind = "Version"
	KindPriority ObjectKind = "Priority"
	KindStore    ObjectKind = "Store"
	KindPool     ObjectKind = "Pool"
	KindEndpoint ObjectKind = "Endpoint"
	KindRoute    ObjectKind = "Route"
)

// ObjectKey identifies an object. The name of a version is "adapter/version";
// for all other kinds it is the name of the object.
type ObjectKey struct {
	Kind ObjectKind `json:"Kind"`
	Name string     `json:"Name"`
}

// String returns "kind name".
func (k ObjectKey) String() string { return string(k.Kind) + " " + k.Name }

// Object is a named configuration object.
type Object interface {
	Checker
	// Key returns the key by which other objects refer to this one.
	Key() ObjectKey
}

// Model is a base model that runners hold in memory.
type Model struct {
	Name ModelName `json:"Name"`
	// Context is the maximum length of prompt plus answer; positive.
	Context Tokens `json:"Context"`
}

// Key implements Object.
func (m Model) Key() ObjectKey { return ObjectKey{KindModel, string(m.Name)} }

// Check implements Checker.
func (m Model) Check() error {
	if err := checkName("Name", m.Name); err != nil {
		return err
	}
	if m.Context <= 0 {
		return badField("Context", "must be positive")
	}
	return nil
}

// Adapter is a LoRA adapter for one base model.
type Adapter struct {
	Name  AdapterName `json:"Name"`
	Model ModelName   `json:"Model"`
}

// Key implements Object.
func (a Adapter) Key() ObjectKey { return ObjectKey{KindAdapter, string(a.Name)} }

// Check implements Checker.
func (a Adapter) Check() error {
	if err := checkName("Name", a.Name); err != nil {
		return err
	}
	return checkName("Model", a.Model)
}

// Version is an immutable set of weights of an adapter.
type Version struct {
	Adapter AdapterName `json:"Adapter"`
	Name    VersionName `json:"Name"`
	// Source is the path of the weights in the weight store; not empty.
	Source string `json:"Source"`
	// Size is the size of the weights; positive.
	Size Bytes `json:"Size"`
}

// Key implements Object.
func (v Version) Key() ObjectKey { return VersionKey(v.Ref()) }

// Ref returns the reference to v.
func (v Version) Ref() Ref { return Ref{Adapter: v.Adapter, Version: v.Name} }

// VersionKey returns the key of the version that r refers to.
func VersionKey(r Ref) ObjectKey {
	return ObjectKey{KindVersion, string(r.Adapter) + "/" + string(r.Version)}
}

// Check implements Checker.
func (v Version) Check() error {
	if err := checkName("Adapter", v.Adapter); err != nil {
		return err
	}
	if err := checkName("Name", v.Name); err != nil {
		return err
	}
	if v.Source == "" {
		return badField("Source", "must not be empty")
	}
	if v.Size <= 0 {
		return badField("Size", "must be positive")
	}
	return nil
}

// Priority is a priority class of requests.
type Priority struct {
	Name PriorityName `json:"Name"`
	// Level is from 0 to 9; higher levels are served first.
	Level Level `json:"Level"`
	// Deadline limits the time until the first token or the reply; positive.
	Deadline Duration `json:"Deadline"`
	// Sheddable is set if requests of the class may be refused under overload.
	Sheddable bool `json:"Sheddable,omitempty"`
}

// maxLevel is the highest level of a priority.
const maxLevel Level = 9

// Key implements Object.
func (p Priority) Key() ObjectKey { return ObjectKey{KindPriority, string(p.Name)} }

// Check implements Checker.
func (p Priority) Check() error {
	if err := checkName("Name", p.Name); err != nil {
		return err
	}
	if p.Level < 0 || p.Level > maxLevel {
		return badField("Level", "must be 0 to %d", maxLevel)
	}
	if p.Deadline <= 0 {
		return badField("Deadline", "must be positive")
	}
	return nil
}

// Store is a weight store with the limits that its provider sets. They apply to
// all runners of all pools that read from it, taken together.
type Store struct {
	Name StoreName `json:"Name"`
	// Rate is how many loads may start per second; positive.
	Rate PerSecond `json:"Rate"`
	// FullSpeed is the number of loads that may start at once, the burst on top
	// of Rate; positive. Prefetch starts only while fewer are in flight.
	FullSpeed Slots `json:"FullSpeed"`
	// Knee is the number of concurrent loads across all runners above which
	// each load takes proportionally longer, so that no more are started; at
	// least FullSpeed.
	Knee Slots `json:"Knee"`
}

// Key implements Object.
func (s Store) Key() ObjectKey { return ObjectKey{KindStore, string(s.Name)} }

// Check implements Checker.
func (s Store) Check() error {
	if err := checkName("Name", s.Name); err != nil {
		return err
	}
	if s.Rate <= 0 {
		return badField("Rate", "must be positive")
	}
	if s.FullSpeed <= 0 {
		return badField("FullSpeed", "must be positive")
	}
	if s.Knee < s.FullSpeed {
		return badField("Knee", "must not be below FullSpeed")
	}
	return nil
}

// EndpointKind is the kind of server behind an endpoint.
type EndpointKind string

// The kinds of endpoints.
const (
	// RunnerEndpoint is a back end that runs a model engine.
	RunnerEndpoint EndpointKind = "Runner"
	// ServiceEndpoint is a plain service.
	ServiceEndpoint EndpointKind = "Service"
)

// Pool is a group of interchangeable endpoints.
type Pool struct {
	Name PoolName     `json:"Name"`
	Kind EndpointKind `json:"Kind"`
	// Model is the base model of the pool's runners; empty for services.
	Model ModelName `json:"Model,omitempty"`
	// Store holds the weights of the pool's adapters; empty for services.
	Store StoreName `json:"Store,omitempty"`
}

// Key implements Object.
func (p Pool) Key() ObjectKey { return ObjectKey{KindPool, string(p.Name)} }

// Check implements Checker.
func (p Pool) Check() error {
	if err := checkName("Name", p.Name); err != nil {
		return err
	}
	switch p.Kind {
	case RunnerEndpoint:
		if err := checkName("Model", p.Model); err != nil {
			return err
		}
		return checkName("Store", p.Store)
	case ServiceEndpoint:
		if p.Model != "" || p.Store != "" {
			return badField("Model, Store", "only pools of runners have them")
		}
		return nil
	}
	return badField("Kind", "%q is neither Runner nor Service", string(p.Kind))
}

// Endpoint is a back end to which the system routes requests.
type Endpoint struct {
	Name    EndpointName `json:"Name"`
	Pool    PoolName     `json:"Pool"`
	Host    HostName     `json:"Host"`
	Domain  Domain       `json:"Domain"`
	Address Address      `json:"Address"`
	// BatchSlots is the maximum number of concurrent requests; positive.
	BatchSlots Slots `json:"BatchSlots"`
	// AdapterSlots is how many adapters a runner can have loaded; 0 for services.
	AdapterSlots Slots `json:"AdapterSlots,omitempty"`
	// ChecksFencing is set if the engine refuses orders with an old fencing
	// token.
	ChecksFencing bool `json:"ChecksFencing,omitempty"`
	// Leaving is set if the endpoint must receive no new work.
	Leaving bool `json:"Leaving,omitempty"`
}

// Key implements Object.
func (e Endpoint) Key() ObjectKey { return ObjectKey{KindEndpoint, string(e.Name)} }

// Check implements Checker.
func (e Endpoint) Check() error {
	if err := checkName("Name", e.Name); err != nil {
		return err
	}
	if err := checkName("Pool", e.Pool); err != nil {
		return err
	}
	if err := checkName("Host", e.Host); err != nil {
		return err
	}
	if err := checkName("Domain", e.Domain); err != nil {
		return err
	}
	if err := e.Address.Check(); err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if e.BatchSlots <= 0 {
		return badField("BatchSlots", "must be positive")
	}
	if e.AdapterSlots < 0 {
		return badField("AdapterSlots", "must not be negative")
	}
	return nil
}

// Route maps the name that callers use to a pool and, for runners, to a version
// of an adapter.
type Route struct {
	Name     RouteName    `json:"Name"`
	Pool     PoolName     `json:"Pool"`
	Priority PriorityName `json:"Priority"`
	// Ref is the adapter and version that requests run on; the zero Ref is the
	// base model. It is zero for pools of services.
	Ref Ref `json:"Ref,omitzero"`
	// MaxTokens limits the answer to a request; 0 means the model's context.
	MaxTokens Tokens `json:"MaxTokens,omitempty"`
	// Path is the path of a service call; it starts with '/' and is empty for
	// pools of runners.
	Path string `json:"Path,omitempty"`
	// NonIdempotent is set if calls must run at most once.
	NonIdempotent bool `json:"NonIdempotent,omitempty"`
}

// Key implements Object.
func (r Route) Key() ObjectKey { return ObjectKey{KindRoute, string(r.Name)} }

// Check implements Checker.
func (r Route) Check() error {
	if err := checkName("Name", r.Name); err != nil {
		return err
	}
	if err := checkName("Pool", r.Pool); err != nil {
		return err
	}
	if err := checkName("Priority", r.Priority); err != nil {
		return err
	}
	if err := r.Ref.Check(); err != nil {
		return fmt.Errorf("reference: %w", err)
	}
	if r.MaxTokens < 0 {
		return badField("MaxTokens", "must not be negative")
	}
	if r.Path != "" && r.Path[0] != '/' {
		return badField("Path", "must start with '/'")
	}
	return nil
}
