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

// serverTLS holds the TLS configurations of a daemon's servers for callers and
// operators.
type serverTLS struct {
	// entry and admin are nil for plain HTTP.
	entry, admin *tls.Config
	// sources are the certificate sources that SIGHUP reloads, including the
	// one for peers.
	sources []*certs.Source
}

func newServerTLS(s setup.Settings, keys *certs.Source) (*serverTLS, error) {
	host, err := keys.Host()
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	if host != s.Host {
		return nil, fmt.Errorf("keys: certificate names host %s, settings name %s", host, s.Host)
	}
	t := &serverTLS{sources: []*certs.Source{keys}}
	if t.entry, err = t.load(s.Entry.TLS); err != nil {
		return nil, fmt.Errorf("keys for callers: %w", err)
	}
	if t.admin, err = t.load(s.Admin.TLS); err != nil {
		return nil, fmt.Errorf("keys for operators: %w", err)
	}
	return t, nil
}

func (t *serverTLS) load(p *setup.KeyPair) (*tls.Config, error) {
	if p == nil {
		return nil, nil
	}
	source, err := certs.NewSource(certs.Files{Cert: p.Cert, Key: p.Key}.Load)
	if err != nil {
		return nil, err
	}
	t.sources = append(t.sources, source)
	return source.ServerTLS(), nil
}

// adminServer returns the admin server, which already listens.
func (t *serverTLS) adminServer(s setup.Settings, o wick.Operator, metrics prometheus.Gatherer) (*admin.Server, error) {
	token, err := s.Admin.Secret()
	if err != nil {
		return nil, fmt.Errorf("operators: %w", err)
	}
	server, err := admin.Listen(admin.Config{
		Address:  s.Admin.Address,
		TLS:      t.admin,
		Token:    string(token),
		Operator: o,
		Metrics:  metrics,
	})
	if err != nil {
		return nil, fmt.Errorf("operators: %w", err)
	}
	return server, nil
}
