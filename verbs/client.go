package verbs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"currantwick"
	"currantwick/admin"
	"currantwick/codec"

	"github.com/spf13/pflag"
	"github.com/valyala/fasthttp"
)

// Environment variables that hold the defaults of flags.
const (
	envAdmin     = "CURRANTWICK_ADMIN"
	envTokenFile = "CURRANTWICK_TOKEN_FILE"
	envCA        = "CURRANTWICK_CA"
	envOperator  = "CURRANTWICK_OPERATOR"
)

const (
	// requestTimeout bounds one request; the daemon itself waits up to 30 s
	// for a verdict.
	requestTimeout = 45 * time.Second
	// maxResponseBytes bounds a response, which may hold the whole
	// configuration.
	maxResponseBytes = 256 << 20
)

// adminFlags are the flags of verbs that send requests to a daemon.
type adminFlags struct {
	addresses string
	tokenFile string
	ca        string
}

func (f *adminFlags) register(flags *pflag.FlagSet) {
	flags.StringVar(&f.addresses, "admin", os.Getenv(envAdmin),
		"comma-separated admin `addresses` of one or more daemons; default from $"+envAdmin)
	flags.StringVar(&f.tokenFile, "token-file", os.Getenv(envTokenFile),
		"`file` with the operators' token; default from $"+envTokenFile)
	flags.StringVar(&f.ca, "ca", os.Getenv(envCA),
		"`file` with the CA certificates that daemons' TLS certificates are verified with; plain HTTP if empty; default from $"+envCA)
}

// client sends requests to the first daemon that it can reach.
type client struct {
	addresses []wick.Address
	token     string
	scheme    string
	http      *fasthttp.Client
}

func (f *adminFlags) client() (*client, error) {
	if f.addresses == "" || f.tokenFile == "" {
		return nil, errors.New("-admin and -token-file must be set")
	}
	token, err := os.ReadFile(f.tokenFile)
	if err != nil {
		return nil, fmt.Errorf("read token: %w", err)
	}
	c := &client{
		token:  strings.TrimSpace(string(token)),
		scheme: "http",
		http: &fasthttp.Client{
			ReadTimeout:         requestTimeout,
			MaxResponseBodySize: maxResponseBytes,
		},
	}
	for a := range strings.SplitSeq(f.addresses, ",") {
		if err := wick.Address(a).Check(); err != nil {
			return nil, fmt.Errorf("-admin: %w", err)
		}
		c.addresses = append(c.addresses, wick.Address(a))
	}
	if f.ca != "" {
		c.scheme = "https"
		c.http.TLSConfig, err = trustCA(f.ca)
	}
	return c, err
}

// trustCA returns a TLS configuration that accepts daemons whose certificates
// chain to the CA certificates in a file, whatever host they name.
func trustCA(ca string) (*tls.Config, error) {
	data, err := os.ReadFile(ca)
	if err != nil {
		return nil, fmt.Errorf("read CA: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("file %s holds no certificate", ca)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		// Certificates name hosts, but daemons are reached by IP address.
		InsecureSkipVerify: true,
		VerifyConnection: func(cs tls.ConnectionState) error {
			opts := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool()}
			for _, c := range cs.PeerCertificates[1:] {
				opts.Intermediates.AddCert(c)
			}
			_, err := cs.PeerCertificates[0].Verify(opts)
			return err
		},
	}, nil
}

// response is a daemon's response.
type response struct {
	status int
	body   []byte
}

// do sends a request to the first daemon that can be reached. It tries the next
// one only if nothing was sent.
func (c *client) do(ctx context.Context, method, path string, body []byte) (response, error) {
	var errs []error
	for _, a := range c.addresses {
		got, err := c.send(ctx, a, method, path, body)
		if err == nil {
			return got, nil
		}
		errs = append(errs, fmt.Errorf("daemon at %s: %w", a, err))
		if e := wick.AsError(err); e.Outcome != wick.NotRun || ctx.Err() != nil {
			break
		}
	}
	return response{}, errors.Join(errs...)
}

func (c *client) send(ctx context.Context, at wick.Address, method, path string, body []byte) (response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(c.scheme + "://" + string(at) + path)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	req.SetBodyRaw(body)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(requestTimeout)
	}
	err := c.http.DoDeadline(req, resp, deadline)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return response{}, fmt.Errorf("connect: %w", wick.NotRunf(wick.CodeBroken, "%v", err))
	}
	if err != nil {
		return response{}, fmt.Errorf("request: %w", wick.Unknownf(wick.CodeBroken, "%v", err))
	}
	return response{resp.StatusCode(), append([]byte(nil), resp.Body()...)}, nil
}

// decode decodes a response with status 200 into v, and returns any other one as
// an error.
func (r response) decode(v any) error {
	if r.status != fasthttp.StatusOK {
		var e wick.Error
		if err := codec.DecodeJSON(r.body, &e); err != nil {
			return wick.Unknownf(wick.CodeBroken, "status %d: %s", r.status, r.body)
		}
		return &e
	}
	if err := json.Unmarshal(r.body, v); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

// publish sends a change and returns its verdict.
func (c *client) publish(ctx context.Context, change wick.Change, dryRun bool) (wick.Verdict, error) {
	body, err := codec.EncodeJSON(change)
	if err != nil {
		return wick.Verdict{}, err
	}
	path := admin.PathChanges
	if dryRun {
		path += "?dry_run=true"
	}
	got, err := c.do(ctx, fasthttp.MethodPost, path, body)
	if err != nil {
		return wick.Verdict{}, err
	}
	if got.status == fasthttp.StatusUnprocessableEntity {
		got.status = fasthttp.StatusOK // The body is a verdict, too.
	}
	var v wick.Verdict
	return v, got.decode(&v)
}

// objects returns the objects of a kind and name. An empty kind or name matches
// all.
func (c *client) objects(ctx context.Context, kind, name string) (configFile, error) {
	query := url.Values{"kind": {kind}, "name": {name}}
	got, err := c.do(ctx, fasthttp.MethodGet, admin.PathObjects+"?"+query.Encode(), nil)
	if err != nil {
		return configFile{}, err
	}
	var d configFile
	return d, got.decode(&d)
}

func (c *client) status(ctx context.Context) (wick.Status, error) {
	got, err := c.do(ctx, fasthttp.MethodGet, admin.PathStatus, nil)
	if err != nil {
		return wick.Status{}, err
	}
	var s wick.Status
	return s, got.decode(&s)
}

// audit returns entries of the audit trail from an offset on. It waits up to wait
// for the first one.
func (c *client) audit(ctx context.Context, from wick.Offset, wait time.Duration) ([]wick.Entry, error) {
	path := fmt.Sprintf("%s?from=%d&within_ms=%d", admin.PathAudit, from, wait.Milliseconds())
	got, err := c.do(ctx, fasthttp.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	var list []wick.Entry
	return list, got.decode(&list)
}
