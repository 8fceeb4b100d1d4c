package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"currantwick"
	"currantwick/pause"
)

// daemon is a gateway process under test.
type daemon struct {
	settings wick.DaemonConfig
	file     string
	log      *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the process exits.
	exited chan struct{}
	// exitExpected is set when the test killed the process or asked it to stop.
	exitExpected bool
	running      bool
}

// daemonAddresses are the addresses that a daemon listens on.
type daemonAddresses struct {
	callers, ready, directory, peers wick.Address
}

// freeAddresses returns unused addresses on ip, no two of them alike. Each daemon has
// its own loopback ip, so that nothing else takes a port before the daemon listens on it.
func freeAddresses(t *testing.T, ip string) daemonAddresses {
	t.Helper()
	var a daemonAddresses
	for _, at := range []*wick.Address{&a.callers, &a.ready, &a.directory, &a.peers} {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close() // After all are drawn: a closed port may be drawn again.
		*at = wick.Address(l.Addr().String())
	}
	return a
}

// A daemon was given one port twice and exited at its start.
func TestFreeAddresses(t *testing.T) {
	const draws = 20_000
	ip := loopback()
	for range draws {
		a := freeAddresses(t, ip)
		seen := map[wick.Address]bool{a.callers: true, a.ready: true, a.directory: true, a.peers: true}
		if len(seen) != 4 {
			t.Fatalf("drew %+v, with one address twice", a)
		}
	}
}

// loopback returns a random one of about 15 million loopback addresses.
func loopback() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.N(250), rand.N(250), 2+rand.N(250))
}

func newDaemon(t *testing.T, i int, b wick.Bounds) *daemon {
	t.Helper()
	at := freeAddresses(t, loopback())
	d := &daemon{settings: wick.DaemonConfig{
		Host: wick.HostName(fmt.Sprintf("front-%d", i)), Domain: domainOf(i),
		CallerAddress: at.callers, ReadyAddress: at.ready, DirectoryAddress: at.directory, PeerAddress: at.peers,
		Cores: 1, Memory: 284 << 20, Capacity: 0.4, Bounds: b,
	}}
	dir := t.TempDir()
	d.file = filepath.Join(dir, "settings.json")
	if *logsFlag != "" {
		dir = *logsFlag
	}
	log, err := os.Create(filepath.Join(dir, string(d.settings.Host)+".log"))
	if err != nil {
		t.Fatal(err)
	}
	d.log = log
	t.Cleanup(func() { log.Close() })
	return d
}

// start starts the process unless it is running.
func (d *daemon) start(t *testing.T) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running {
		return
	}
	cmd := exec.Command(program, "gateway", "-settings", d.file)
	cmd.Stdout, cmd.Stderr = d.log, d.log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan struct{})
	d.cmd, d.exited, d.exitExpected, d.running = cmd, exited, false, true
	go func() {
		err := cmd.Wait()
		d.mu.Lock()
		defer d.mu.Unlock()
		d.running = false
		if !d.exitExpected {
			t.Errorf("%s exited unexpectedly: %v", d.settings.Host, err)
		}
		close(exited)
	}()
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		d.exitExpected = true
	}
	_ = d.cmd.Process.Signal(s) // The process may have exited already.
}

func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	<-d.done()
}

func (d *daemon) done() chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exited
}

// stop asks the process to stop and kills it after its grace period.
func (d *daemon) stop(t *testing.T) {
	t.Helper()
	d.signal(syscall.SIGTERM)
	timer := time.NewTimer(d.settings.Bounds.Grace.Std())
	defer timer.Stop()
	select {
	case <-d.done():
		return
	case <-timer.C:
	}
	t.Errorf("%s did not stop within its grace period", d.settings.Host)
	d.kill()
}

// writeSettings writes the platform's settings file for a daemon.
func writeSettings(path string, d wick.DaemonConfig) error {
	peers, err := netip.ParseAddrPort(string(d.PeerAddress))
	if err != nil {
		return fmt.Errorf("settings: Peers: %w", err)
	}
	const mib = 1 << 20
	data, err := json.Marshal(map[string]any{
		"nodeName":        d.Host,
		"internetAddress": peers.Addr(),
		"zone":            d.Domain,
		"listenAddresses": map[string]wick.Address{"front": d.CallerAddress, "ready": d.ReadyAddress, "directory": d.DirectoryAddress},
		"internalPorts":   []uint16{peers.Port(), peers.Port()},
		"seeds":           d.Seeds,
		"limits":          map[string]any{"cores": d.Cores, "cpuShare": d.Capacity, "memoryMb": d.Memory / mib, "linkMbps": 1000},
		"bounds": map[string]any{
			"graceS": d.Bounds.Grace.Std().Seconds(), "leaseMs": d.Bounds.Lease.Std().Milliseconds(),
			"requireFencing": d.Bounds.RequireFencing, "version_ms": d.Bounds.RevisionDeadline.Std().Milliseconds(),
			"budgetRatio": d.Bounds.RetryRatio, "budgetSlack": d.Bounds.RetrySlack, "ttl_max_s": d.Bounds.EntriesTTL.Std().Seconds(),
		},
		"platform": map[string]any{"address": d.StoreAddress},
	})
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// errUnready is returned for a daemon that reports that it is not ready.
var errUnready = errors.New("not ready")

// ready returns nil if a daemon reports that it is ready.
func ready(d wick.DaemonConfig) error {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + string(d.ReadyAddress) + "/currantwick/readiness")
	if err != nil {
		return fmt.Errorf("%s: %w", d.Host, err)
	}
	resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%s: %w", d.Host, errUnready)
	}
	return fmt.Errorf("%s: readiness answered with status %d", d.Host, resp.StatusCode)
}

// sleep pauses the calling goroutine for d.
func sleep(d time.Duration) { pause.For(context.Background(), d) }
