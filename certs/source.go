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

// Material is the certificate that a daemon presents and the authorities it
// trusts.
type Material struct {
	// Cert is presented to the peer.
	Cert tls.Certificate
	// Roots are the trusted authorities; nil where the peer presents no
	// certificate.
	Roots *x509.CertPool
}

// Files names PEM files. Without CA the material is for a server whose clients
// present no certificate.
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

// NewMaterial builds material from PEM. If ca is given, the certificate must
// name a host and be issued by one of the authorities in ca.
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
		return Material{}, errors.New("CA: no certificate found")
	}
	if _, err := m.verify([]*x509.Certificate{cert.Leaf}); err != nil {
		return Material{}, fmt.Errorf("daemon certificate: %w", err)
	}
	return m, nil
}

// verify verifies a certificate chain and returns the host it names.
func (m Material) verify(chain []*x509.Certificate) (wick.HostName, error) {
	if len(chain) == 0 {
		return "", errors.New("no certificate was presented")
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	for _, use := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		_, err := chain[0].Verify(x509.VerifyOptions{
			Roots:         m.Roots,
			Intermediates: intermediates,
			KeyUsages:     []x509.ExtKeyUsage{use},
		})
		if err != nil {
			return "", fmt.Errorf("verify certificate: %w", err)
		}
	}
	return HostOf(chain[0])
}

// Source provides TLS settings that follow its material: connections made after
// a reload use the new material. It is safe for concurrent use.
type Source struct {
	load    func() (Material, error)
	current atomic.Pointer[Material]
}

// NewSource loads the initial material. load is called again by each Reload;
// Files.Load is one implementation.
func NewSource(load func() (Material, error)) (*Source, error) {
	s := &Source{load: load}
	if err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// NewStaticSource returns a source of fixed material.
func NewStaticSource(m Material) *Source {
	s := &Source{load: func() (Material, error) { return m, nil }}
	s.current.Store(&m)
	return s
}

// Reload replaces the material. After an error the old material stays in use.
func (s *Source) Reload() error {
	m, err := s.load()
	if err != nil {
		return fmt.Errorf("reload certificates: %w", err)
	}
	s.current.Store(&m)
	return nil
}

// Host returns the host that the source's certificate names.
func (s *Source) Host() (wick.HostName, error) {
	return HostOf(s.current.Load().Cert.Leaf)
}

// Expires returns when the source's certificate expires.
func (s *Source) Expires() time.Time { return s.current.Load().Cert.Leaf.NotAfter }

// PeerServer returns the settings for accepting connections of other daemons.
func (s *Source) PeerServer() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{ALPN},
		ClientAuth:             tls.RequireAnyClientCert, // VerifyConnection verifies it.
		GetCertificate:         s.serverCert,
		VerifyConnection:       s.verify,
		SessionTicketsDisabled: true, // Every connection must prove its host.
	}
}

// PeerClient returns the settings for connecting to other daemons.
func (s *Source) PeerClient() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		NextProtos:           []string{ALPN},
		GetClientCertificate: s.clientCert,
		// Peers are dialed by address while certificates name hosts, so
		// VerifyConnection replaces the usual check of the server name.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verify,
	}
}

// ServerTLS returns the settings of a listener whose clients present no
// certificate.
func (s *Source) ServerTLS() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: s.serverCert}
}

func (s *Source) serverCert(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &s.current.Load().Cert, nil
}

func (s *Source) clientCert(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return &s.current.Load().Cert, nil
}

func (s *Source) verify(cs tls.ConnectionState) error {
	_, err := s.current.Load().verify(cs.PeerCertificates)
	return err
}

// PeerHost returns the host at the remote end of a connection made with
// PeerServer or PeerClient.
func PeerHost(cs tls.ConnectionState) (wick.HostName, error) {
	if len(cs.PeerCertificates) == 0 {
		return "", errors.New("peer presented no certificate")
	}
	return HostOf(cs.PeerCertificates[0])
}
