package verbs

import (
	"crypto/tls"
	"fmt"

	"currantwick"
	"currantwick/admin"
	"currantwick/certs"
	"currantwick/setup"

	"github.com/prometheus/client_golang/prometheus"
)

// doors is what a daemon shows to those who connect.
type doors struct {
	// entry and admin are nil for plain HTTP.
	entry, admin *tls.Config
	// sources are all that SIGHUP reloads.
	sources []*certs.Source
}

func newDoors(s setup.Settings, keys *certs.Source) (*doors, error) {
	host, err := keys.Host()
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	if host != s.Host {
		return nil, fmt.Errorf("keys: certificate names host %s, settings name %s", host, s.Host)
	}
	d := &doors{sources: []*certs.Source{keys}}
	if d.entry, err = d.open(s.Entry.TLS); err != nil {
		return nil, fmt.Errorf("keys for callers: %w", err)
	}
	if d.admin, err = d.open(s.Admin.TLS); err != nil {
		return nil, fmt.Errorf("keys for operators: %w", err)
	}
	return d, nil
}

func (d *doors) open(p *setup.KeyPair) (*tls.Config, error) {
	if p == nil {
		return nil, nil
	}
	source, err := certs.NewSource(certs.Files{Cert: p.Cert, Key: p.Key}.Load)
	if err != nil {
		return nil, err
	}
	d.sources = append(d.sources, source)
	return source.Plain(), nil
}

// operators opens the operators' interface.
func (d *doors) operators(s setup.Settings, o wick.Operator, metrics prometheus.Gatherer) (*admin.Server, error) {
	token, err := s.Admin.Secret()
	if err != nil {
		return nil, fmt.Errorf("operators: %w", err)
	}
	server, err := admin.Listen(admin.Config{
		Address:  s.Admin.Address,
		TLS:      d.admin,
		Token:    string(token),
		Operator: o,
		Metrics:  metrics,
	})
	if err != nil {
		return nil, fmt.Errorf("operators: %w", err)
	}
	return server, nil
}
