package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"currantwick"
	"currantwick/fakes"
	"currantwick/fault"
	"currantwick/plog"
	"currantwick/setup"

	"golang.org/x/sync/errgroup"
)

const (
	token = "0123456789abcdef0123"
	// waitTimeout bounds every wait for a condition.
	waitTimeout = 20 * time.Second
	// pollInterval is the time between checks of a condition.
	pollInterval = 20 * time.Millisecond
)

// binary is the program under test, built once.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "currantwick")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(dir, "currantwick")
	code := 1
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
	} else {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// result is the exit code and output of a run of the binary.
type result struct {
	code     int
	out, err string
}

// wick runs the binary with args and waits until it exits.
func (c *cluster) wick(args ...string) result {
	c.t.Helper()
	return c.wickWith("", args...)
}

func (c *cluster) wickWith(stdin string, args ...string) result {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, binary, args...)
	cmd.Dir = c.dir
	cmd.Env = append(os.Environ(), "CURRANTWICK_OPERATOR=ana", "CURRANTWICK_TOKEN_FILE="+c.file("token"))
	if len(c.daemons) > 0 {
		cmd.Env = append(cmd.Env, "CURRANTWICK_ADMIN="+string(c.daemons[0].settings.Admin.Address))
	}
	cmd.Stdin = strings.NewReader(stdin)
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		c.t.Fatalf("%v: %v", args, err)
	}
	return result{cmd.ProcessState.ExitCode(), out.String(), errs.String()}
}

// mustRun runs a verb and fails the test unless its exit code is 0.
func (c *cluster) mustRun(args ...string) string {
	c.t.Helper()
	got := c.wick(args...)
	if got.code != 0 {
		c.t.Fatalf("%v: exit code %d\n%s%s", args, got.code, got.out, got.err)
	}
	return got.out
}

// output collects the output of a running process.
type output struct {
	mu   sync.Mutex
	data []byte
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data = append(o.data, p...)
	return len(p), nil
}

// String returns the output so far.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return string(o.data)
}

// daemon is one running process.
type daemon struct {
	settings setup.Settings
	cmd      *exec.Cmd
	log      *output
	// exited is closed when the process has exited.
	exited chan struct{}
}

// cluster is a set of daemons with fakes of the platform.
type cluster struct {
	t       *testing.T
	dir     string
	set     *fakes.Set
	proxy   *fault.Proxy
	keep    wick.Duration
	daemons []*daemon
	// group waits for the processes.
	group errgroup.Group
}

func newCluster(t *testing.T, n int) *cluster {
	t.Helper()
	return newClusterWith(t, n, 0)
}

// newClusterWith starts n daemons and a log that keeps records for the duration
// keep, or without limit if it is 0.
func newClusterWith(t *testing.T, n int, keep wick.Duration) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), keep: keep}
	var err error
	c.set, err = fakes.StartSet(fakes.SetConfig{
		Store:    &fakes.StoreConfig{Rate: 20, FullSpeed: 4, Knee: 16, LoadTime: wick.Duration(20 * time.Millisecond)},
		Log:      &fakes.LogConfig{Address: "127.0.0.1:0", KeepFor: keep},
		Hosts:    &fakes.HostsConfig{Address: "127.0.0.1:0"},
		Engines:  []fakes.EngineConfig{engineConfig(), engineConfig()},
		Services: []fakes.ServiceConfig{{Address: "127.0.0.1:0"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.set.Close() })
	c.write("token", token+"\n")
	hosts := make([]string, n)
	for i := range hosts {
		hosts[i] = fmt.Sprintf("h%d", i+1)
	}
	if n > 0 {
		c.mustRun("keys", "-dir", "keys", "-hosts", strings.Join(hosts, ","))
	}
	c.proxy, err = fault.Start(fault.Config{Links: c.links(hosts)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.proxy.Close() })
	var settings []setup.Settings
	var peers []wick.Address
	for _, host := range hosts {
		s := c.settings(host)
		settings = append(settings, s)
		peers = append(peers, s.Peer.Address)
	}
	for _, s := range settings {
		s.Peers = peers
		c.start(s)
	}
	return c
}

// links returns a proxy link to the log for each host.
func (c *cluster) links(hosts []string) []fault.Link {
	var out []fault.Link
	for _, host := range hosts {
		out = append(out, fault.Link{
			Name: fault.LinkName(host), Network: fault.TCP, Listen: "127.0.0.1:0", Target: c.set.Log.Address(),
		})
	}
	return out
}

// log sets the mode of the proxy links from the given hosts to the log,
// or of all links if no host is given.
func (c *cluster) log(mode fault.Mode, hosts ...fault.LinkName) {
	c.t.Helper()
	if err := c.proxy.Set(fault.Control{Links: hosts, Mode: mode}); err != nil {
		c.t.Fatal(err)
	}
}

func engineConfig() fakes.EngineConfig {
	return fakes.EngineConfig{
		Address: "127.0.0.1:0", Model: "base", BatchSlots: 4, AdapterSlots: 2,
		Base: wick.Duration(2 * time.Millisecond), PerSequence: wick.Duration(time.Millisecond),
	}
}

func millis(n int) wick.Duration { return wick.Duration(time.Duration(n) * time.Millisecond) }

func (c *cluster) settings(host string) setup.Settings {
	s := setup.Default()
	s.Host = wick.HostName(host)
	s.Domain = wick.Domain("domain-" + host)
	s.Entry.Address, s.Peer.Address, s.Admin.Address = c.freeAddress(), c.freeAddress(), c.freeAddress()
	s.Admin.TokenFile = c.file("token")
	s.Log.Address, s.Hosts.Address = c.proxy.Address(fault.LinkName(host)), c.set.Hosts.Address()
	s.Keys = setup.Keys{CA: c.file("keys/ca.pem"), Cert: c.file("keys/" + host + ".pem"), Key: c.file("keys/" + host + ".key")}
	s.Lease = setup.Lease{TTL: millis(900), Renew: millis(100), Suspect: millis(600), Drift: millis(90)}
	s.Stop.Linger = millis(100)
	if c.keep > 0 {
		s.Log.Retention = c.keep
		s.Claim.Life = c.keep / 2
	}
	return s
}

// port is below the ephemeral range, from which the kernel could assign it to a
// socket that is bound to all addresses.
const port = 7000

// freeAddress returns an address that nothing listens on. It picks a random
// loopback IP, so that no other test takes the port before a daemon does.
func (c *cluster) freeAddress() wick.Address {
	c.t.Helper()
	at := fmt.Sprintf("127.%d.%d.%d:%d", 1+rand.N(250), rand.N(250), 2+rand.N(250), port)
	l, err := net.Listen("tcp", at)
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return wick.Address(l.Addr().String())
}

func (c *cluster) file(name string) string { return filepath.Join(c.dir, name) }

func (c *cluster) write(name, data string) {
	c.t.Helper()
	if err := os.WriteFile(c.file(name), []byte(data), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) writeJSON(name string, v any) {
	c.t.Helper()
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		c.t.Fatal(err)
	}
	c.write(name, string(data))
}

// start runs a daemon until the test ends.
func (c *cluster) start(s setup.Settings) *daemon {
	c.t.Helper()
	name := string(s.Host) + ".json"
	c.writeJSON(name, s)
	d := &daemon{settings: s, log: &output{}, exited: make(chan struct{})}
	d.cmd = exec.Command(binary, "serve", "-settings", c.file(name))
	d.cmd.Stderr = d.log
	if err := d.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.group.Go(func() error {
		defer close(d.exited)
		_ = d.cmd.Wait() // Its log shows how it exited.
		return nil
	})
	c.daemons = append(c.daemons, d)
	c.t.Cleanup(func() {
		_ = d.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-d.exited:
		case <-time.After(waitTimeout):
			c.t.Errorf("%s did not stop", s.Host)
			_ = d.cmd.Process.Kill()
			<-d.exited
		}
		if c.t.Failed() {
			c.t.Logf("log of %s:\n%s", s.Host, d.log)
		}
	})
	return d
}

