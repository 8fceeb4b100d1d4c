package wick

// GatewayState is the state of a gateway, for operators.
type GatewayState struct {
	Host   HostName `json:"Host"`
	Domain Domain   `json:"Domain"`
	Ready  bool     `json:"Ready"`
	// Stopping is set while the gateway shuts down and callers are directed to
	// other gateways.
	Stopping bool `json:"Stopping,omitempty"`
	// Config is the version of the current configuration, 0 for none, and
	// ConfigAge the time since it was last known to be the newest.
	Config    uint64   `json:"Config"`
	ConfigAge Duration `json:"ConfigAge,omitempty"`
	// Daemons estimates the number of running daemons (it may count ended ones),
	// and Entries lists those to which callers are directed.
	Daemons   int             `json:"Daemons"`
	Entries   []HostName      `json:"Entries,omitempty"`
	Shards    []ShardState    `json:"Shards,omitempty"`
	Endpoints []EndpointState `json:"Endpoints,omitempty"`
	// Teams are the teams with a limit whose requests the daemon took lately.
	Teams []TeamShareState `json:"Teams,omitempty"`

	// Gates are those of the pools of plain services, by name.
	Gates []PoolGateState `json:"Gates,omitempty"`
}

// PoolGateState is the state of a gateway's gate to a pool of plain services.
type PoolGateState struct {
	Pool PoolName `json:"Pool"`
	// Sent counts the requests of this gateway at the pool, Waiting those that wait in
	// the gateway.
	Sent    int `json:"Sent"`
	Waiting int `json:"Waiting"`
	// Limit is how many requests of the lowest priority may be at the pool; 0 for no
	// limit.
	Limit float64 `json:"Limit,omitempty"`
}

// ShardState is the holder of a shard, which gives orders to its endpoints.
type ShardState struct {
	Shard  Shard    `json:"Shard"`
	Holder HostName `json:"Holder,omitempty"`
	Fence  Fence    `json:"Fence,omitempty"`
	// Orders is set if the holder gives orders now, as far as this daemon knows.
	Orders bool `json:"Orders,omitempty"`
}

// EndpointState is the state of an endpoint as a gateway knows it.
type EndpointState struct {
	Name   EndpointName `json:"Name"`
	Pool   PoolName     `json:"Pool"`
	Domain Domain       `json:"Domain"`
	// Running counts the requests of all daemons, Waiting their prompt tokens
	// that are not processed yet.
	Running int    `json:"Running"`
	Waiting Tokens `json:"Waiting"`
	// Adapters counts the adapters that are loaded or loading, and Free those
	// that could be loaded now, less those that requests wait for; it may be
	// negative.
	Adapters int `json:"Adapters"`
	Free     int `json:"Free"`
	// Lag is the recent delay of first tokens beyond their estimates, and FailedShare
	// the fraction of requests that failed: each the larger of this daemon's value
	// and that of all daemons.
	Lag         Duration `json:"Lag,omitempty"`
	FailedShare float64  `json:"Fails,omitempty"`
}
