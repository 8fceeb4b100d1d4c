// Package procs starts gateway daemons as processes and has a fake of the platform's
// store, for the tests of other packages.
package procs

import (
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
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"currantwick"

	"golang.org/x/sync/errgroup"
)

// program is the path of the daemon's executable, built by Main.
var program string

// Main builds the daemon's executable, runs the tests of a package, and returns their
// exit code.
func Main(m *testing.M) int {
	dir, err := os.MkdirTemp("", "procs")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "currantwick")
	build := exec.Command("go", "build", "-o", program, "currantwick/cmd/currantwick")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// Daemon is a gateway process under test.
type Daemon struct {
	Settings wick.DaemonConfig
	// File is the path of the settings file.
	File string
	// Metrics is the port and path of the metrics; empty if they are not served.
	Metrics string

	log   *os.File
	group errgroup.Group

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the process exits.
	exited chan struct{}
	// exitExpected is set when the test killed the process or asked it to stop.
	exitExpected bool
	running      bool
}

// Addresses are the addresses that a daemon listens on.
type Addresses struct {
	Callers, Ready, Directory, Peers wick.Address
}

// FreeAddresses returns unused addresses on ip, no two of them alike. Each daemon has
// its own loopback ip, so that nothing else takes a port before the daemon listens on it.
func FreeAddresses(t *testing.T, ip string) Addresses {
	t.Helper()
	var a Addresses
	for _, at := range []*wick.Address{&a.Callers, &a.Ready, &a.Directory, &a.Peers} {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close() // After all are drawn: a closed port may be drawn again.
		*at = wick.Address(l.Addr().String())
	}
	return a
}

// Loopback returns a random one of about 15 million loopback addresses.
func Loopback() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.N(250), rand.N(250), 2+rand.N(250))
}

// NewDaemon returns a daemon that is not started. It writes its log to a file in dir, or
// in a directory of the test if dir is empty.
func NewDaemon(t *testing.T, i int, domain wick.Domain, b wick.Bounds, dir string) *Daemon {
	t.Helper()
	at := FreeAddresses(t, Loopback())
	d := &Daemon{Settings: wick.DaemonConfig{
		Host: wick.HostName(fmt.Sprintf("front-%d", i)), Domain: domain,
		CallerAddress: at.Callers, ReadyAddress: at.Ready, DirectoryAddress: at.Directory, PeerAddress: at.Peers,
		Cores: 1, Memory: 284 << 20, Capacity: 0.4, Bounds: b,
	}}
	temp := t.TempDir()
	d.File = filepath.Join(temp, "settings.json")
	if dir == "" {
		dir = temp
	}
	log, err := os.Create(filepath.Join(dir, string(d.Settings.Host)+".log"))
	if err != nil {
		t.Fatal(err)
	}
	d.log = log
	t.Cleanup(func() { log.Close() })
	return d
}

// Start starts the process unless it is running.
func (d *Daemon) Start(t *testing.T) { d.StartLimited(t, 0) }

// StartLimited starts the process unless it is running, with a limit on its open
// descriptors; 0 for that of the test.
func (d *Daemon) StartLimited(t *testing.T, descriptors int) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running {
		return
	}
	args := []string{program, "gateway", "-settings", d.File}
	if d.Metrics != "" {
		args = append(args, "-metrics", d.Metrics)
	}
	if descriptors > 0 {
		args = append([]string{"sh", "-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(descriptors)}, args...)
	}
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Stdout, cmd.Stderr = d.log, d.log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan struct{})
	d.cmd, d.exited, d.exitExpected, d.running = cmd, exited, false, true
	d.group.Go(func() error {
		err := cmd.Wait()
		d.mu.Lock()
		defer d.mu.Unlock()
		d.running = false
		if !d.exitExpected {
			t.Errorf("%s exited unexpectedly: %v", d.Settings.Host, err)
		}
		close(exited)
		return nil
	})
}

// PID returns the id of the process, and false if it has exited.
func (d *Daemon) PID() (int, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd.Process.Pid, d.running
}

// Signal sends a signal to the process. SIGKILL and SIGTERM make its exit expected.
func (d *Daemon) Signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		d.exitExpected = true
	}
	_ = d.cmd.Process.Signal(s) // The process may have exited already.
}

// Kill kills the process and waits for its exit.
func (d *Daemon) Kill() {
	d.Signal(syscall.SIGKILL)
	<-d.Done()
}

// Done returns a channel that is closed when the process has exited.
func (d *Daemon) Done() chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exited
}

// Stop asks the process to stop and kills it after its grace period.
func (d *Daemon) Stop(t *testing.T) {
	t.Helper()
	d.Signal(syscall.SIGTERM)
	timer := time.NewTimer(d.Settings.Bounds.Grace.Std())
	defer timer.Stop()
	select {
	case <-d.Done():
		return
	case <-timer.C:
	}
	t.Errorf("%s did not stop within its grace period", d.Settings.Host)
	d.Kill()
}

// WriteSettings writes the platform's settings file for a daemon. descriptors is the
// number of descriptors that the settings name; 0 for none.
func WriteSettings(path string, d wick.DaemonConfig, descriptors int) error {
	peers, err := netip.ParseAddrPort(string(d.PeerAddress))
	if err != nil {
		return fmt.Errorf("settings: Peers: %w", err)
	}
	const mib = 1 << 20
	limits := map[string]any{"cores": d.Cores, "cpuShare": d.Capacity, "memoryMb": d.Memory / mib, "linkMbps": 1000}
	if descriptors > 0 {
		limits["fileDescriptors"] = descriptors
	}
	data, err := json.Marshal(map[string]any{
		"nodeName":        d.Host,
		"internetAddress": peers.Addr(),
		"zone":            d.Domain,
		"listenAddresses": map[string]wick.Address{"front": d.CallerAddress, "ready": d.ReadyAddress, "directory": d.DirectoryAddress},
		"internalPorts":   []uint16{peers.Port(), peers.Port()},
		"seeds":           d.Seeds,
		"limits":          limits,
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

// ErrUnready is returned for a daemon that reports that it is not ready.
var ErrUnready = errors.New("not ready")

// Ready returns nil if a daemon reports that it is ready.
func Ready(d wick.DaemonConfig) error {
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
		return fmt.Errorf("%s: %w", d.Host, ErrUnready)
	}
	return fmt.Errorf("%s: readiness answered with status %d", d.Host, resp.StatusCode)
}
