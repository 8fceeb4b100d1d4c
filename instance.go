package wick

import "errors"

// Instance describes a running daemon to other daemons.
type Instance struct {
	Host        HostName    `json:"Host" cbor:"1,keyasint"`
	Incarnation Incarnation `json:"Incarnation" cbor:"2,keyasint"`
	// PeerAddress and CallerAddress are the addresses for other daemons and for
	// callers.
	PeerAddress   Address `json:"Peers" cbor:"3,keyasint"`
	CallerAddress Address `json:"Callers" cbor:"4,keyasint"`
	Domain        Domain  `json:"Domain" cbor:"5,keyasint"`
	// Capacity is the relative capacity of the machine.
	Capacity Capacity `json:"Power" cbor:"6,keyasint"`
}

// Check implements Checker.
func (m Instance) Check() error {
	if m.Incarnation == 0 {
		return errors.New("Incarnation: must not be 0")
	}
	return errors.Join(m.Host.Check(), m.PeerAddress.Check(), m.CallerAddress.Check(), m.Domain.Check())
}

// InstanceState is the state of a daemon as a holder knows it.
type InstanceState struct {
	Instance Instance `cbor:"1,keyasint"`
	// Ready is set if callers may use the daemon.
	Ready bool `cbor:"2,keyasint,omitempty"`
}

// EndpointLoad is the load of an endpoint.
type EndpointLoad struct {
	// Running counts requests, Waiting the prompt tokens that are not processed
	// yet.
	Running int    `cbor:"1,keyasint,omitempty"`
	Waiting Tokens `cbor:"2,keyasint,omitempty"`
	// Free counts the adapters that could be loaded now, less those that
	// requests wait for; negative if requests wait for more. Only holders send
	// it.
	Free int `cbor:"3,keyasint,omitempty"`
	// PendingAdapters counts the adapters that requests wait for.
	PendingAdapters int `cbor:"4,keyasint,omitempty"`
	// Lag and FailedShare sum up the recent observations of all daemons, rounded to
	// coarse steps: by how much first tokens arrived later than estimated, and
	// the fraction of requests that failed. Only holders send them.
	Lag         Duration `cbor:"5,keyasint,omitempty"`
	FailedShare float64  `cbor:"6,keyasint,omitempty"`
}

// EndpointStats aggregates the results of the requests of one daemon at an endpoint
// since its last report.
type EndpointStats struct {
	Endpoint EndpointName `cbor:"1,keyasint"`
	// Requests counts requests, Failed those that failed at the endpoint.
	Requests int `cbor:"2,keyasint,omitempty"`
	Failed   int `cbor:"3,keyasint,omitempty"`
	// Lag is the sum of the delays of first tokens beyond their estimates.
	Lag Duration `cbor:"4,keyasint,omitempty"`
}

// NamedLoad is the load of a named endpoint.
type NamedLoad struct {
	Endpoint EndpointName `cbor:"1,keyasint"`
	Load     EndpointLoad `cbor:"2,keyasint"`
}

// AdapterUse is the number of requests that use an adapter at an endpoint.
type AdapterUse struct {
	Endpoint EndpointName `cbor:"1,keyasint"`
	Weights  Weights      `cbor:"2,keyasint"`
	Count    int          `cbor:"3,keyasint,omitempty"`
}

// AdapterRequestReason is the reason why a daemon reports an adapter to a holder.
type AdapterRequestReason uint8

// The reasons for an AdapterRequest.
const (
	// AdapterNeeded requests a load of the adapter.
	AdapterNeeded AdapterRequestReason = iota
	// AdapterNotReady reports that the endpoint refused a request because the load had
	// not finished.
	AdapterNotReady
	// AdapterMissing reports that the endpoint does not have the adapter.
	AdapterMissing
)

// AdapterRequest reports an adapter that requests need at an endpoint to the holder
// of the endpoint's shard.
type AdapterRequest struct {
	Endpoint EndpointName         `cbor:"1,keyasint"`
	Weights  Weights              `cbor:"2,keyasint"`
	Revision Revision             `cbor:"3,keyasint,omitempty"`
	Reason   AdapterRequestReason `cbor:"4,keyasint,omitempty"`
}

