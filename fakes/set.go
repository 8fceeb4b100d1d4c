package fakes

import (
	"errors"
	"fmt"

	"currantwick"
)

// SetConfig configures a Set.
type SetConfig struct {
	// Store, Log and Hosts are started only if they are not nil.
	Store    *StoreConfig    `json:"Store,omitempty"`
	Log      *LogConfig      `json:"Log,omitempty"`
	Hosts    *HostsConfig    `json:"Hosts,omitempty"`
	Engines  []EngineConfig  `json:"Engines,omitempty"`
	Services []ServiceConfig `json:"Services,omitempty"`
}

// Addresses holds where the fakes of a process listen.
type Addresses struct {
	Store    wick.Address   `json:"Store,omitempty"`
	Log      wick.Address   `json:"Log,omitempty"`
	Hosts    wick.Address   `json:"Hosts,omitempty"`
	Engines  []wick.Address `json:"Engines,omitempty"`
	Services []wick.Address `json:"Services,omitempty"`
}

// Set is a group of fakes in one process. Engines without a store address load
// from the set's store, if it has one.
type Set struct {
	Store    *Store
	Log      *Log
	Hosts    *Hosts
	Engines  []*Engine
	Services []*Service
}

// StartSet starts all fakes of a set, or none.
func StartSet(cfg SetConfig) (*Set, error) {
	s := &Set{}
	if err := s.start(cfg); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	return s, nil
}

func (s *Set) start(cfg SetConfig) error {
	var err error
	if cfg.Store != nil {
		if s.Store, err = StartStore(*cfg.Store); err != nil {
			return fmt.Errorf("store: %w", err)
		}
	}
	if cfg.Log != nil {
		if s.Log, err = StartLog(*cfg.Log); err != nil {
			return fmt.Errorf("log: %w", err)
		}
	}
	if cfg.Hosts != nil {
		if s.Hosts, err = StartHosts(*cfg.Hosts); err != nil {
			return fmt.Errorf("hosts: %w", err)
		}
	}
	for i, c := range cfg.Engines {
		if c.Store == "" {
			c.Weights = s.Store
		}
		e, err := StartEngine(c)
		if err != nil {
			return fmt.Errorf("engine %d: %w", i, err)
		}
		s.Engines = append(s.Engines, e)
	}
	for i, c := range cfg.Services {
		v, err := StartService(c)
		if err != nil {
			return fmt.Errorf("service %d: %w", i, err)
		}
		s.Services = append(s.Services, v)
	}
	return nil
}

// Addresses returns where the fakes listen.
func (s *Set) Addresses() Addresses {
	var a Addresses
	if s.Store != nil {
		a.Store = s.Store.Address()
	}
	if s.Log != nil {
		a.Log = s.Log.Address()
	}
	if s.Hosts != nil {
		a.Hosts = s.Hosts.Address()
	}
	for _, e := range s.Engines {
		a.Engines = append(a.Engines, e.Address())
	}
	for _, v := range s.Services {
		a.Services = append(a.Services, v.Address())
	}
	return a
}

// Close stops all fakes.
func (s *Set) Close() error {
	var errs []error
	for _, e := range s.Engines {
		errs = append(errs, e.Close())
	}
	for _, v := range s.Services {
		errs = append(errs, v.Close())
	}
	if s.Hosts != nil {
		errs = append(errs, s.Hosts.Close())
	}
	if s.Log != nil {
		errs = append(errs, s.Log.Close())
	}
	if s.Store != nil {
		errs = append(errs, s.Store.Close())
	}
	return errors.Join(errs...)
}
