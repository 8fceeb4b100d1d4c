package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"currantwick"
)

// Material is what a daemon shows and believes.
type Material struct {
	// Cert is shown to the other side.
	Cert tls.Certificate
	// Roots are the authorities that are believed; nil where the other side
	// shows no certificate.
	Roots *x509.CertPool
}

// Files names PEM files. Without CA the material is for a server whose clients
// show no certificate.
type Files struct {
	CA   string
	Cert string
	Key  string
}

// Load reads the files.
func (f Files) Load() (Material, error) {
	pair, err := readPair(f.Cert, f.Key)
	if err != nil {
		return Material{}, err
	}
	if f.CA == "" {
		return NewMaterial(nil, pair)
	}
	ca, err := os.ReadFile(f.CA)
	if err != nil {
		return Material{}, fmt.Errorf("read CA: %w", err)
	}
	return NewMaterial(ca, pair)
}

func readPair(cert, key string) (PEM, error) {
	var p PEM
	var err error
	if p.Cert, err = os.ReadFile(cert); err != nil {
		return PEM{}, fmt.Errorf("read certificate: %w", err)
	}
	if p.Key, err = os.ReadFile(key); err != nil {
		return PEM{}, fmt.Errorf("read key: %w", err)
	}
	return p, nil
}

// NewMaterial builds material from PEM. With authorities, the certificate must
// name a host and be issued by one of them.
func NewMaterial(ca []byte, p PEM) (Material, error) {
	cert, err := tls.X509KeyPair(p.Cert, p.Key)
	if err != nil {
		return Material{}, fmt.Errorf("certificate and key: %w", err)
	}
	if ca == nil {
		return Material{Cert: cert}, nil
	}
	m := Material{Cert: cert, Roots: x509.NewCertPool()}
	if !m.Roots.AppendCertsFromPEM(ca) {
		return Material{}, errors.New("CA: holds no certificate")
	}
	if _, err := m.verify([]*x509.Certificate{cert.Leaf}); err != nil {
		return Material{}, fmt.Errorf("own certificate: %w", err)
	}
	return m, nil
}

// verify returns the host that a chain of certificates proves.
func (m Material) verify(chain []*x509.Certificate) (wick.HostName, error) {
	if len(chain) == 0 {
		return "", errors.New("no certificate was shown")
	}
	between := x509.NewCertPool()
	for _, c := range chain[1:] {
		between.AddCert(c)
	}
	for _, use := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		_, err := chain[0].Verify(x509.VerifyOptions{
			Roots:         m.Roots,
			Intermediates: between,
			KeyUsages:     []x509.ExtKeyUsage{use},
		})
		if err != nil {
			return "", fmt.Errorf("verify certificate: %w", err)
		}
	}
	return HostOf(chain[0])
}

// Source gives out TLS settings that follow its material: connections made
// after a reload use the new one. It is safe for concurrent use.
type Source struct {
	load func() (Material, error)
	now  atomic.Pointer[Material]
}

// NewSource loads material for the first time. load is called again by each
// Reload; the method Files.Load is one.
func NewSource(load func() (Material, error)) (*Source, error) {
	s := &Source{load: load}
	if err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Static returns a source of material that is in memory.
func Static(m Material) *Source {
	s := &Source{load: func() (Material, error) { return m, nil }}
	s.now.Store(&m)
	return s
}

// Reload takes new material. After an error the old one stays in use.
func (s *Source) Reload() error {
	m, err := s.load()
	if err != nil {
		return fmt.Errorf("reload certificates: %w", err)
	}
	s.now.Store(&m)
	return nil
}

// Host returns the host that the source's own certificate names.
func (s *Source) Host() (wick.HostName, error) {
	return HostOf(s.now.Load().Cert.Leaf)
}

// Expires returns when the source's own certificate ends.
func (s *Source) Expires() time.Time { return s.now.Load().Cert.Leaf.NotAfter }

// PeerServer returns the settings of a daemon's listener for other daemons.
func (s *Source) PeerServer() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{ALPN},
		ClientAuth:             tls.RequireAnyClientCert, // VerifyConnection does the rest.
		GetCertificate:         s.server,
		VerifyConnection:       s.verify,
		SessionTicketsDisabled: true, // Each connection proves its host anew.
	}
}

// PeerClient returns the settings for connections to other daemons.
func (s *Source) PeerClient() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		NextProtos:           []string{ALPN},
		GetClientCertificate: s.client,
		// Peers are reached by address, while certificates name hosts, so that
		// VerifyConnection takes the place of the usual check by server name.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verify,
	}
}

// Plain returns the settings of a listener whose clients show no certificate.
func (s *Source) Plain() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: s.server}
}

func (s *Source) server(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &s.now.Load().Cert, nil
}

func (s *Source) client(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return &s.now.Load().Cert, nil
}

func (s *Source) verify(cs tls.ConnectionState) error {
	_, err := s.now.Load().verify(cs.PeerCertificates)
	return err
}

// Peer returns the host at the other end of a connection made with PeerServer
// or PeerClient.
func Peer(cs tls.ConnectionState) (wick.HostName, error) {
	if len(cs.PeerCertificates) == 0 {
		return "", errors.New("peer showed no certificate")
	}
	return HostOf(cs.PeerCertificates[0])
}
