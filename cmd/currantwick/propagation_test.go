package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"currantwick"
	"currantwick/fakes"
	"currantwick/fault"

	"github.com/valyala/fasthttp"
)

const (
	// inForceTimeout bounds the time from the verdict until a change is in force
	// on the given daemons.
	inForceTimeout = 9 * time.Second
	// inForcePoll is the polling interval while that time is measured.
	inForcePoll = 5 * time.Millisecond
)

// context publishes the model base with a context of n tokens through one daemon.
func (c *cluster) context(d *daemon, id wick.ChangeID, n wick.Tokens) wick.Offset {
	c.t.Helper()
	v, status := c.publish(d, wick.Change{
		ID: id, Operator: "ana", Puts: wick.Objects{Models: []wick.Model{{Name: "base", Context: n}}},
	})
	if status != fasthttp.StatusOK || !v.Accepted() {
		c.t.Fatalf("publish: status %d, %+v", status, v)
	}
	return v.Offset
}

// awaitOffset waits until the configuration in force on the daemons has at least
// offset at.
func (c *cluster) awaitOffset(at wick.Offset, daemons ...*daemon) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), inForceTimeout)
	defer cancel()
	for _, d := range daemons {
		for !c.hasOffset(d, at) {
			select {
			case <-ctx.Done():
				c.t.Fatalf("%s has not reached offset %d after %v", d.settings.Host, at, inForceTimeout)
			case <-time.After(inForcePoll):
			}
		}
	}
}

// TestChangeReachesAllDaemons measures the time from sending a change until it is
// in force on all daemons. The time from the verdict on is bounded.
func TestChangeReachesAllDaemons(t *testing.T) {
	tests := []struct {
		name   string
		before func(c *cluster)
	}{
		{"log up", func(*cluster) {}},
		{"log slow", func(c *cluster) {
			slow := millis(300)
			c.set.Log.Control(fakes.LogControl{Slow: &slow})
		}},
		{"log connections refused for two of three", func(c *cluster) { c.log(fault.Cut, "h2", "h3") }},
		{"log unresponsive for two of three", func(c *cluster) { c.log(fault.Blackhole, "h2", "h3") }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 3)
			c.awaitView()
			test.before(c)
			sent := time.Now()
			at := c.context(c.daemons[0], "one", 1)
			validated := time.Since(sent)
			c.awaitOffset(at, c.daemons...)
			t.Logf("validated %v and in force on all daemons %v after it was sent",
				validated.Round(time.Millisecond), time.Since(sent).Round(time.Millisecond))
		})
	}
}

// TestStartDuringLogOutage starts a daemon that can't reach the log, and checks
// that it gets the configuration from its peers.
func TestStartDuringLogOutage(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitView()
	c.awaitOffset(c.context(c.daemons[0], "one", 1), c.daemons...)
	last := c.daemons[2]
	if err := last.cmd.Process.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	<-last.exited
	c.log(fault.Cut)
	restarted := c.start(last.settings)
	c.await("the daemon answers operators", func() bool {
		status, _ := c.call(restarted, fasthttp.MethodGet, "/healthz", nil)
		return status == fasthttp.StatusOK
	})
	c.awaitOffset(1, restarted)
	c.log(fault.Pass)
	c.awaitOffset(c.context(restarted, "two", 2), c.daemons[0], c.daemons[1], restarted)
}

// TestConfigurationNeverReverts restarts a daemon after each change that it had
// in force, every second time without access to the log. Once it is ready
// again, the change must be in force.
func TestConfigurationNeverReverts(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitView()
	for i := range 6 {
		at := c.context(c.daemons[0], wick.ChangeID("change-"+string(rune('a'+i))), wick.Tokens(i+1))
		last := c.daemons[len(c.daemons)-1]
		c.awaitOffset(at, c.daemons...)
		if i%2 == 0 {
			c.log(fault.Cut, "h3")
		}
		if err := last.cmd.Process.Signal(syscall.SIGKILL); err != nil {
			t.Fatal(err)
		}
		<-last.exited
		c.daemons = c.daemons[:len(c.daemons)-1]
		restarted := c.start(last.settings)
		c.await("the daemon is ready", func() bool {
			status, _ := c.call(restarted, fasthttp.MethodGet, "/readyz", nil)
			return status == fasthttp.StatusOK
		})
		if !c.hasOffset(restarted, at) {
			t.Errorf("a restarted daemon is ready without the change at offset %d", at)
		}
		c.awaitOffset(at, c.daemons...)
		c.log(fault.Pass, "h3")
	}
}

// TestReadyAfterReadingWholeLog restarts a daemon whose configuration takes more
// than one read of the log, while reads are slow. It must not become ready before
// it has read the newest change.
func TestReadyAfterReadingWholeLog(t *testing.T) {
	const changes = 600
	c := newCluster(t, 1)
	c.awaitView()
	var at wick.Offset
	for i := range changes {
		at = c.context(c.daemons[0], wick.ChangeID(fmt.Sprintf("change-%d", i)), wick.Tokens(i+1))
	}
	last := c.daemons[0]
	if err := last.cmd.Process.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	<-last.exited
	slow := millis(300)
	c.set.Log.Control(fakes.LogControl{Slow: &slow})
	restarted := c.start(last.settings)
	c.await("the daemon is ready", func() bool {
		status, _ := c.call(restarted, fasthttp.MethodGet, "/readyz", nil)
		return status == fasthttp.StatusOK
	})
	if !c.hasOffset(restarted, at) {
		t.Errorf("a restarted daemon is ready without the change at offset %d", at)
	}
}

