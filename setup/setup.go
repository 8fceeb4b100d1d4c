// Package setup defines the JSON settings of one daemon. Parsing reports all
// decoding errors together or, if there are none, all invalid values.
package setup

import (
	"fmt"
	"os"
	"strings"
	"time"

	"currantwick"
	"currantwick/codec"
)

// Settings are the settings of one daemon.
type Settings struct {
	// Host is the machine this daemon runs on, as named in its certificate.
	Host wick.HostName `json:"Host"`
	// Domain is the host's failure domain.
	Domain wick.Domain `json:"Domain"`
	Entry  Entry       `json:"Entry"`
	Peer   Peer        `json:"Peer"`
	Admin  Admin       `json:"Admin"`
	// Peers are the peer addresses of other daemons to contact at startup.
	// They are needed only while the log can't be read.
	Peers []wick.Address `json:"Peers"`
	Log   Log            `json:"Log"`
	Hosts Hosts          `json:"Hosts"`
	Keys  Keys           `json:"Keys"`
	Lease Lease          `json:"Lease"`
	Claim Claim          `json:"Claim"`
	// Stale is how long a daemon that reaches neither the log nor a peer
	// still accepts new work; at least the larger of 1 s and Lease.TTL, at
	// most 10 min.
	Stale  wick.Duration `json:"Stale"`
	Limits Limits        `json:"Limits"`
	Policy Policy        `json:"Policy"`
	Stop   Stop          `json:"Stop"`
}

// Entry configures the listener for callers.
type Entry struct {
	// Address is advertised to callers, so it must be a specific IP address.
	Address wick.Address `json:"Address"`
	// TLS is nil where callers use plain HTTP.
	TLS *KeyPair `json:"TLS,omitempty"`
}

// Peer configures the listener for other daemons.
type Peer struct {
	// Address is advertised to other daemons, so it must be a specific IP
	// address.
	Address wick.Address `json:"Address"`
	// Listen is the local listen address if other daemons reach Address
	// through NAT; empty to listen on Address.
	Listen wick.Address `json:"Listen,omitempty"`
}

// Admin configures the listener for operators.
type Admin struct {
	Address wick.Address `json:"Address"`
	// Exactly one of Token and TokenFile is set. The token has 16 to 512
	// bytes.
	Token     Token  `json:"Token,omitempty"`
	TokenFile string `json:"TokenFile,omitempty"`
	// TLS is nil where operators use plain HTTP.
	TLS *KeyPair `json:"TLS,omitempty"`
}

// KeyPair names the PEM files of a certificate and its private key.
type KeyPair struct {
	Cert string `json:"Cert"`
	Key  string `json:"Key"`
}

// Keys names the PEM files for mutual TLS between daemons.
type Keys struct {
	// CA holds the certificates of one or more trusted authorities.
	CA   string `json:"CA"`
	Cert string `json:"Cert"`
	Key  string `json:"Key"`
}

// Log configures access to the platform's log.
type Log struct {
	Address wick.Address `json:"Address"`
	// Retention is how long the log keeps a record; 2 s to 10,000 h.
	// Checkpoints are written four times within it.
	Retention wick.Duration `json:"Retention"`
	// Timeout bounds one append; 50 ms to 1 min.
	Timeout wick.Duration `json:"Timeout"`
}

// Hosts configures access to the platform's list of hosts.
type Hosts struct {
	// Address is empty where the platform has no list.
	Address wick.Address `json:"Address,omitempty"`
	// Every is the polling interval; 50 ms to 1 min.
	Every wick.Duration `json:"Every"`
}

// Lease configures the timing of views and leases.
type Lease struct {
	// TTL is how long an owner may act after a renewal; 200 ms to 1 min.
	TTL wick.Duration `json:"TTL"`
	// Renew is the renewal interval; 10 ms to a third of TTL.
	Renew wick.Duration `json:"Renew"`
	// Suspect is the silence after which a member is removed from the view;
	// twice Renew to 1 min.
	Suspect wick.Duration `json:"Suspect"`
	// Drift is added to TTL because the hosts' clocks may run at different
	// rates; a hundredth of TTL to TTL.
	Drift wick.Duration `json:"Drift"`
}

// Claim configures the timing of claims on commands that run at most once.
type Claim struct {
	// Life is how long an idempotency key is remembered; at least 1 s and at
	// most half of Log.Retention.
	Life wick.Duration `json:"Life"`
	// Batch is how long claim steps are collected for one append; 1 ms to 1 s.
	Batch wick.Duration `json:"Batch"`
}

