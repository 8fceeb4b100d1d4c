package wick

// Units counts what an allotment counts: requests or tokens.
type Units int64

// AllotmentAsk is what a daemon asks of the holder of a team's allotment.
type AllotmentAsk struct {
	Team TeamName `cbor:"1,keyasint"`
	// Needs are the units of the requests that wait for the answer, in order.
	Needs []Units `cbor:"2,keyasint,omitempty"`
	// Want is what the daemon expects to use soon beyond what it has.
	Want Units `cbor:"3,keyasint,omitempty"`
	// Held is what the daemon was granted and has not used.
	Held Units `cbor:"4,keyasint,omitempty"`
	// Returned are granted units that will not be used, and Age is the time since the
	// oldest of them were granted.
	Returned Units    `cbor:"5,keyasint,omitempty"`
	Age      Duration `cbor:"6,keyasint,omitempty"`
}

// AllotmentReport is the part of a daemon's report that concerns allotments.
type AllotmentReport struct {
	// Number identifies the report in the answer. A report with a number is always
	// answered, one without only if the answer differs from the last one.
	Number uint64 `cbor:"1,keyasint"`
	// Shards are the shards for which the daemon takes units from the receiver and from
	// no other daemon.
	Shards []Shard        `cbor:"2,keyasint,omitempty"`
	Asks   []AllotmentAsk `cbor:"3,keyasint,omitempty"`
}

// Asking reports whether the report asks for anything. The report may be nil.
func (r *AllotmentReport) Asking() bool { return r != nil && len(r.Asks) > 0 }

// AllotmentGrant is the answer to an AllotmentAsk. The daemon may use what is granted
// for a limited time after it sent the report.
type AllotmentGrant struct {
	Team TeamName `cbor:"1,keyasint"`
	// Units covers the first of the needs that fit, in order, and some of what is wanted.
	Units Units `cbor:"2,keyasint,omitempty"`
	// Over is set if some of the needs did not fit. A new holder that does not know
	// whether they do neither grants them nor sets it, and the daemon asks again.
	Over bool `cbor:"3,keyasint,omitempty"`
	// Room and Rate are the units that are left if Over is set, and how many become
	// free per second. Room may be negative.
	Room float64   `cbor:"4,keyasint,omitempty"`
	Rate PerSecond `cbor:"5,keyasint,omitempty"`
}

// AllotmentReply is the answer to an AllotmentReport.
type AllotmentReply struct {
	// Number is that of the report.
	Number uint64 `cbor:"1,keyasint"`
	// Shards are those of the report whose allotments the sender gives out.
	Shards []Shard `cbor:"2,keyasint,omitempty"`
	// Config is the version of the configuration that the sender knows.
	Config uint64           `cbor:"3,keyasint,omitempty"`
	Grants []AllotmentGrant `cbor:"4,keyasint,omitempty"`
}

// AllotmentResult is the result of taking units of an allotment.
type AllotmentResult uint8

// The results of taking units.
const (
	// UnitsTaken means that the request may be sent.
	UnitsTaken AllotmentResult = iota
	// UnitsExceeded means that the holder says that the team is over its limit.
	UnitsExceeded
	// UnitsUnknown means that the daemon has no holder, or that the holder did not
	// answer in time, and that the daemon's own part does not suffice.
	UnitsUnknown
	// NumAllotmentResults is the number of results.
	NumAllotmentResults
)

// String returns the result as metrics and log lines name it.
func (r AllotmentResult) String() string {
	switch r {
	case UnitsTaken:
		return "taken"
	case UnitsExceeded:
		return "exceeded"
	}
	return "unknown"
}

// AllotmentVerdict is the answer to a request for units.
type AllotmentVerdict struct {
	Result AllotmentResult
	// RetryAfter is the time until there is room for the request, if nothing else takes it.
	RetryAfter Duration
	// Notable is set on a refusal that deserves a log line; the others are only counted.
	Notable bool
}

// TeamShares gives requests their part of their teams' allotments. Implementations are
// safe for concurrent use.
type TeamShares interface {
	// Take takes units of a team's allotment. If the daemon does not have them, it waits
	// a few tens of milliseconds at most for the holder's answer.
	Take(ctx Context, team TeamName, allotment Allotment, units Units) AllotmentVerdict
	// Give returns units that a request took at an instant and did not use.
	Give(team TeamName, units Units, taken Instant)
	// State returns what the daemon holds, by team.
	State() []TeamShareState
}

// ShareSource connects the units that a daemon holds to the holders that grant them.
// Only the control thread calls it.
type ShareSource interface {
	// SetDaemons sets the number of daemons that are known.
	SetDaemons(n int)
	// SetHolder records that a shard's holder answers now or, if present is false, that
	// none does. It is called again for a new link or another holder.
	SetHolder(now Instant, shard Shard, present bool)
	// Asks returns what to ask of a shard's holder, in the report with the given number.
	// If urgent is set, it returns only what requests wait for.
	Asks(now Instant, shard Shard, number uint64, urgent bool) []AllotmentAsk
	// Granted applies the answers to a report. It reports whether requests still wait
	// and no report names them.
	Granted(now Instant, number uint64, grants []AllotmentGrant) bool
}

// TeamShareState is what a daemon holds of the allotment of a team.
type TeamShareState struct {
	Team TeamName `json:"Team"`
	// Held is what the holder granted and requests have not used.
	Held Units `json:"Held"`
	// Waiting counts the requests that wait for the holder's answer.
	Waiting int `json:"Waiting,omitempty"`
	// Alone is set if the daemon has no holder and uses its own part.
	Alone bool `json:"Alone,omitempty"`
}
