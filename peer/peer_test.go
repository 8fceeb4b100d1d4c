package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"testing"
	"time"

	"currantwick"
	"currantwick/certs"
	"currantwick/codec"

	"golang.org/x/sync/errgroup"
)

const idleTimeout = 600 * time.Millisecond

// handler answers calls with the caller's host, and submissions with frames.
type handler struct {
	// canceled is closed when the context of a submission that blocks ends.
	canceled chan struct{}
}

func (h *handler) HandleCall(_ context.Context, from wick.HostName, msg wick.PeerMessage) (wick.PeerMessage, error) {
	if msg.Fetch != nil {
		return wick.PeerMessage{}, wick.NotRunf(wick.CodeStale, "nothing to fetch")
	}
	return wick.PeerMessage{Grant: &wick.Grant{Store: "s", From: from}}, nil
}

func (h *handler) HandleSubmit(ctx context.Context, _ wick.HostName, sub wick.Submission, emit func(wick.Frame) error) error {
	frame := wick.Frame{Request: sub.Request, Kind: wick.FrameStart}
	if sub.Endpoint == "wrong-request-id" {
		frame.Request = "other"
	}
	if err := emit(frame); err != nil {
		return err
	}
	switch sub.Endpoint {
	case "blocks":
		<-ctx.Done()
		close(h.canceled)
	case "fails":
		return wick.NotRunf(wick.CodeNotOwner, "moved")
	}
	return nil
}

type nopObserver struct{}

func (nopObserver) CallFinished(wick.Bytes, wick.Bytes) {}

// pair is a server with a client, both with keys of one authority.
type pair struct {
	client  *Client
	address wick.Address
	handler *handler
}

func newPair(t *testing.T) *pair {
	t.Helper()
	authority, err := certs.NewAuthority(certs.Config{Life: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	h := &handler{canceled: make(chan struct{})}
	server, err := Listen(ServerConfig{
		Address: "127.0.0.1:0", TLS: keys(t, authority, "server").PeerServer(),
		HostOf:      func(c *x509.Certificate) (wick.HostName, error) { return certs.HostOf(c) },
		IdleTimeout: idleTimeout, Handler: h, Observer: nopObserver{},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return server.Run(ctx) })
	source := keys(t, authority, "client")
	client := NewClient(ClientConfig{TLS: func() *tls.Config { return source.PeerClient() }, IdleTimeout: idleTimeout, Observer: nopObserver{}})
	t.Cleanup(func() {
		client.Close()
		stop()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return &pair{client, server.Address(), h}
}

func keys(t *testing.T, a *certs.Authority, host wick.HostName) *certs.Source {
	t.Helper()
	p, err := a.Issue(certs.Config{Life: time.Hour}, host)
	if err != nil {
		t.Fatal(err)
	}
	m, err := certs.NewMaterial(a.PEM().Cert, p)
	if err != nil {
		t.Fatal(err)
	}
	return certs.NewStaticSource(m)
}

func TestCall(t *testing.T) {
	p := newPair(t)
	tests := []struct {
		name string
		msg  wick.PeerMessage
		code wick.Code
	}{
		{"answered", wick.PeerMessage{Grant: &wick.Grant{Store: "s", From: "client"}}, ""},
		{"refused", wick.PeerMessage{Fetch: &wick.Fetch{Stream: wick.ConfigStream}}, wick.CodeStale},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, err := p.client.Call(t.Context(), p.address, test.msg)
			var fail *wick.Error
			switch {
			case test.code != "" && (!errors.As(err, &fail) || fail.Code != test.code):
				t.Errorf("got %v, want %s", err, test.code)
			case test.code == "" && (err != nil || got.Grant == nil || got.Grant.From != "client"):
				t.Errorf("got %+v, %v", got, err)
			}
		})
	}
}

func TestSubmit(t *testing.T) {
	p := newPair(t)
	tests := []struct {
		endpoint wick.EndpointName
		to       wick.Address
		code     wick.Code
		outcome  wick.Outcome
	}{
		{"ends-early", p.address, wick.CodeBroken, wick.Unknown},
		{"wrong-request-id", p.address, wick.CodeMismatch, wick.Unknown},
		{"fails", p.address, wick.CodeNotOwner, wick.NotRun},
		{"unreachable", "127.0.0.1:1", wick.CodeNoEndpoint, wick.NotRun},
	}
	for _, test := range tests {
		t.Run(string(test.endpoint), func(t *testing.T) {
			var fail *wick.Error
			if err := readAll(t.Context(), p.client, test.to, test.endpoint); !errors.As(err, &fail) {
				t.Fatalf("got %v", err)
			}
			if fail.Code != test.code || fail.Outcome != test.outcome {
				t.Errorf("got %v, want %s (%s)", fail, test.code, test.outcome)
			}
		})
	}
}

// readAll submits a request and reads frames until one fails.
func readAll(ctx context.Context, c *Client, to wick.Address, e wick.EndpointName) error {
	s, err := c.Submit(ctx, to, submission(e))
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	for {
		f, err := s.Next(ctx)
		if err != nil {
			return err
		}
		if f.Kind == wick.FrameFail {
			return f.Fail
		}
	}
}

func submission(e wick.EndpointName) wick.Submission {
	name := wick.EndpointName(bytes.ReplaceAll([]byte(e), []byte(" "), []byte("-")))
	return wick.Submission{
		Request: "q", Endpoint: name, TimeLeft: wick.Duration(time.Second),
		Work: &wick.Work{Model: "m", MaxTokens: 1},
	}
}

// TestCloseCancelsRequest checks that closing the stream at the reader cancels
// the request at the owner.
func TestCloseCancelsRequest(t *testing.T) {
	p := newPair(t)
	s, err := p.client.Submit(t.Context(), p.address, submission("blocks"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Next(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case <-p.handler.canceled:
	case <-time.After(5 * time.Second):
		t.Error("the request was not canceled at the owner")
	}
}

func FuzzReadOpening(f *testing.F) {
	for _, o := range []streamHeader{
		{Call: &wick.PeerMessage{Fetch: &wick.Fetch{Stream: wick.ConfigStream}}},
		{Submit: &wick.Submission{Request: "q", Endpoint: "e", TimeLeft: 1, Call: &wick.Call{Path: "/"}}},
	} {
		var buf bytes.Buffer
		if _, err := writeValue(&buf, o); err != nil {
			f.Fatal(err)
		}
		f.Add(buf.Bytes())
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var got streamHeader
		if _, err := readValue(bytes.NewReader(data), &got); err != nil {
			return
		}
		if err := got.Check(); err != nil {
			t.Errorf("accepted %+v: %v", got, err)
		}
		if _, err := codec.EncodeCBOR(got); err != nil {
			t.Errorf("decoded value does not encode: %v", err)
		}
	})
}
