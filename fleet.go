package wick

import (
	"context"
	"iter"
)

// Context is an alias of context.Context.
type Context = context.Context

type (
	// Revision numbers the versions of an adapter's weights. A higher one is
	// newer; 0 means unknown.
	Revision uint64
	// Fence is a fencing token; that of a later holder is higher.
	Fence uint64
	// OrderCount counts the orders that an endpoint has accepted since it
	// started.
	OrderCount uint64
	// Urgency is the priority of a request at its endpoint, from 0 (highest) to
	// 9.
	Urgency uint8
	// Started is the wall-clock time at which an endpoint started, in Unix
	// milliseconds. Together with its name it identifies an incarnation.
	Started int64
	// DescriptionCount counts the descriptions that an endpoint has published since it
	// started; 0 if it does not say.
	DescriptionCount uint64
	// Shard numbers a group of endpoints that take their orders from the same
	// daemon, the holder.
	Shard int
)

// Weights identifies an adapter of a model, or the model itself if Adapter is
// empty.
type Weights struct {
	Model   ModelName   `cbor:"1,keyasint"`
	Adapter AdapterName `cbor:"2,keyasint,omitempty"`
}

// String returns "model/adapter", or "model".
func (w Weights) String() string {
	if w.Adapter == "" {
		return string(w.Model)
	}
	return string(w.Model) + "/" + string(w.Adapter)
}

// Base returns the base model of w.
func (w Weights) Base() Weights { return Weights{Model: w.Model} }

// Loaded identifies one revision of an adapter, whether or not an endpoint has
// it loaded.
type Loaded struct {
	Weights  Weights
	Revision Revision
}

// Runner is the description that an endpoint, a model engine or a plain service,
// publishes of itself. Unlike RunnerEndpoint, it includes plain services.
type Runner struct {
	Name    EndpointName
	Pool    PoolName
	Address Address
	Domain  Domain
	Slots   Slots
	Started Started
	// Sequence is the number of this description.
	Sequence DescriptionCount
	// Draining is set if no new requests may be sent to the endpoint.
	Draining bool
	Models   []ModelName
	Loaded   []Loaded
	// Cached lists the adapters that load fast because the endpoint has a local
	// copy.
	Cached []Weights
}

// ServingConfig is the serving configuration that the platform publishes.
type ServingConfig struct {
	Version uint64
	Routes  []RouteConfig
	Pools   map[PoolName]PoolConfig
	Limits  CallerLimits
	// Teams is nil if the configuration has no teams.
	Teams *Teams
}

// RouteConfig maps requests for one virtual host and path prefix to pools.
type RouteConfig struct {
	Name RouteName
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout limits the time until the end of the answer; positive.
	Timeout Duration
	// Objective is the latency target for the answer or its first event.
	Objective Duration
	// GapTarget is the target for the longest pause between events of a stream.
	GapTarget Duration
	// Priority is 0 for the highest priority.
	Priority int
	// Attempts is the maximum number of endpoints that may run one request;
	// positive.
	Attempts int
	// Resumable is set if a stream may resume at another endpoint.
	Resumable bool
	// AllowAnonymous is set if requests need no access key.
	AllowAnonymous bool
	// Split lists the pools with their traffic shares; never empty.
	Split []PoolShare
}

// PoolShare is the fraction of a route's requests that go to a pool.
type PoolShare struct {
	Pool PoolName
	// Weight is relative to the weights of the other shares; not negative.
	Weight float64
}

// PoolConfig is the configuration of a pool.
type PoolConfig struct {
	Name PoolName
	// Engine is nil for a plain service.
	Engine *PoolEngine
	// ConnectionLimit is how many connections to one endpoint all daemons together may
	// have; 0 for no limit.
	ConnectionLimit int
}

