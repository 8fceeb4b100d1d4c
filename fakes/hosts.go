package fakes

import (
	"fmt"
	"sync"
	"time"

	"currantwick"

	"github.com/valyala/fasthttp"
)

// HostsConfig configures a Hosts.
type HostsConfig struct {
	// Address is where the list is served; port 0 picks a free port.
	Address wick.Address `json:"Address"`
	// Lag is the delay until a change of the list is served.
	Lag wick.Duration `json:"Lag,omitempty"`
	// Hosts is the initial list.
	Hosts []wick.HostStatus `json:"Hosts,omitempty"`
}

// HostsControl changes the list: Set adds hosts or replaces their states, and
// Remove removes hosts.
type HostsControl struct {
	Set    []wick.HostStatus `json:"Set,omitempty"`
	Remove []wick.HostName   `json:"Remove,omitempty"`
	// DownFor makes the list unavailable for this time.
	DownFor wick.Duration `json:"DownFor,omitempty"`
}

// Hosts is a fake of the platform's list of hosts.
type Hosts struct {
	cfg    HostsConfig
	server *server

	mu sync.Mutex
	// lists holds the versions of the list, oldest first; the first is the
	// served one.
	lists []hostList
}

type hostList struct {
	at    time.Time
	hosts []wick.HostStatus
}

// StartHosts starts serving a list.
func StartHosts(cfg HostsConfig) (*Hosts, error) {
	h := &Hosts{cfg: cfg}
	h.lists = []hostList{{time.Now(), cfg.Hosts}}
	h.server = newServer(h.handle)
	if err := h.server.open(cfg.Address); err != nil {
		return nil, fmt.Errorf("host list: %w", err)
	}
	return h, nil
}

// Address returns where the list is served.
func (h *Hosts) Address() wick.Address { return h.server.Address() }

// Close stops serving.
func (h *Hosts) Close() error { return h.server.Close() }

// Control changes the list.
func (h *Hosts) Control(c HostsControl) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.lists[len(h.lists)-1].hosts
	drop := map[wick.HostName]bool{}
	for _, name := range c.Remove {
		drop[name] = true
	}
	for _, s := range c.Set {
		drop[s.Host] = true
	}
	var hosts []wick.HostStatus
	for _, s := range old {
		if !drop[s.Host] {
			hosts = append(hosts, s)
		}
	}
	hosts = append(hosts, c.Set...)
	h.lists = append(h.lists, hostList{time.Now(), hosts})
	if c.DownFor > 0 {
		h.server.crash(c.DownFor.Std())
	}
}

// list returns the newest version of the list that is at least Lag old, or the
// oldest one.
func (h *Hosts) list() []wick.HostStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.lists) > 1 && time.Since(h.lists[1].at) >= h.cfg.Lag.Std() {
		h.lists = h.lists[1:]
	}
	hosts := h.lists[0].hosts
	if hosts == nil {
		return []wick.HostStatus{}
	}
	return hosts
}

func (h *Hosts) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/hosts":
		reply(ctx, h.list())
	case "/control":
		var c HostsControl
		if decodeControl(ctx, &c) {
			h.Control(c)
		}
	default:
		refuse(ctx, fasthttp.StatusNotFound, "no such path")
	}
}
