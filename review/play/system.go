package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// errNotRun is the error of a case that could not run.
var errNotRun = errors.New("the case could not run")

// record is the account of a run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// system is a small deployment: daemons as processes, and stand-ins for the store, the
// runners and the callers.
type system struct {
	// ctx ends with the run.
	ctx     context.Context
	record  *record
	trouble bool
	dir     string
	group   *errgroup.Group
	store   *store
	storeAt string
	daemons []*daemon
	plain   []*plain
}

// daemon is a process under test.
type daemon struct {
	name, zone, ip string
	front, ready   string
	// settings is the path of the settings file.
	settings string
	cmd      *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

func loopback() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.N(250), rand.N(250), 2+rand.N(250))
}

// listen opens a port of an address of its own, so that no other program takes it.
func listen() (net.Listener, error) {
	l, err := net.Listen("tcp", loopback()+":0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

// serve serves a handler until the run ends.
func (s *system) serve(l net.Listener, h http.Handler) *http.Server {
	server := &http.Server{Handler: h}
	s.group.Go(func() error {
		_ = server.Serve(l) // It ends with the run, or when a stand-in crashes.
		return nil
	})
	context.AfterFunc(s.ctx, func() { server.Close() })
	return server
}

var zones = []string{"tanger-a", "tanger-b", "tetouan-c"}

// startDaemons starts n daemons with the command of the deploy file and waits until they
// are ready.
func (s *system) startDaemons(n int) error {
	const ports = 5
	var free []int
	for range ports {
		l, err := listen()
		if err != nil {
			return err
		}
		defer l.Close()
		free = append(free, l.Addr().(*net.TCPAddr).Port)
	}
	at := func(ip string, k int) string { return fmt.Sprintf("%s:%d", ip, free[k]) }
	var seeds []string
	for i := range n {
		ip := loopback()
		zone := zones[i%len(zones)]
		s.daemons = append(s.daemons, &daemon{name: fmt.Sprintf("front-%s-%d", zone, 1+i/len(zones)), zone: zone, ip: ip, front: at(ip, 0), ready: at(ip, 1)})
		seeds = append(seeds, at(ip, 2))
	}
	for _, d := range s.daemons {
		data, err := files.ReadFile("settings.json")
		if err != nil {
			return fmt.Errorf("settings: %w", err)
		}
		settings := make(map[string]any)
		if err := json.Unmarshal(data, &settings); err != nil {
			return fmt.Errorf("settings: %w", err)
		}
		settings["nodeName"], settings["zone"], settings["internetAddress"] = d.name, d.zone, d.ip
		settings["listenAddresses"] = map[string]string{"front": d.front, "ready": d.ready, "control": at(d.ip, 2), "directory": at(d.ip, 3)}
		settings["internalPorts"] = []int{free[4], free[4] + 15}
		settings["seeds"] = seeds
		settings["platform"].(map[string]any)["address"] = s.storeAt
		if data, err = json.Marshal(settings); err != nil {
			return fmt.Errorf("settings: %w", err)
		}
		d.settings = filepath.Join(s.dir, d.name+".json")
		if err := os.WriteFile(d.settings, data, 0o600); err != nil {
			return fmt.Errorf("settings: %w", err)
		}
		if err := s.startDaemon(d); err != nil {
			return err
		}
	}
	return s.waitReady()
}

// startDaemon starts a daemon, also again.
func (s *system) startDaemon(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(s.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	words := strings.Fields("target/currantwick gateway -metrics 9464/metrics")
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = append(os.Environ(), names.SettingsVariable+"="+d.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", d.name, err)
	}
	exited := make(chan struct{})
	d.cmd, d.exited = cmd, exited
	s.record.line("daemon %s started, process %d, callers at %s", d.name, cmd.Process.Pid, d.front)
	s.group.Go(func() error {
		err := cmd.Wait()
		s.record.line("daemon %s ended: %v", d.name, err)
		log.Close()
		close(exited)
		return nil
	})
	return nil
}

// kill kills the process of a daemon and waits for its end.
func (d *daemon) kill() error {
	if err := d.cmd.Process.Kill(); err != nil {
		return fmt.Errorf("kill %s: %w", d.name, err)
	}
	<-d.exited
	return nil
}

// stop ends all daemons.
func (s *system) stop() {
	for _, d := range s.daemons {
		if d.cmd != nil {
			_ = d.cmd.Process.Kill() // It may have ended.
			<-d.exited
		}
	}
}

func (s *system) waitReady() error {
	client := http.Client{Timeout: time.Second}
	end := time.Now().Add(20 * time.Second)
	for _, d := range s.daemons {
		for {
			resp, err := client.Get("http://" + d.ready + names.ReadyPath)
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready: %w", d.name, errNotRun)
			}
			sleep(50 * time.Millisecond)
		}
	}
	sleep(2 * time.Second) // Links between daemons come up.
	return nil
}

// sleep waits for a time.
func sleep(d time.Duration) { <-time.After(d) }

// publish writes the record of a runner now and with each heartbeat, until stop is closed.
func (s *system) publish(id string, stop <-chan struct{}, describe func() map[string]any) {
	const heartbeat = 1200 * time.Millisecond
	put := func(sequence int) {
		m := describe()
		m["sequence"], m["state"], m["coldRemainingMs"], m["version"] = sequence, "ready", 0, "1"
		data, _ := json.Marshal(m) // Of maps and strings.
		s.store.put(names.RunnerTopic, -1, entry{id, data})
	}
	put(1)
	s.group.Go(func() error {
		for n := 2; ; n++ {
			select {
			case <-s.ctx.Done():
				return nil
			case <-stop:
				return nil
			case <-time.After(heartbeat):
				put(n)
			}
		}
	})
}