// PoolEngine is the configuration of the model engines of a pool.
type PoolEngine struct {
	// AdapterSlots is how many adapters an engine holds at most.
	AdapterSlots Slots
	// WeightMemory is how much of the weights of models and adapters together an
	// engine holds at most; 0 if only slots limit it.
	WeightMemory Megabytes
	// CacheTokens is how many tokens of requests an engine holds at most; 0 if not
	// specified.
	CacheTokens Tokens
	// Models lists the base models of the pool.
	Models []ModelConfig
	// ModelLoadRate is the rate at which base models may be loaded from the weight
	// store, over all endpoints; 0 if not specified.
	ModelLoadRate PerSecond
}

// ModelConfig is the configuration of a base model.
type ModelConfig struct {
	Name ModelName
	// Size is the size of the model's weights, and AdapterSize that of each of its
	// adapters; 0 if not specified.
	Size, AdapterSize Megabytes
}

// SizeOf returns the size of a model or of an adapter without its model. One whose
// model the configuration does not name counts as the largest of those that it names.
func (e *PoolEngine) SizeOf(w Weights) Megabytes {
	var largest ModelConfig
	for _, m := range e.Models {
		if m.Name == w.Model {
			return m.sizeOf(w)
		}
		largest.Size, largest.AdapterSize = max(largest.Size, m.Size), max(largest.AdapterSize, m.AdapterSize)
	}
	return largest.sizeOf(w)
}

func (m ModelConfig) sizeOf(w Weights) Megabytes {
	if w.Adapter == "" {
		return m.Size
	}
	return m.AdapterSize
}

// CanHold reports whether an engine that holds the given base models can hold w, with
// its model, beside them once it has unloaded other adapters.
func (e *PoolEngine) CanHold(models iter.Seq[ModelName], w Weights) bool {
	if w.Adapter != "" && e.AdapterSlots <= 0 {
		return false
	}
	sum, loaded := Megabytes(0), false
	for m := range models {
		sum += e.SizeOf(Weights{Model: m})
		loaded = loaded || m == w.Model
	}
	if !loaded {
		sum += e.SizeOf(w.Base())
	}
	if w.Adapter != "" {
		sum += e.SizeOf(w)
	}
	return e.WeightMemory <= 0 || sum <= e.WeightMemory
}

// Fact is a decoded record of the platform: a change of the configuration, of an
// endpoint or of an adapter. Exactly one of ServingConfig, Runner,
// RemovedEndpoint and NewRevision is set; a record that can't be decoded yields
// no Fact.
type Fact struct {
	// Offset is the offset of the record in its stream.
	Offset Offset
	// ServingConfig is a new configuration.
	ServingConfig *ServingConfig
	// Runner is a new description of an endpoint.
	Runner *Runner
	// RemovedEndpoint names an endpoint whose record was removed.
	RemovedEndpoint EndpointName
	// RemovedStart and RemovedSequence are the start of the removed endpoint and the
	// newest description of it; 0 unless a holder has confirmed the removal.
	RemovedStart    Started
	RemovedSequence DescriptionCount
	// NewRevision announces the newest version of an adapter or a base model.
	NewRevision *Loaded
}

// RunnerOrder is an order to an endpoint to load or unload an adapter.
type RunnerOrder struct {
	Kind    OrderKind
	Weights Weights
	// Revision is the adapter revision to load.
	Revision Revision
	Endpoint EndpointName
	// Started is the endpoint's start for which the order is meant. It is not sent.
	Started Started
	Holder  HostName
	Fence   Fence
	// Expected is the number of orders that the endpoint has accepted before
	// this one.
	Expected OrderCount
}

// OrderResult is the result of an order.
type OrderResult uint8

// The results of orders.
const (
	// OrderLost means that no response arrived; the endpoint may still execute
	// the order.
	OrderLost OrderResult = iota
	// OrderStarted means that the endpoint has started to execute the order.
	OrderStarted
	// OrderNoChange means that the endpoint is already in the requested state.
	OrderNoChange
	// OrderConflict means that the endpoint is busy, or that the number of orders
	// that it has accepted is not the one expected; it did nothing.
	OrderConflict
	// OrderFenced means that a later holder has given orders.
	OrderFenced
	// OrderRefused means that another endpoint has the address, that the endpoint
	// can't execute the order, or that the order was not sent.
	OrderRefused
)

