package trial

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
	"strings"
	"sync"
	"syscall"
	"time"
)

// Topics of the operator, of the runners and of the daemons.
const (
	topicConfig  = "keyed.op"
	topicRunners = "keyed.servers"
	topicDaemons = "keyed.currantwick"
)

// graceTime is the time between SIGTERM and SIGKILL of a daemon.
const graceTime = 8 * time.Second

// deployment is a small deployment: daemons as processes, runners, and the store.
type deployment struct {
	// program is the path of the daemon, and dir a temporary folder.
	program, dir string
	// unfenced is set if runners do not check fencing tokens.
	unfenced bool
	// trouble is false if the case is to run without its disruption.
	trouble bool
	// store is nil until start was called.
	store *store
	// storeAt is the address of the store.
	storeAt string
	servers []*http.Server
	daemons []*daemon

	began  time.Time
	mu     sync.Mutex
	record *os.File
}

// daemon is a process of the project.
type daemon struct {
	name, zone, file, ip             string
	front, ready, directory, control string
	cmd                              *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

func newDeployment(program, record string, trouble bool) (*deployment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the daemon is not built: %w", err)
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "trial")
	if err != nil {
		return nil, err
	}
	return &deployment{program: program, dir: dir, trouble: trouble, record: f, began: time.Now()}, nil
}

// notef adds a line to the record.
func (d *deployment) notef(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(d.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(d.record, strings.TrimRight(line, "\n"))
}

// listen opens a server on a free loopback port.
func (d *deployment) listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	d.servers = append(d.servers, s)
	go s.Serve(l)
	return l.Addr().String(), nil
}

// start starts the store, publishes the configuration and the runners, and starts n
// daemons. It returns once all are ready.
func (d *deployment) start(config string, runners []*runner, n int) error {
	d.store = newStore(d)
	at, err := d.listen(d.store)
	if err != nil {
		return err
	}
	d.storeAt = at
	d.store.put(topicConfig, "config", config)
	for _, r := range runners {
		if err := d.addRunner(r); err != nil {
			return err
		}
	}
	for i := range n {
		if err := d.addDaemon(i); err != nil {
			return err
		}
	}
	for _, p := range d.daemons {
		if err := d.run(p); err != nil {
			return err
		}
	}
	return d.waitReady(15 * time.Second)
}

// addRunner serves a runner and publishes its record, again every heartbeat.
func (d *deployment) addRunner(r *runner) error {
	at, err := d.listen(r)
	if err != nil {
		return err
	}
	r.address, r.server = at, d.servers[len(d.servers)-1]
	r.publish()
	go func() {
		for range time.Tick(heartbeatTime) {
			r.publish()
		}
	}()
	return nil
}

// addDaemon writes the settings of a daemon.
func (d *deployment) addDaemon(i int) error {
	// Each daemon has a loopback address of its own, as each machine has its address, so
	// that the fixed ports are the same on all.
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.N(250), rand.N(250), 2+rand.N(250))
	at, err := freePorts(ip, 4)
	if err != nil {
		return err
	}
	p := &daemon{name: fmt.Sprintf("front-%c-1", 'a'+i), zone: fmt.Sprintf("zone-%c", 'a'+i), ip: ip}
	p.front, p.ready, p.directory, p.control = at[0], at[1], at[2], at[3]
	p.file = filepath.Join(d.dir, p.name+".json")
	seed := p.control
	if len(d.daemons) > 0 {
		seed = d.daemons[0].control
	}
	text := fmt.Sprintf(settings, p.name, ip, p.zone, p.front, p.ready, p.control, p.directory, seed, !d.unfenced, d.storeAt)
	if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
		return err
	}
	d.daemons = append(d.daemons, p)
	return nil
}