// CachedPrefix reports that an endpoint has processed a long prompt prefix, so that
// it probably has it cached.
type CachedPrefix struct {
	Endpoint EndpointName `cbor:"1,keyasint"`
	PrefixID PrefixID     `cbor:"2,keyasint"`
}

// InstanceReport is a daemon's report to a holder about its work at the holder's
// endpoints. Fields that did not change are omitted.
type InstanceReport struct {
	Ready           bool             `cbor:"1,keyasint,omitempty"`
	Loads           []NamedLoad      `cbor:"2,keyasint,omitempty"`
	Uses            []AdapterUse     `cbor:"3,keyasint,omitempty"`
	AdapterRequests []AdapterRequest `cbor:"4,keyasint,omitempty"`
	CachedPrefixes  []CachedPrefix   `cbor:"5,keyasint,omitempty"`
	EndpointStats   []EndpointStats  `cbor:"6,keyasint,omitempty"`
	// Known has, for each topic, the offset before which the daemon knows every
	// record. The holder sends what is missing.
	Known []Offset `cbor:"7,keyasint,omitempty"`
	Evidence
	// TrialRequests ask for trials, and EndedTrials lists those that have ended.
	TrialRequests []TrialRequest `cbor:"8,keyasint,omitempty"`
	EndedTrials   []TrialID      `cbor:"9,keyasint,omitempty"`
	// Leaving are endpoints that said that they are about to end.
	Leaving []EndpointStart `cbor:"10,keyasint,omitempty"`
	// Allotments is nil if the configuration limits no team.
	Allotments *AllotmentReport `cbor:"11,keyasint,omitempty"`
}

// AdapterPlacement reports that an endpoint has an adapter, or no longer has it.
type AdapterPlacement struct {
	Endpoint EndpointName `cbor:"1,keyasint"`
	Weights  Weights      `cbor:"2,keyasint"`
	Revision Revision     `cbor:"3,keyasint,omitempty"`
	// ReadyIn is the time from when the message is sent until the adapter can
	// serve requests.
	ReadyIn Duration `cbor:"4,keyasint,omitempty"`
	Removed bool     `cbor:"5,keyasint,omitempty"`
}

// RelayedRecord is a record of the store that a holder forwards.
type RelayedRecord struct {
	Topic  Topic  `cbor:"1,keyasint"`
	Offset Offset `cbor:"2,keyasint"`
	Key    string `cbor:"3,keyasint"`
	Value  []byte `cbor:"4,keyasint,omitempty"`
	// Confirmed is set if the holder has decided that the record is the state of its
	// key. Without it, the removal of an endpoint may be that of an entry which
	// expired in an outage that only the holder saw and which may still be renewed.
	// The store may hold a record of the key with a higher offset that it wrote late.
	Confirmed bool `cbor:"5,keyasint,omitempty"`
	// Started and Sequence are the start of the endpoint that a confirmed removal
	// ended, and the newest description of it; 0 if the endpoint may return at once.
	Started  Started          `cbor:"6,keyasint,omitempty"`
	Sequence DescriptionCount `cbor:"7,keyasint,omitempty"`
}

// Span is a range of a topic's records.
type Span struct {
	Topic Topic `cbor:"1,keyasint"`
	// From is the first offset and To the one behind the last.
	From Offset `cbor:"2,keyasint,omitempty"`
	To   Offset `cbor:"3,keyasint"`
}