// TestConfigurationOutlivesRetention changes one object once and another
// repeatedly, until the log has dropped the first change, and then restarts all
// daemons. They must still have both objects.
func TestConfigurationOutlivesRetention(t *testing.T) {
	const keep = 3 * time.Second
	c := newClusterWith(t, 3, wick.Duration(keep))
	c.awaitView()
	start := time.Now()
	c.mustRun("apply", "-file", c.sampleFile(), "-id", "first")
	n := 1
	for time.Since(start) < 2*keep {
		c.context(c.daemons[0], wick.ChangeID(fmt.Sprintf("change-%d", n)), wick.Tokens(4096+n))
		n++
		<-time.After(100 * time.Millisecond)
	}
	entries, err := c.logClient().Read(context.Background(), wick.ConfigStream, 1, 1)
	if err != nil || len(entries) == 0 || entries[0].Offset <= 1 {
		t.Fatalf("the log still holds the first change: %+v, %v", entries, err)
	}
	old := c.daemons
	c.daemons = nil
	for _, d := range old {
		if err := d.cmd.Process.Signal(syscall.SIGKILL); err != nil {
			t.Fatal(err)
		}
		<-d.exited
	}
	for _, d := range old {
		c.start(d.settings)
	}
	for _, d := range c.daemons {
		c.await("the daemon has all objects", func() bool {
			got := c.wick("get", "-admin", string(d.settings.Admin.Address))
			return strings.Contains(got.out, `"Context": `+fmt.Sprint(4096+n-1)) && strings.Contains(got.out, `"Adapter": "alpha"`)
		})
	}
	c.awaitView()
}

// TestAuditTrailComplete disconnects from the log the daemon that writes the audit
// trail, while others publish. Every verdict must appear in the trail.
func TestAuditTrailComplete(t *testing.T) {
	const changes = 5
	c := newCluster(t, 3)
	c.awaitView()
	c.log(fault.Cut, "h1")
	for i := range changes {
		at := c.context(c.daemons[1], wick.ChangeID(fmt.Sprintf("change-%d", i)), wick.Tokens(i+1))
		c.awaitOffset(at, c.daemons...)
	}
	c.log(fault.Pass, "h1")
	c.await("one entry in the audit trail per change", func() bool {
		got := c.mustRun("audit")
		return strings.Count(got, "\n") == changes
	})
}

// TestReloadKeys replaces the certificate authority while daemons run, and checks
// that they stay in one view.
func TestReloadKeys(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitView()
	steps := [][]string{
		{"keys", "-dir", "keys", "-rotate"},
		{"keys", "-dir", "keys", "-hosts", "h1,h2,h3"},
		{"keys", "-dir", "keys", "-retire"},
	}
	for i, step := range steps {
		c.mustRun(step...)
		for _, d := range c.daemons {
			if err := d.cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
		}
		for _, d := range c.daemons {
			c.await("the keys are reloaded", func() bool {
				return strings.Count(d.log.String(), "keys reloaded") == i+1
			})
		}
	}
	c.log(fault.Cut, "h2", "h3") // Changes must now arrive through peers.
	c.awaitOffset(c.context(c.daemons[0], "one", 1), c.daemons...)
	if data, err := os.ReadFile(c.file("keys/ca.pem")); err != nil || strings.Count(string(data), "BEGIN CERTIFICATE") != 1 {
		t.Errorf("ca.pem after -retire: %v\n%s", err, data)
	}
	c.awaitView()
}

// TestUntrustedRejected starts a daemon with a certificate of another authority,
// which must get no configuration from its peers, and sends operators' requests
// without the token, which must all fail.
func TestUntrustedRejected(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitView()
	c.awaitOffset(c.context(c.daemons[0], "one", 1), c.daemons...)
	c.mustRun("keys", "-dir", "others", "-hosts", "h3")
	last := c.daemons[2]
	if err := last.cmd.Process.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	<-last.exited
	c.daemons = c.daemons[:2]
	c.awaitView()
	s := last.settings
	s.Keys.CA, s.Keys.Cert, s.Keys.Key = c.file("others/ca.pem"), c.file("others/h3.pem"), c.file("others/h3.key")
	c.log(fault.Cut, "h3") // Otherwise it would read the configuration from the platform's log.
	untrusted := c.start(s)
	c.await("the untrusted daemon runs", func() bool {
		status, _ := c.call(untrusted, fasthttp.MethodGet, "/healthz", nil)
		return status == fasthttp.StatusOK
	})
	for range 3 {
		at := c.context(c.daemons[0], "more", 2)
		c.awaitOffset(at, c.daemons[:2]...)
		<-time.After(s.Lease.TTL.Std())
	}
	if c.hasOffset(untrusted, 1) {
		t.Error("a daemon with an untrusted certificate has the configuration")
	}
	if status, _ := c.call(untrusted, fasthttp.MethodGet, "/readyz", nil); status != fasthttp.StatusServiceUnavailable {
		t.Errorf("a daemon with an untrusted certificate is ready: status %d", status)
	}

	c.write("token", "not the operators' token")
	for _, verb := range []string{"get", "status", "audit", "drain"} {
		if got := c.wick(verb); got.code == 0 || !strings.Contains(got.err, "the operators' token is missing or wrong") {
			t.Errorf("%s without the token: %+v", verb, got)
		}
	}
	c.writeJSON("conf.json", file{Objects: c.sample()})
	if got := c.wick("apply", "-file", "conf.json"); got.code != 1 {
		t.Errorf("apply without the token: %+v", got)
	}
}

// hasOffset reports whether the configuration in force on a daemon has at least
// offset at.
func (c *cluster) hasOffset(d *daemon, at wick.Offset) bool {
	status, body := c.call(d, fasthttp.MethodGet, "/v1/objects?kind=Model", nil)
	var got wick.Checkpoint
	return status == fasthttp.StatusOK && json.Unmarshal(body, &got) == nil && got.AsOf >= at
}
