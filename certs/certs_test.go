package certs

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"currantwick"

	"golang.org/x/sync/errgroup"
)

var day = Config{Life: 24 * time.Hour}

func authority(t *testing.T, cfg Config) *Authority {
	t.Helper()
	a, err := NewAuthority(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func issueCert(t *testing.T, a *Authority, cfg Config, host wick.HostName) PEM {
	t.Helper()
	p, err := a.Issue(cfg, host)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func source(t *testing.T, ca []byte, p PEM) *Source {
	t.Helper()
	m, err := NewMaterial(ca, p)
	if err != nil {
		t.Fatal(err)
	}
	return NewStaticSource(m)
}

// unverified returns a source whose certificate NewMaterial would reject.
func unverified(t *testing.T, a *Authority, p PEM) *Source {
	t.Helper()
	cert, err := tls.X509KeyPair(p.Cert, p.Key)
	if err != nil {
		t.Fatal(err)
	}
	m, err := NewMaterial(a.PEM().Cert, issueCert(t, a, day, "x"))
	if err != nil {
		t.Fatal(err)
	}
	m.Cert = cert
	return NewStaticSource(m)
}

// handshake runs a TLS handshake and returns the host that each side verified.
func handshake(t *testing.T, server, client *tls.Config) (atServer, atClient wick.HostName, err error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var g errgroup.Group
	g.Go(func() error {
		raw, err := l.Accept()
		if err != nil {
			return err
		}
		return handshakeSide(tls.Server(raw, server), &atServer)
	})
	g.Go(func() error {
		raw, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			return err
		}
		return handshakeSide(tls.Client(raw, client), &atClient)
	})
	err = g.Wait()
	return atServer, atClient, err
}

// handshakeSide runs one side of a handshake and stores the peer's host.
func handshakeSide(c *tls.Conn, saw *wick.HostName) error {
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return err
	}
	if err := c.Handshake(); err != nil {
		return err
	}
	host, err := PeerHost(c.ConnectionState())
	*saw = host
	return err
}

func TestMutualTLSVerifiesHosts(t *testing.T) {
	ours, theirs := authority(t, day), authority(t, day)
	ca := ours.PEM().Cert
	good := source(t, ca, issueCert(t, ours, day, "h1"))
	old := Config{Now: time.Now().Add(-time.Hour), Life: time.Minute}
	tests := []struct {
		name string
		peer *Source
		want wick.HostName // empty if the handshake must fail
	}{
		{"good", source(t, ca, issueCert(t, ours, day, "h2")), "h2"},
		{"issued by another authority", unverified(t, ours, issueCert(t, theirs, day, "h2")), ""},
		{"expired", unverified(t, ours, issueCert(t, ours, old, "h2")), ""},
		{"the authority itself", unverified(t, ours, ours.PEM()), ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			saw, _, err := handshake(t, good.PeerServer(), test.peer.PeerClient())
			if saw != test.want || (err == nil) != (test.want != "") {
				t.Errorf("server saw %q, %v", saw, err)
			}
			_, saw, err = handshake(t, test.peer.PeerServer(), good.PeerClient())
			if saw != test.want || (err == nil) != (test.want != "") {
				t.Errorf("client saw %q, %v", saw, err)
			}
		})
	}
	none := good.PeerClient()
	none.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &tls.Certificate{}, nil
	}
	if saw, _, err := handshake(t, good.PeerServer(), none); err == nil {
		t.Errorf("no certificate: server saw %q", saw)
	}
}

func TestReloadRotatesAuthority(t *testing.T) {
	dir := t.TempDir()
	files := Files{filepath.Join(dir, "ca.pem"), filepath.Join(dir, "h1.pem"), filepath.Join(dir, "h1.key")}
	write := func(ca []byte, p PEM) {
		t.Helper()
		for name, data := range map[string][]byte{files.CA: ca, files.Cert: p.Cert, files.Key: p.Key} {
			if err := os.WriteFile(name, data, 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	before, after := authority(t, day), authority(t, day)
	write(before.PEM().Cert, issueCert(t, before, day, "h1"))
	s, err := NewSource(files.Load)
	if err != nil {
		t.Fatal(err)
	}
	server := s.PeerServer()
	peer := source(t, append(after.PEM().Cert, before.PEM().Cert...), issueCert(t, after, day, "h2"))
	if _, _, err := handshake(t, server, peer.PeerClient()); err == nil {
		t.Error("new authority trusted before the reload")
	}
	write(after.PEM().Cert, PEM{Cert: []byte("broken")})
	if err := s.Reload(); err == nil {
		t.Error("broken files loaded")
	}
	write(after.PEM().Cert, issueCert(t, before, day, "h1"))
	if err := s.Reload(); err == nil || !strings.Contains(err.Error(), "daemon certificate") {
		t.Errorf("certificate not issued by the CA: %v", err)
	}
	write(after.PEM().Cert, issueCert(t, after, day, "h1"))
	if err := s.Reload(); err != nil {
		t.Fatal(err)
	}
	if saw, _, err := handshake(t, server, peer.PeerClient()); err != nil || saw != "h2" {
		t.Errorf("after the reload: server saw %q, %v", saw, err)
	}
}

func FuzzNewMaterial(f *testing.F) {
	a, err := NewAuthority(day)
	if err != nil {
		f.Fatal(err)
	}
	p, err := a.Issue(day, "h1")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(a.PEM().Cert, p.Cert, p.Key)
	f.Fuzz(func(t *testing.T, ca, cert, key []byte) {
		if ca == nil {
			return
		}
		m, err := NewMaterial(ca, PEM{cert, key})
		if err != nil {
			return
		}
		if _, err := HostOf(m.Cert.Leaf); err != nil {
			t.Errorf("accepted a certificate without a host: %v", err)
		}
	})
}