// HolderUpdate is the update that a holder sends to the daemons linked to it.
// Fields other than Shards are omitted if they did not change.
type HolderUpdate struct {
	// Shards are the shards whose endpoints take orders from this holder now.
	Shards []Shard `cbor:"1,keyasint,omitempty"`
	// TopicAges has, for each topic, the time since it was last read up to its end;
	// negative if it never was. TopicAges are sent a few times per second.
	TopicAges []Duration      `cbor:"2,keyasint,omitempty"`
	Records   []RelayedRecord `cbor:"3,keyasint,omitempty"`
	// Reset lists endpoints whose earlier placements are void: they have only the
	// adapters in Placements.
	Reset          []EndpointName     `cbor:"4,keyasint,omitempty"`
	Placements     []AdapterPlacement `cbor:"5,keyasint,omitempty"`
	Loads          []NamedLoad        `cbor:"6,keyasint,omitempty"`
	CachedPrefixes []CachedPrefix     `cbor:"7,keyasint,omitempty"`
	// Instances lists the daemons that report to the holder, and the holder
	// itself, if their state changed; Departed lists those that no longer report.
	Instances []InstanceState `cbor:"8,keyasint,omitempty"`
	Departed  []HostName      `cbor:"9,keyasint,omitempty"`
	// Spans are the ranges of which Records has everything that matters now. A
	// daemon that knows all records before a span then knows those in it.
	Spans []Span `cbor:"10,keyasint,omitempty"`
	// Ends has, for each of TopicAges, the end of the topic at that time.
	Ends []Offset `cbor:"11,keyasint,omitempty"`
	Evidence
	// Trials are the trials that the holder grants to the receiver.
	Trials []TrialID `cbor:"12,keyasint,omitempty"`
	// Leaving is as in InstanceReport.
	Leaving []EndpointStart `cbor:"13,keyasint,omitempty"`
	// Allotments answers a report of the receiver; only the receiver gets it.
	Allotments *AllotmentReply `cbor:"14,keyasint,omitempty"`
}

// LinkMessage is a message between two linked daemons. Exactly one field is
// set; Hello comes first from each side.
type LinkMessage struct {
	Hello  *Instance       `cbor:"1,keyasint,omitempty"`
	Report *InstanceReport `cbor:"2,keyasint,omitempty"`
	Update *HolderUpdate   `cbor:"3,keyasint,omitempty"`
	// Packed is a compressed message.
	Packed []byte `cbor:"4,keyasint,omitempty"`
}

// Check implements Checker.
func (m LinkMessage) Check() error {
	return oneOf("link message", checkedField(m.Hello), unionField{set: m.Report != nil}, unionField{set: m.Update != nil}, unionField{set: m.Packed != nil})
}

// Link is a connection to another daemon. Its methods never block.
type Link interface {
	// Post queues a message. A link whose remote end can't keep up is closed.
	Post(msg LinkMessage)
	// Close closes the link.
	Close()
}

// LinkHandler handles the events of links; the events of each link come in order.
type LinkHandler interface {
	// LinkUp handles a new link to the daemon remote. dialed is the address that
	// was dialed, or empty if the other daemon dialed.
	LinkUp(l Link, remote Instance, dialed Address)
	// LinkMessage handles a message.
	LinkMessage(l Link, msg LinkMessage)
	// LinkDown handles the end of a link.
	LinkDown(l Link, err error)
	// DialFailed handles a failed attempt to open a link.
	DialFailed(remote Address, err error)
}

// GatewayIO performs the I/O that the control thread of a gateway decides on. Its
// methods never block; their results arrive as events.
type GatewayIO interface {
	// Read reads a topic from an offset on, ReadNewest the newest record of each key.
	Read(topic Topic, from Offset, wait Duration)
	ReadNewest(topic Topic)
	// Put appends records to TopicDaemons, as Put of RecordStore does. The result names
	// the key of the first one.
	Put(at Offset, records ...KeyedRecord)
	// Order sends an order to an endpoint, Inspect requests its report.
	Order(to Address, order RunnerOrder)
	Inspect(endpoint EndpointName, at Address)
	// Probe checks whether an endpoint still runs since its last start; engine is set
	// for a model engine, as opposed to a plain service.
	Probe(id EndpointStart, at Address, engine bool)
	// CloseIdle closes the idle connections for requests to an endpoint.
	CloseIdle(at Address)
	// Dial opens a link.
	Dial(to Address)
}
