package wick

// Token fences orders to engines.
type Token struct {
	// View is the view under which the sender owns the endpoint.
	View ViewNumber `json:"View"`
	// Sequence rises with each order of one owner in one view.
	Sequence Sequence `json:"Sequence"`
}

// OrderKind tells the orders to engines apart.
type OrderKind string

// The orders to engines.
const (
	// OrderLoad makes an adapter resident.
	OrderLoad OrderKind = "Load"
	// OrderUnload frees the slot of an adapter.
	OrderUnload OrderKind = "Unload"
)

// Order is an order to an engine.
type Order struct {
	Kind  OrderKind `json:"Kind"`
	Ref   Ref       `json:"Ref"`
	Token Token     `json:"Token"`
	// Source is the path of the weights, for OrderLoad.
	Source string `json:"Source,omitempty"`
	// Within is the time after which the engine must not act on the order any
	// more; positive.
	Within Duration `json:"Within"`
}

// Report is what an engine says about itself, some time ago.
type Report struct {
	// Boot tells two starts of the engine apart.
	Boot string `json:"Boot"`
	// Resident lists the adapters in the engine's slots.
	Resident []Resident `json:"Resident,omitempty"`
	// Running and Waiting count requests in and before the batch.
	Running Slots `json:"Running"`
	Waiting Slots `json:"Waiting"`
	// Age is how old the report's figures are.
	Age Duration `json:"Age"`
}

// Resident is an adapter in an engine's slot.
type Resident struct {
	Ref Ref `json:"Ref"`
	// Serving counts the requests that run on the adapter now.
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

// HostState is what the platform says about a host.
type HostState string

// The states of hosts on the platform's list.
const (
	// HostLive means that the host is up.
	HostLive HostState = "Live"
	// HostLeaving means that the host is about to go.
	HostLeaving HostState = "Leaving"
)

// HostStatus is one line of the platform's list of hosts.
type HostStatus struct {
	Host  HostName  `json:"Host"`
	State HostState `json:"State"`
}
