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

func issued(t *testing.T, a *Authority, cfg Config, host wick.HostName) PEM {
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
	return Static(m)
}

// unchecked is material whose own certificate would not pass.
func unchecked(t *testing.T, a *Authority, p PEM) *Source {
	t.Helper()
	cert, err := tls.X509KeyPair(p.Cert, p.Key)
	if err != nil {
		t.Fatal(err)
	}
	m, err := NewMaterial(a.PEM().Cert, issued(t, a, day, "x"))
	if err != nil {
		t.Fatal(err)
	}
	m.Cert = cert
	return Static(m)
}

// shake makes a handshake and returns whom each side saw.
func shake(t *testing.T, server, client *tls.Config) (atServer, atClient wick.HostName, err error) {
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
		return side(tls.Server(raw, server), &atServer)
	})
	g.Go(func() error {
		raw, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			return err
		}
		return side(tls.Client(raw, client), &atClient)
	})
	err = g.Wait()
	return atServer, atClient, err
}

// side makes one side of a handshake and notes whom it saw.
func side(c *tls.Conn, saw *wick.HostName) error {
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return err
	}
	if err := c.Handshake(); err != nil {
		return err
	}
	host, err := Peer(c.ConnectionState())
	*saw = host
	return err
}

func TestPeersProveTheirHosts(t *testing.T) {
	ours, theirs := authority(t, day), authority(t, day)
	ca := ours.PEM().Cert
	good := source(t, ca, issued(t, ours, day, "h1"))
	old := Config{Now: time.Now().Add(-time.Hour), Life: time.Minute}
	tests := []struct {
		name string
		peer *Source
		want wick.HostName // empty if the handshake must fail
	}{
		{"good", source(t, ca, issued(t, ours, day, "h2")), "h2"},
		{"of another authority", unchecked(t, ours, issued(t, theirs, day, "h2")), ""},
		{"expired", unchecked(t, ours, issued(t, ours, old, "h2")), ""},
		{"the authority itself", unchecked(t, ours, ours.PEM()), ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			saw, _, err := shake(t, good.PeerServer(), test.peer.PeerClient())
			if saw != test.want || (err == nil) != (test.want != "") {
				t.Errorf("server saw %q, %v", saw, err)
			}
			_, saw, err = shake(t, test.peer.PeerServer(), good.PeerClient())
			if saw != test.want || (err == nil) != (test.want != "") {
				t.Errorf("client saw %q, %v", saw, err)
			}
		})
	}
	none := good.PeerClient()
	none.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return &tls.Certificate{}, nil
	}
	if saw, _, err := shake(t, good.PeerServer(), none); err == nil {
		t.Errorf("no certificate at all: server saw %q", saw)
	}
}

func TestReloadRotatesWithoutAStop(t *testing.T) {
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
	write(before.PEM().Cert, issued(t, before, day, "h1"))
	s, err := NewSource(files.Load)
	if err != nil {
		t.Fatal(err)
	}
	server := s.PeerServer()
	peer := source(t, append(after.PEM().Cert, before.PEM().Cert...), issued(t, after, day, "h2"))
	if _, _, err := shake(t, server, peer.PeerClient()); err == nil {
		t.Error("new authority believed before the reload")
	}
	write(after.PEM().Cert, PEM{Cert: []byte("broken")})
	if err := s.Reload(); err == nil {
		t.Error("broken files loaded")
	}
	write(after.PEM().Cert, issued(t, before, day, "h1"))
	if err := s.Reload(); err == nil || !strings.Contains(err.Error(), "own certificate") {
		t.Errorf("certificate that its own CA does not cover: %v", err)
	}
	write(after.PEM().Cert, issued(t, after, day, "h1"))
	if err := s.Reload(); err != nil {
		t.Fatal(err)
	}
	if saw, _, err := shake(t, server, peer.PeerClient()); err != nil || saw != "h2" {
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
