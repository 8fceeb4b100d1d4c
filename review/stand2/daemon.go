package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of the stand-ins and daemons; each has a loopback address of its own.
const (
	portFront   = 8149
	portReady   = 8141
	portControl = 8144
	portDir     = 8143
	portPeers   = 7380
	portServer  = 8501
	portStore   = 8142
	portMetrics = 9464
)

// subnet is a random loopback network for one run.
type subnet struct{ a, b int }

// newSubnet returns a network in which nothing listens on the ports of the daemons.
func newSubnet() (subnet, error) {
	for range 50 {
		n := subnet{1 + rand.N(250), rand.N(250)}
		l, err := net.Listen("tcp", n.at(1, portMetrics))
		if err == nil {
			l.Close()
			return n, nil
		}
	}
	return subnet{}, errors.New("no free loopback network")
}

func (n subnet) ip(host int) string       { return fmt.Sprintf("127.%d.%d.%d", n.a, n.b, host) }
func (n subnet) at(host, port int) string { return fmt.Sprintf("%s:%d", n.ip(host), port) }

// daemon is one process of the project, started with the command of the deploy file.
type daemon struct {
	name     string
	ip       string
	settings string
	log      string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// writeSettings writes a settings file as on the sheet of the small deployments.
func writeSettings(path, name, zone string, n subnet, host int, seeds []string, store string) error {
	ip := n.ip(host)
	data, err := json.Marshal(map[string]any{
		"nodeName": name, "role": "gateway", "machineClass": "front", "serves": []string{"front", "directory", "control"},
		"internetAddress": ip, "zone": zone, "region": "et-central",
		"zones": map[string]string{"addis-a": "et-central", "addis-b": "et-central", "adama": "et-central"},
		"listenAddresses": map[string]string{
			"front": n.at(host, portFront), "ready": n.at(host, portReady), "control": n.at(host, portControl), "directory": n.at(host, portDir),
		},
		"internalPorts": []int{portPeers, portPeers + 15}, "seeds": seeds, "bootstrap": true, "countInTolerance": false,
		"limits":        map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "fileDescriptors": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDirectory": nil, "discovery": "platform", "entry": "directory", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "stabilityWindowMs": 3000, "acknowledgeMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lostMs": 200,
			"configPropagationMs": 2000, "downgradeMs": 250, "outerMs": 5000, "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 54, "recoveryS": 12,
			"passMs": 120, "retryAfterS": 0, "requireFencing": true, "leaseMs": 3000, "thawMs": 300, "ceilingWindowS": 5, "ceilingFactor": 1.1,
			"version_ms": 5000, "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"address": store, "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 12, "appendMs": 2.0, "partitionMegabytesS": 20.0,
			"readMegabytesS": 80.0, "recordBytes": 262144, "callBytes": 2097152, "keep_s": 300, "maxPartitionMb": 200, "minTtlMs": 1000,
		},
	})
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// start starts the process.
func (d *daemon) start(w *world) error {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	cmd := exec.Command(w.program, "gateway", "-metrics", fmt.Sprintf("%d/metrics", portMetrics))
	cmd.Env = append(os.Environ(), names.BootVariable+"="+d.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", d.name, err)
	}
	processes.add(cmd.Process)
	exited := make(chan struct{})
	d.cmd, d.exited = cmd, exited
	w.group.Go(func() error {
		err := cmd.Wait()
		_ = log.Close()
		w.record.add("%s: process %d ended: %v", d.name, cmd.Process.Pid, err)
		close(exited)
		return nil
	})
	w.record.add("%s: process %d started", d.name, cmd.Process.Pid)
	return nil
}

func (d *daemon) signal(w *world, s syscall.Signal) {
	w.record.add("%s: signal %v", d.name, s)
	_ = d.cmd.Process.Signal(s) // The process may have ended.
}

// ready reports whether the daemon says that it is ready.
func (d *daemon) ready(n subnet, host int) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.at(host, portReady) + names.Ready)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startDaemons starts one daemon in each zone in turn and waits until all are ready.
func (w *world) startDaemons(count int, store string) error {
	zones := []string{"addis-a", "addis-b", "adama"}
	var seeds []string
	for i := range min(count, 3) {
		seeds = append(seeds, w.net.at(firstDaemon+i, portControl))
	}
	for i := range count {
		name := fmt.Sprintf("front-%s-%d", zones[i%3], 1+i/3)
		d := &daemon{
			name: name, ip: w.net.ip(firstDaemon + i),
			settings: filepath.Join(w.dir, name+".json"), log: filepath.Join(w.dir, name+".log"),
		}
		if err := writeSettings(d.settings, name, zones[i%3], w.net, firstDaemon+i, seeds, store); err != nil {
			return err
		}
		if err := d.start(w); err != nil {
			return err
		}
		w.daemons = append(w.daemons, d)
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for i, d := range w.daemons {
			all = all && d.ready(w.net, firstDaemon+i)
		}
		if all {
			return nil
		}
	}
	return errors.New("daemons not ready")
}

// processList lists the processes that the run has started.
type processList struct {
	mu   sync.Mutex
	list []*os.Process
}

var processes processList

func (p *processList) add(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, process)
}

func (p *processList) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, process := range p.list {
		_ = process.Kill() // It may have ended.
	}
}
