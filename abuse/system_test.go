// Package abuse tests a gateway process against callers that keep to no limit. It checks
// only what does not depend on the speed of the machine: that the process lives and stays
// within its memory and descriptors, and that ordinary requests are answered.
package abuse

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"currantwick"
	"currantwick/pause"
	"currantwick/procs"

	"golang.org/x/sync/errgroup"
)

// Bounds of the process under test. They are lower than on any host, so that a few
// hundred connections exceed them.
const (
	// memory is limits.memoryMb of the settings, and the bound of VmHWM.
	memory = 96 << 20
	// descriptors is the limit of open descriptors, and limits.fileDescriptors of the
	// settings.
	descriptors = 512
	// maxOpen bounds the descriptors that are open after a case has begun. At the limit
	// itself no connection to an endpoint can be opened.
	maxOpen = descriptors - 32
	// answerTimeout is how long an ordinary caller repeats its request until it counts as
	// not answered. It is far above every bound of a time in the product.
	answerTimeout = 30 * time.Second
	// settleTime is how long callers may keep on before the bounds are checked, and
	// dialTimeout how long one waits for a connection.
	settleTime  = 4 * time.Second
	dialTimeout = 2 * time.Second
)

const configuration = `{"version":1,"routes":[
	{"name":"safe","host":"abuse.example","pathPrefix":"/safe/","kind":"safe","timeoutMs":20000,"service":"s","attempts":1},
	{"name":"stream","host":"abuse.example","pathPrefix":"/stream/","kind":"streaming","timeoutMs":60000,"service":"s","attempts":1}],
	"services":[{"name":"s"}],"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerMs":3000,"idleMs":15000}}`

func TestMain(m *testing.M) { os.Exit(procs.Main(m)) }

// endpoint is a plain service. Below /stream/ it sends events of 200 KB without an end.
func endpoint(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Currantwick-Attempt-Identifier")
	w.Header().Set("Currantwick-Attempt-Identifier", id)
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		fmt.Fprintf(w, "%s %d", id, n)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	event := append(append([]byte("data: "), bytes.Repeat([]byte("x"), 200_000)...), "\n\n"...)
	for err == nil && r.Context().Err() == nil {
		_, err = w.Write(event)
	}
}

// start starts a daemon with the given limits and its stand-ins, and waits until the
// daemon is ready.
func start(t *testing.T, memory wick.Bytes, descriptors int) *procs.Daemon {
	t.Helper()
	store := procs.NewStore(nil)
	atStore, atEndpoint := httptest.NewServer(store), httptest.NewServer(http.HandlerFunc(endpoint))
	t.Cleanup(atStore.CloseClientConnections)
	t.Cleanup(atEndpoint.CloseClientConnections)
	store.PutConfig(configuration)
	for _, name := range []string{"i-1", "i-2"} {
		store.PutRunner(wick.EndpointName(name), fmt.Sprintf(
			`{"service":"s","address":%q,"zone":"a","slots":64,"state":"ready","born":1,"models":[]}`, atEndpoint.Listener.Addr()))
	}
	d := procs.NewDaemon(t, 1, "a", wick.Bounds{
		Lease: wick.Duration(1500 * time.Millisecond), Grace: wick.Duration(4 * time.Second), RevisionDeadline: wick.Duration(4 * time.Second),
		RetryRatio: 0.2, RetrySlack: 54, EntriesTTL: wick.Duration(5 * time.Second),
	}, "")
	d.Settings.StoreAddress, d.Settings.Memory = wick.Address(atStore.Listener.Addr().String()), memory
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	_, port, _ := net.SplitHostPort(l.Addr().String())
	d.Metrics = port + "/metrics"
	if err := procs.WriteSettings(d.File, d.Settings, descriptors); err != nil {
		t.Fatal(err)
	}
	d.StartLimited(t, descriptors)
	t.Cleanup(d.Kill)
	waitFor(t, "ready", func() error { return procs.Ready(d.Settings) })
	waitFor(t, "first answer", func() error { return ask(d, 100, "127.0.0.1") })
	return d
}

// waitFor repeats check until it returns nil.
func waitFor(t *testing.T, what string, check func() error) {
	t.Helper()
	end := time.Now().Add(answerTimeout)
	err := check()
	for ; err != nil && time.Now().Before(end); err = check() {
		pause.For(t.Context(), 200*time.Millisecond)
	}
	if err != nil {
		t.Errorf("%s: %v", what, err)
	}
}

// ask sends an ordinary request from an address, and returns an error unless it is
// answered.
func ask(d *procs.Daemon, body int, from string) error {
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer(from).DialContext}}
	r, err := http.NewRequest(http.MethodPost, "http://"+string(d.Settings.CallerAddress)+"/safe/x", strings.NewReader(strings.Repeat("x", body)))
	if err != nil {
		return err
	}
	r.Host = "abuse.example"
	r.Header.Set("Currantwick-Attempt-Identifier", "ordinary")
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if want := fmt.Sprintf("ordinary %d", body); err != nil || string(got) != want {
		return fmt.Errorf("got %d %q, %w", resp.StatusCode, got, errors.Join(err, errors.New("want "+want)))
	}
	return nil
}

