package wick

// FencingToken is the fencing token of orders to engines.
type FencingToken struct {
	// View is the view under which the sender owns the endpoint.
	View ViewNumber `json:"View"`
	// Sequence increases with each order of one owner in one view.
	Sequence Sequence `json:"Sequence"`
}

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of orders.
const (
	// OrderLoad loads an adapter.
	OrderLoad OrderKind = "Load"
	// OrderUnload unloads an adapter and frees its slot.
	OrderUnload OrderKind = "Unload"
)

// Order is an order to an engine.
type Order struct {
	Kind         OrderKind    `json:"Kind"`
	Ref          Ref          `json:"Ref"`
	FencingToken FencingToken `json:"Token"`
	// Source is the path of the weights, for OrderLoad.
	Source string `json:"Source,omitempty"`
	// Within is the time after which the engine must discard the order;
	// positive.
	Within Duration `json:"Within"`
}

// Report is the state of an engine as it reported it some time ago.
type Report struct {
	// Boot identifies one start of the engine.
	Boot string `json:"Boot"`
	// Resident lists the loaded adapters.
	Resident []Resident `json:"Resident,omitempty"`
	// Running counts the requests in the batch, Waiting those in the queue.
	Running Slots `json:"Running"`
	Waiting Slots `json:"Waiting"`
	// Age is the age of the report's values.
	Age Duration `json:"Age"`
}

// Resident is an adapter that an engine has loaded.
type Resident struct {
	Ref Ref `json:"Ref"`
	// Serving counts the requests that use the adapter now.
	Serving Slots `json:"Serving"`
}

// Check implements Checker.
func (r Report) Check() error {
	if r.Running < 0 || r.Waiting < 0 {
		return badField("Running, Waiting", "must not be negative")
	}
	for _, a := range r.Resident {
		if a.Serving < 0 {
			return badField("Serving", "must not be negative")
		}
	}
	return nil
}

// HostState is the state of a host according to the platform.
type HostState string

// The states of hosts.
const (
	// HostLive means that the host is up.
	HostLive HostState = "Live"
	// HostLeaving means that the host is about to be removed.
	HostLeaving HostState = "Leaving"
)

// HostStatus is an entry of the platform's list of hosts.
type HostStatus struct {
	Host  HostName  `json:"Host"`
	State HostState `json:"State"`
}