// settings is the settings file of a daemon, with the figures of a small deployment.
const settings = `{"nodeName":%q,"role":"gateway","machineClass":"front","serves":["front","control","directory"],
"internetAddress":%q,"zone":%q,"region":"r-north","zones":{"zone-a":"r-north","zone-b":"r-north"},
"listenAddresses":{"front":%q,"ready":%q,"control":%q,"directory":%q},"internalPorts":[7380,7395],"seeds":[%q],
"bootstrap":true,"countInTolerance":false,
"limits":{"cpuShare":0.4,"cores":1,"memoryMb":284,"fileDescriptors":4100,"linkMbps":1000.0,"diskMb":0},
"dataDirectory":null,"discovery":"platform","entry":"directory","heartbeatMs":1200,
"contracts":["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"],
"faultTolerance":{"machines":2,"zones":0,"regions":0},
"bounds":{"seedLagS":3,"reuseAfterS":2,"stabilityWindowMs":3000,"acknowledgeMs":4000,"catchUpS":4,"drainMs":2000,
"graceS":8,"lostMs":200,"configPropagationMs":2000,"downgradeMs":250,"outerMs":5000,"budgetRatio":0.2,
"budgetWindowS":10,"budgetSlack":54,"recoveryS":12,"passMs":120,"retryAfterS":0,"requireFencing":%t,"leaseMs":3000,
"thawMs":300,"ceilingWindowS":5,"ceilingFactor":1.1,"version_ms":5000,"ttl_max_s":5},
"platform":{"address":%q,"form":"log","writesPerS":400,"readsPerS":2000,"parts":12,"appendMs":2.0,
"partitionMegabytesS":20.0,"readMegabytesS":80.0,"recordBytes":262144,"callBytes":2097152,"keep_s":300,
"maxPartitionMb":200,"minTtlMs":1000}}`

// freePorts returns unused ports of a loopback address, no two of them alike.
func freePorts(ip string, n int) ([]string, error) {
	var list []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close() // After all are drawn.
		list = append(list, l.Addr().String())
	}
	return list, nil
}

// run starts a daemon with the command of the deploy file.
func (d *deployment) run(p *daemon) error {
	p.cmd = exec.Command(d.program, "gateway", "-metrics", "9464/metrics")
	p.cmd.Env = append(os.Environ(), "CURRANTWICK_BOOT="+p.file)
	log, err := os.OpenFile(filepath.Join(d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	d.notef("%s started, process %d, front %s", p.name, p.cmd.Process.Pid, p.front)
	p.exited = make(chan struct{})
	cmd, exited := p.cmd, p.exited
	go func() {
		err := cmd.Wait()
		d.notef("%s ended: %v", p.name, err)
		log.Close()
		close(exited)
	}()
	return nil
}

// stop sends SIGTERM, and SIGKILL after the grace time, as the platform does.
func (d *deployment) stop(p *daemon) {
	d.notef("SIGTERM to %s", p.name)
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // It fails only after the end of the process.
	time.AfterFunc(graceTime, func() {
		select {
		case <-p.exited:
		default:
			d.notef("SIGKILL to %s", p.name)
			_ = p.cmd.Process.Kill()
		}
	})
}

var errNotReady = errors.New("not ready")

func (p *daemon) checkReady() error {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.ready + "/currantwick/readiness")
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errNotReady
	}
	return nil
}

func (d *deployment) waitReady(within time.Duration) error {
	for _, p := range d.daemons {
		end := time.Now().Add(within)
		for {
			err := p.checkReady()
			if err == nil {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s: %w", p.name, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// Links between daemons and the terms of shards are settled by then.
	time.Sleep(2 * time.Second)
	d.notef("all daemons are ready")
	return nil
}

// close ends all processes that were started and removes the temporary folder. The logs
// of the daemons are kept if TRIAL_LOGS names a folder.
func (d *deployment) close() {
	for _, p := range d.daemons {
		if p.cmd == nil || p.cmd.Process == nil {
			continue
		}
		_ = p.cmd.Process.Kill() // It fails only after the end of the process.
		<-p.exited
	}
	for _, s := range d.servers {
		s.Close()
	}
	if logs := os.Getenv("TRIAL_LOGS"); logs != "" {
		for _, p := range d.daemons {
			if data, err := os.ReadFile(filepath.Join(d.dir, p.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(logs, p.name+".log"), data, 0o600)
			}
		}
	}
	os.RemoveAll(d.dir)
	d.record.Close()
}

// text encodes a value as JSON.
func text(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // Only values of the cases are encoded.
	}
	return string(data)
}