func dialer(from string) *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
}

// usage is what a process uses.
type usage struct{ peak, resident, open int }

var (
	peakLine     = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)
	residentLine = regexp.MustCompile(`VmRSS:\s+(\d+) kB`)
)

func use(pid int) usage {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	status, _ := os.ReadFile(filepath.Join(dir, "status")) // An exit shows elsewhere.
	fds, _ := os.ReadDir(filepath.Join(dir, "fd"))
	read := func(e *regexp.Regexp) int {
		found := e.FindSubmatch(status)
		if found == nil {
			return 0
		}
		n, _ := strconv.Atoi(string(found[1]))
		return n << 10
	}
	return usage{read(peakLine), read(residentLine), len(fds)}
}

// Addresses of untrusted callers: one for all of them, or one for each.
const (
	oneAddress    = false
	manyAddresses = true
)

// abuse is one kind of untrusted caller.
type abuse struct {
	name string
	// to is the listener that they connect to.
	to func(d *procs.Daemon) string
	// count is the number of connections at once, and spread is set if each has an
	// address of its own.
	count  int
	spread bool
	// play does what an untrusted caller does on one connection, until it fails or ctx
	// ends. The connection then stays open until the bounds were checked.
	play func(ctx context.Context, c net.Conn) error
	// body is the size of the ordinary request's body.
	body int
}

func callers(d *procs.Daemon) string   { return string(d.Settings.CallerAddress) }
func directory(d *procs.Daemon) string { return string(d.Settings.DirectoryAddress) }
func readiness(d *procs.Daemon) string { return string(d.Settings.ReadyAddress) }
func peers(d *procs.Daemon) string     { return string(d.Settings.PeerAddress) }

func metrics(d *procs.Daemon) string {
	host, _, _ := net.SplitHostPort(callers(d))
	port, _, _ := strings.Cut(d.Metrics, "/")
	return net.JoinHostPort(host, port)
}

// run plays the callers of a case against a new process and checks the bounds.
func run(t *testing.T, a abuse) {
	d := start(t, memory, descriptors)
	pid, _ := d.PID()
	before := use(pid)
	ctx, cancel := context.WithTimeout(t.Context(), settleTime)
	defer cancel()
	var group errgroup.Group
	conns := make([]net.Conn, a.count)
	for i := range conns {
		group.Go(func() error {
			from := "127.255.0.1"
			if a.spread {
				from = fmt.Sprintf("127.254.%d.%d", 1+i/200, 1+i%200)
			}
			// The daemon may close a connection, and callers go on with a new one.
			for ctx.Err() == nil {
				c, err := dialer(from).DialContext(ctx, "tcp", a.to(d))
				if err != nil {
					pause.For(ctx, 50*time.Millisecond)
					continue
				}
				if end, ok := ctx.Deadline(); ok {
					_ = c.SetReadDeadline(end) // A failure shows in play.
				}
				if err := a.play(ctx, c); err == nil || ctx.Err() != nil {
					conns[i] = c
					return nil
				}
				c.Close()
				pause.For(ctx, 50*time.Millisecond)
			}
			return nil
		})
	}
	open := 0
	for ctx.Err() == nil {
		open = max(open, use(pid).open)
		pause.For(ctx, 50*time.Millisecond)
	}
	_ = group.Wait() // Returns no error.
	waitFor(t, "ordinary request beside the callers", func() error { return ask(d, a.body, "127.0.0.1") })
	for _, c := range conns {
		if c != nil {
			c.Close()
		}
	}
	waitFor(t, "ordinary request after the callers", func() error { return ask(d, a.body, "127.0.0.1") })
	after := use(pid)
	t.Logf("before: %d MB resident; after: %d MB resident, %d MB at most, %d descriptors at most", before.resident>>20, after.resident>>20, after.peak>>20, open)
	if _, running := d.PID(); !running {
		t.Error("the process has exited")
		return
	}
	if after.peak > memory {
		t.Errorf("the process took %d MB, want at most %d", after.peak>>20, memory>>20)
	}
	if open > maxOpen {
		t.Errorf("%d descriptors were open, want at most %d", open, maxOpen)
	}
}

// send writes data, and then what fill returns again and again, until the write fails or
// ctx ends.
func send(data string, fill func(n int) string) func(context.Context, net.Conn) error {
	return func(ctx context.Context, c net.Conn) error {
		if _, err := io.WriteString(c, data); err != nil {
			return err
		}
		for n := 0; fill != nil && ctx.Err() == nil; n++ {
			_ = c.SetWriteDeadline(time.Now().Add(time.Second)) // A failure shows in the write.
			_, err := io.WriteString(c, fill(n))
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				return err
			}
		}
		return hold(ctx, c)
	}
}

// hold waits until ctx ends or the other end closes the connection, and reads nothing
// else.
func hold(ctx context.Context, c net.Conn) error {
	for ctx.Err() == nil {
		if !pause.For(ctx, 100*time.Millisecond) {
			break
		}
		// A write of no byte shows no close, so this asks for the socket's error.
		if err := socketError(c); err != nil {
			return err
		}
	}
	return nil
}