// Limits bound the load that one daemon accepts.
type Limits struct {
	// BodyBytes bounds the body of a request; 1 KiB to 1 GiB.
	BodyBytes wick.Bytes `json:"BodyBytes"`
	// Requests bounds the requests in flight; 1 to 1,000,000.
	Requests int `json:"Requests"`
	// Connections bounds the open caller connections; 1 to 1,000,000.
	Connections int `json:"Connections"`
	// Idle is how long an idle caller connection stays open; 1 s to 1 h.
	Idle wick.Duration `json:"Idle"`
	// Silence is how long an endpoint may send nothing on a request before
	// the request fails. It also bounds one order to an engine; 50 ms to
	// 10 min.
	Silence wick.Duration `json:"Silence"`
}

// Choice selects one of a policy's two implementations.
type Choice string

// The implementations of each policy.
const (
	// Chosen selects the implementation that the design decided for; it is
	// the default.
	Chosen Choice = "Chosen"
	// Baseline selects a simple implementation, for comparisons.
	Baseline Choice = "Baseline"
)

// Policy selects the implementation of each policy.
type Policy struct {
	Router Choice `json:"Router"`
	Order  Choice `json:"Order"`
	Evict  Choice `json:"Evict"`
	Admit  Choice `json:"Admit"`
	Eject  Choice `json:"Eject"`
	Hedge  Choice `json:"Hedge"`
	Place  Choice `json:"Place"`
	Retry  Choice `json:"Retry"`
}

// Uniform returns the same choice for every policy.
func Uniform(c Choice) Policy {
	var p Policy
	for _, choice := range p.Each {
		*choice = c
	}
	return p
}

// Each calls yield with the name and the choice of every policy.
func (p *Policy) Each(yield func(name string, c *Choice) bool) {
	_ = yield("Router", &p.Router) &&
		yield("Order", &p.Order) &&
		yield("Evict", &p.Evict) &&
		yield("Admit", &p.Admit) &&
		yield("Eject", &p.Eject) &&
		yield("Hedge", &p.Hedge) &&
		yield("Place", &p.Place) &&
		yield("Retry", &p.Retry)
}

// Stop configures the timing of a graceful shutdown.
type Stop struct {
	// Grace bounds how long a shutdown waits for open streams; 1 s to 24 h.
	Grace wick.Duration `json:"Grace"`
	// Linger is how long a stopping daemon still serves callers that cached
	// its address; 0 s to 1 h.
	Linger wick.Duration `json:"Linger"`
}

// Token is the operators' bearer token. Its String method hides the value.
type Token string

// String returns a placeholder.
func (t Token) String() string { return "(token)" }

// Default returns the values of the settings that a file omits. Host, Domain,
// the addresses, the keys and the token have no default.
func Default() Settings {
	return Settings{
		Log:    Log{Retention: hours(168), Timeout: millis(2000)},
		Hosts:  Hosts{Every: millis(500)},
		Lease:  Lease{TTL: millis(1500), Renew: millis(300), Suspect: millis(1000), Drift: millis(150)},
		Claim:  Claim{Life: hours(24), Batch: millis(50)},
		Stale:  millis(9000),
		Limits: Limits{BodyBytes: 16 * mebibyte, Requests: 20_000, Connections: 20_000, Idle: millis(60_000), Silence: millis(2000)},
		Policy: Uniform(Chosen),
		Stop:   Stop{Grace: hours(1), Linger: millis(5000)},
	}
}

const (
	kibibyte wick.Bytes = 1 << 10
	mebibyte wick.Bytes = 1 << 20
	gibibyte wick.Bytes = 1 << 30
)

func millis(n int) wick.Duration { return wick.Duration(n) * wick.Duration(time.Millisecond) }

func hours(n int) wick.Duration { return wick.Duration(n) * wick.Duration(time.Hour) }

// Parse decodes settings on top of the defaults and validates them.
func Parse(data []byte) (Settings, error) {
	s := Default()
	if err := codec.DecodeStrict(data, &s); err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	if err := s.Check(); err != nil {
		return Settings{}, fmt.Errorf("check settings: %w", err)
	}
	return s, nil
}

// Load reads and validates a settings file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("load settings: %w", err)
	}
	s, err := Parse(data)
	if err != nil {
		return Settings{}, fmt.Errorf("file %s: %w", file, err)
	}
	return s, nil
}

// Secret returns the operators' token, read from TokenFile if that is set.
func (a Admin) Secret() (Token, error) {
	if a.TokenFile == "" {
		return a.Token, nil
	}
	data, err := os.ReadFile(a.TokenFile)
	if err != nil {
		return "", fmt.Errorf("read token: %w", err)
	}
	token := Token(strings.TrimSpace(string(data)))
	if err := token.check(); err != nil {
		return "", fmt.Errorf("token in %s: %w", a.TokenFile, err)
	}
	return token, nil
}