// await waits for a condition.
func (c *cluster) await(what string, ok func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !ok(); {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out after %v waiting for: %s", waitTimeout, what)
		}
		<-time.After(pollInterval)
	}
}

// status returns the status from one daemon, or false if it fails.
func (c *cluster) status(d *daemon) (wick.Status, bool) {
	got := c.wick("status", "-json", "-admin", string(d.settings.Admin.Address))
	var s wick.Status
	if got.code != 0 {
		return s, false
	}
	if err := json.Unmarshal([]byte(got.out), &s); err != nil {
		c.t.Fatal(err)
	}
	return s, true
}

// awaitView waits until every daemon has a lease and a view with as many members
// as the cluster has daemons.
func (c *cluster) awaitView() {
	c.t.Helper()
	c.await("one view of all daemons", func() bool {
		for _, d := range c.daemons {
			s, ok := c.status(d)
			if !ok || len(s.Daemons) != len(c.daemons) || s.Lease == 0 {
				return false
			}
		}
		return true
	})
}

// sample returns a configuration for the fake back ends.
func (c *cluster) sample() wick.Objects {
	o := wick.Objects{
		Models:     []wick.Model{{Name: "base", Context: 4096}},
		Adapters:   []wick.Adapter{{Name: "alpha", Model: "base"}},
		Versions:   []wick.Version{{Adapter: "alpha", Name: "v1", Source: "w/alpha/1", Size: 10}},
		Priorities: []wick.Priority{{Name: "short", Level: 5, Deadline: millis(5000)}},
		Stores:     []wick.Store{{Name: "weights", Rate: 20, FullSpeed: 4, Knee: 16}},
		Pools: []wick.Pool{
			{Name: "draft", Kind: wick.RunnerEndpoint, Model: "base", Store: "weights"},
			{Name: "desk", Kind: wick.ServiceEndpoint},
		},
		Routes: []wick.Route{
			{Name: "alpha", Pool: "draft", Priority: "short", Ref: wick.Ref{Adapter: "alpha", Version: "v1"}},
			{Name: "book", Pool: "desk", Priority: "short", Path: "/confirm", NonIdempotent: true},
		},
	}
	at := c.set.Addresses()
	for i, a := range at.Engines {
		o.Endpoints = append(o.Endpoints, wick.Endpoint{
			Name: wick.EndpointName(fmt.Sprintf("runner-%d", i+1)), Pool: "draft",
			Host: wick.HostName(fmt.Sprintf("e%d", i+1)), Domain: "domain-h1", Address: a, BatchSlots: 4, AdapterSlots: 2,
		})
	}
	o.Endpoints = append(o.Endpoints, wick.Endpoint{
		Name: "desk-1", Pool: "desk", Host: "s1", Domain: "domain-h2", Address: at.Services[0], BatchSlots: 4,
	})
	return o
}

// sampleFile writes the sample to a file and returns its name.
func (c *cluster) sampleFile() string {
	c.t.Helper()
	c.writeJSON("sample.json", file{Objects: c.sample()})
	return c.file("sample.json")
}

// logClient returns a client that reads the log directly, without the proxy.
func (c *cluster) logClient() wick.Log {
	return plog.New(plog.Config{Address: c.set.Log.Address(), Wait: millis(100)})
}

// file is a configuration file.
type file struct {
	Objects   wick.Objects
	Revisions []wick.Based     `json:",omitempty"`
	Deletes   []wick.ObjectKey `json:",omitempty"`
}
