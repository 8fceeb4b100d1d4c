package proof

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"currantwick"
)

// TestMain builds the programs once.
func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "proof")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(dir)
		binDir = dir
		build := exec.Command("go", "build", "-o", dir+"/", "currantwick/cmd/currantwick", "currantwick/cmd/wickfake")
		build.Dir = ".."
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
			return 1
		}
		return m.Run()
	}())
}

// process is a running program. Only the test that started it may signal or kill
// it.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	// done is closed when the process exits, after err is set.
	done chan struct{}
	err  error
	mu   sync.Mutex
	log  bytes.Buffer
}

// Write implements io.Writer; it collects the program's standard error.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// startProcess starts a program and returns its standard output. The caller must
// call watchExit once it has read the output, as Wait closes the pipe; kill blocks
// until then.
func startProcess(t *testing.T, name, program string, args ...string) (*process, *bufio.Reader) {
	t.Helper()
	p := &process{t: t, name: name, cmd: exec.Command(filepath.Join(binDir, program), args...), done: make(chan struct{})}
	p.cmd.Stderr = p
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.kill)
	return p, bufio.NewReader(out)
}

// watchExit starts waiting for the process to exit, without blocking.
func (p *process) watchExit() {
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Errorf("signal %s: %v", p.name, err)
	}
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill() // The process may have exited already.
	<-p.done
	if p.t.Failed() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.t.Logf("standard error of %s:\n%s", p.name, p.log.Bytes())
	}
}

// waitExit waits for the process to exit on its own.
func (p *process) waitExit(within time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(within):
		return fmt.Errorf("%s is still running after %v", p.name, within)
	}
}

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, v any) string {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// startFake starts wickfake and decodes the addresses that it prints into ready.
func startFake(t *testing.T, verb string, cfg, ready any) *process {
	t.Helper()
	p, out := startProcess(t, "wickfake "+verb, "wickfake", verb, "-settings", writeSettings(t, cfg))
	line, err := out.ReadBytes('\n')
	p.watchExit()
	if err != nil {
		t.Fatalf("wickfake %s: %v", verb, err)
	}
	if err := json.Unmarshal(line, ready); err != nil {
		t.Fatal(err)
	}
	return p
}

// freePort returns an unused address. It is on a random loopback address, so that
// nothing else takes the port before the daemon listens on it.
func freePort(t *testing.T, network string) wick.Address {
	t.Helper()
	at := fmt.Sprintf("127.%d.%d.%d:0", 1+rand.N(250), rand.N(250), 2+rand.N(250))
	if network == "udp" {
		c, err := net.ListenPacket(network, at)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		return wick.Address(c.LocalAddr().String())
	}
	l, err := net.Listen(network, at)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return wick.Address(l.Addr().String())
}
