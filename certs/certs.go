// Package certs makes and loads the material for mutual TLS between daemons.
// A certificate names its host, and daemons believe that name alone: addresses
// change with every replacement of a machine.
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

// ALPN is the protocol that daemons speak to one another over QUIC.
const ALPN = "currantwick"

const (
	organization = "currantwick"
	// backdate allows for hosts whose clocks run behind.
	backdate = 5 * time.Minute
	year     = 365 * 24 * time.Hour
	serials  = 128 // bits of a serial number

	certType = "CERTIFICATE"
	keyType  = "PRIVATE KEY"
)

// Config tells how an authority is made.
type Config struct {
	// Now is the time from which certificates hold; the zero time stands for
	// the present.
	Now time.Time
	// Life is how long certificates hold; 0 stands for a year.
	Life time.Duration
}

// PEM is a certificate with its key, as files hold them.
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

// NewAuthority makes an authority with a new key.
func NewAuthority(cfg Config) (*Authority, error) {
	template, err := cfg.template(organization + " authority")
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	p, err := issue(template, nil)
	if err != nil {
		return nil, fmt.Errorf("make authority: %w", err)
	}
	return LoadAuthority(p)
}

// LoadAuthority reads an authority that was made before. Certificates after the
// first are passed over.
func LoadAuthority(p PEM) (*Authority, error) {
	pair, err := tls.X509KeyPair(p.Cert, p.Key)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok || !pair.Leaf.IsCA {
		return nil, errors.New("read authority: want a CA certificate with an ECDSA key")
	}
	own := pem.EncodeToMemory(&pem.Block{Type: certType, Bytes: pair.Leaf.Raw})
	return &Authority{pair.Leaf, key, PEM{own, p.Key}}, nil
}

// PEM returns the authority's certificate and key.
func (a *Authority) PEM() PEM { return a.pem }

// Issue makes a certificate with a new key for a host.
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
	p, err := issue(template, a)
	if err != nil {
		return PEM{}, fmt.Errorf("issue certificate for %s: %w", host, err)
	}
	return p, nil
}

// template returns what all certificates have in common.
func (c Config) template(name string) (*x509.Certificate, error) {
	life := c.Life
	if life == 0 {
		life = year
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serials))
	if err != nil {
		return nil, fmt.Errorf("draw serial number: %w", err)
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

// issue signs a template with a new key, by itself if there is no authority.
func issue(template *x509.Certificate, by *Authority) (PEM, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return PEM{}, fmt.Errorf("make key: %w", err)
	}
	parent, signer := template, key
	if by != nil {
		parent, signer = by.cert, by.key
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return PEM{}, fmt.Errorf("sign: %w", err)
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
