// Package certs creates and loads the keys and certificates for mutual TLS
// between daemons. A certificate names its host, and daemons trust only that
// name: addresses change whenever a machine is replaced.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"time"

	"currantwick"
)

// ALPN is the protocol name for QUIC connections between daemons.
const ALPN = "currantwick"

const (
	organization = "currantwick"
	// backdate tolerates hosts whose clocks run behind.
	backdate   = 5 * time.Minute
	year       = 365 * 24 * time.Hour
	serialBits = 128 // size of a serial number

	certType = "CERTIFICATE"
	keyType  = "PRIVATE KEY"
)

// Config sets the validity of certificates.
type Config struct {
	// Now is the time of issue; the zero time means the current time. Validity
	// starts 5 minutes earlier.
	Now time.Time
	// Life is how long certificates are valid after Now; 0 means a year.
	Life time.Duration
}

// PEM is a certificate and its key in PEM encoding.
type PEM struct {
	Cert []byte
	Key  []byte
}

// Authority issues certificates for hosts.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  PEM
}

// NewAuthority creates an authority with a new key.
func NewAuthority(cfg Config) (*Authority, error) {
	template, err := cfg.template(organization + " authority")
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	p, err := sign(template, nil)
	if err != nil {
		return nil, fmt.Errorf("create authority: %w", err)
	}
	return LoadAuthority(p)
}

// LoadAuthority parses an existing authority. Certificates after the first are
// ignored.
func LoadAuthority(p PEM) (*Authority, error) {
	pair, err := tls.X509KeyPair(p.Cert, p.Key)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok || !pair.Leaf.IsCA {
		return nil, errors.New("read authority: want a CA certificate with an ECDSA key")
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: certType, Bytes: pair.Leaf.Raw})
	return &Authority{pair.Leaf, key, PEM{certPEM, p.Key}}, nil
}

// PEM returns the authority's certificate and key.
func (a *Authority) PEM() PEM { return a.pem }

// Issue creates a new key and a certificate for a host.
func (a *Authority) Issue(cfg Config, host wick.HostName) (PEM, error) {
	if err := host.Check(); err != nil {
		return PEM{}, fmt.Errorf("issue certificate: %w", err)
	}
	template, err := cfg.template(string(host))
	if err != nil {
		return PEM{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	p, err := sign(template, a)
	if err != nil {
		return PEM{}, fmt.Errorf("issue certificate for %s: %w", host, err)
	}
	return p, nil
}

// template returns the fields that all certificates share.
func (c Config) template(name string) (*x509.Certificate, error) {
	life := c.Life
	if life == 0 {
		life = year
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("generate serial number: %w", err)
	}
	now := c.Now
	if now.IsZero() {
		now = time.Now()
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{Organization: []string{organization}, CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(life),
	}, nil
}

// sign creates a key and signs a certificate for it; the certificate is
// self-signed if by is nil.
func sign(template *x509.Certificate, by *Authority) (PEM, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return PEM{}, fmt.Errorf("generate key: %w", err)
	}
	parent, signer := template, key
	if by != nil {
		parent, signer = by.cert, by.key
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return PEM{}, fmt.Errorf("sign certificate: %w", err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return PEM{}, fmt.Errorf("encode key: %w", err)
	}
	return PEM{
		Cert: pem.EncodeToMemory(&pem.Block{Type: certType, Bytes: cert}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: keyType, Bytes: der}),
	}, nil
}

// HostOf returns the host that a certificate names.
func HostOf(cert *x509.Certificate) (wick.HostName, error) {
	host := wick.HostName(cert.Subject.CommonName)
	if err := host.Check(); err != nil {
		return "", fmt.Errorf("certificate names no host: %w", err)
	}
	return host, nil
}