// String returns the name of the result for log lines and metrics.
func (r OrderResult) String() string {
	names := [...]string{"lost", "started", "held", "conflict", "fenced", "refused"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// RunnerReport is the state of the adapters of an endpoint, as it reports them on
// request. It may be up to a few hundred milliseconds old.
type RunnerReport struct {
	// Started is when the endpoint started; 0 if it does not say.
	Started  Started
	Orders   OrderCount
	Models   []ModelName
	Loaded   []Loaded
	Incoming []Loaded
	// Busy is set while a base model is being loaded or unloaded.
	Busy   bool
	Signal EndpointSignal
}

// RunnerClient sends orders to endpoints and requests their reports.
// Implementations are safe for concurrent use and retry nothing.
type RunnerClient interface {
	Order(ctx Context, to Address, order RunnerOrder) (OrderReply, error)
	Inspect(ctx Context, endpoint EndpointName, at Address) (RunnerReport, error)
	// Probe returns an error if an endpoint does not run any more since its last
	// start. A plain service, which has no report, is only connected to: any request
	// would be work for it.
	Probe(ctx Context, id EndpointStart, at Address, engine bool) error
	// CloseIdle closes the idle connections for requests to an address.
	CloseIdle(at Address)
}

// Topic identifies a topic of the platform's record store.
type Topic uint8

// The topics that a daemon reads.
const (
	// TopicConfig holds the configuration and the revisions of adapters.
	TopicConfig Topic = iota
	// TopicRunners holds the descriptions of endpoints.
	TopicRunners
	// TopicDaemons holds the records of the daemons themselves.
	TopicDaemons
	// NumTopics is the number of topics.
	NumTopics
)

// String returns the name of the topic for log lines.
func (t Topic) String() string {
	names := [NumTopics]string{"configuration", "runners", "daemons"}
	if t < NumTopics {
		return names[t]
	}
	return "unknown"
}

// MaxRecordKey is the size in bytes of the longest key of a record.
const MaxRecordKey = 255

// KeyedRecord is a record of a topic. The topic retains the newest record of each
// key.
type KeyedRecord struct {
	Offset Offset
	Key    string
	// Value is empty if the key was removed.
	Value []byte
}

// RecordBatch is the result of one read of a topic.
type RecordBatch struct {
	Records []KeyedRecord
	// Next is the offset after the last record that was read.
	Next Offset
	// Truncated is set if records before these were deleted, so that the reader must
	// read the newest record of each key instead.
	Truncated bool
}

// AnyOffset is the offset for a Put that appends wherever the topic ends.
const AnyOffset = ^Offset(0)

// RecordStore is the platform's store of keyed records. Implementations are safe
// for concurrent use and retry nothing.
type RecordStore interface {
	// Read returns the records from an offset on. It waits up to wait for the
	// first one.
	Read(ctx Context, topic Topic, from Offset, wait Duration) (RecordBatch, error)
	// ReadNewest returns the newest record of each key.
	ReadNewest(ctx Context, topic Topic) (RecordBatch, error)
	// Put appends records, all of them or none, if the topic ends at the offset at, or
	// if at is AnyOffset; their own offsets are ignored. It returns the offset of the
	// first one and true, or the end of the topic and false if that is not at. After an
	// error the records may be in the topic, or may appear there later.
	Put(ctx Context, topic Topic, at Offset, records ...KeyedRecord) (Offset, bool, error)
}

// RecordDecoder decodes records of the platform.
type RecordDecoder interface {
	// Decode decodes one record of TopicConfig or TopicRunners.
	Decode(topic Topic, rec KeyedRecord) (Fact, error)
}
