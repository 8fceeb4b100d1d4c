package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"currantwick"
	"currantwick/setup"
)

// TestVerbsOffline runs verbs that need no daemon.
func TestVerbsOffline(t *testing.T) {
	c := newCluster(t, 0)
	c.writeJSON("good.json", file{Objects: c.sample()})
	bad := c.sample()
	bad.Routes[0].Pool = "none"
	bad.Models[0].Context = 0
	c.writeJSON("bad.json", file{Objects: bad})
	c.write("typo.json", `{"Objects": {"Rutes": [], "Models": [{"Name": 1}]}}`)
	c.writeJSON("more.json", file{Objects: wick.Objects{Adapters: []wick.Adapter{{Name: "x", Model: "base"}}}})
	c.write("settings.json", `{"Host": "h1", "Lease": {"TTL": "1"}}`)
	tests := []struct {
		args string
		code int
		want string // part of the output
	}{
		{"", 2, "usage: currantwick VERB"},
		{"nonsense", 2, `no verb "nonsense"`},
		{"check -file good.json", 0, "ok"},
		{"check -file bad.json", 1, "Model base: WellFormed: Context: must be positive"},
		{"check -file bad.json", 1, "Route alpha: Reference: Pool: Pool none does not exist"},
		{"check -file typo.json", 1, "Objects.Models[0].Name: want a string, not number\nObjects.Rutes: unknown field"},
		{"check -file more.json", 1, "Adapter x: Reference: Model: Model base does not exist"},
		{"check -file more.json -onto good.json", 0, "ok"},
		{"check -file none.json", 1, "no such file"},
		{"check", 2, "exactly one of -file and -settings"},
		{"check -settings settings.json", 1, `Lease.TTL: duration "1": want a number with a unit`},
		{"check -nonsense", 2, "flag provided but not defined"},
		{"apply -file good.json", 2, "-admin and -token-file must be set"},
		{"get -admin 127.0.0.1:1", 1, "connection refused"},
		{"entries -entry x", 2, "want IP:port"},
		{"keys", 2, "one of -hosts, -rotate and -retire"},
		{"keys -hosts a,b -dir k", 0, "k/b.pem"},
		{"serve -print-defaults", 0, `"TTL":"1.5s"`},
		{"check --file=good.json", 0, "ok"},
		{"gateway -settings=none.json", 2, "no such file"},
		{"gateway --settings none.json", 2, "no such file"},
		{"--help", 0, "usage: currantwick VERB"},
		{"help gateway", 0, "--settings"},
		{"--version", 0, "currantwick version "},
		{"completion bash", 0, "__start_currantwick"},
	}
	for _, test := range tests {
		t.Run(test.args, func(t *testing.T) {
			got := c.wick(strings.Fields(test.args)...)
			if got.code != test.code || !strings.Contains(got.out+got.err, test.want) {
				t.Errorf("got %+v\nwant code %d with %q", got, test.code, test.want)
			}
		})
	}
	for _, v := range []string{
		"serve", "demo", "check", "apply", "get", "diff", "status", "drain", "entries", "audit", "keys",
	} {
		if got := c.wick(v, "-h"); got.code != 0 || !strings.Contains(got.err, "Example:\n  currantwick ") {
			t.Errorf("%s -h: %+v", v, got)
		}
	}
}

// TestLargeConfiguration publishes 6,000 adapters, which do not fit into one log
// record.
func TestLargeConfiguration(t *testing.T) {
	const adapters = 6000
	c := newCluster(t, 3)
	c.awaitView()
	o := c.sample()
	for i := range adapters {
		v := wick.Version{Adapter: wick.AdapterName(fmt.Sprintf("adapter-%d", i)), Name: "v1", Source: fmt.Sprintf("weights/adapter-%d/v1", i), Size: 64 << 20}
		o.Adapters = append(o.Adapters, wick.Adapter{Name: v.Adapter, Model: "base"})
		o.Versions = append(o.Versions, v)
		o.Routes = append(o.Routes, wick.Route{Name: wick.RouteName(v.Adapter), Pool: "draft", Priority: "short", Ref: v.Ref()})
	}
	c.writeJSON("large.json", file{Objects: o})
	if got := c.wick("apply", "-file", "large.json"); got.code != 1 || !strings.Contains(got.err, "try it as several changes with -split") {
		t.Errorf("without -split: exit code %d, %s", got.code, got.err)
	}
	start := time.Now()
	// The file holds 18,012 objects; a change has at most 1,000.
	if got := c.mustRun("apply", "-file", "large.json", "-split", "-id", "large"); strings.Count(got, "accepted: ") != 19 {
		t.Errorf("with -split: %d changes accepted", strings.Count(got, "accepted: "))
	}
	t.Logf("with -split: accepted within %v", time.Since(start).Round(time.Millisecond))
	for _, d := range c.daemons {
		c.await("all objects", func() bool {
			s, ok := c.status(d)
			// Kinds 1 and 7 are the adapters and the routes.
			return ok && s.Objects[1].Count == adapters+1 && s.Objects[7].Count == adapters+2
		})
	}
	if got := c.mustRun("diff", "-file", "large.json", "-prune"); got != "" {
		t.Errorf("diff after apply: %s", got[:min(len(got), 200)])
	}
}

// TestVerbsAgainstDaemons publishes a configuration, has an invalid and an
// outdated change rejected, moves a route to a new version and drains an endpoint
// and a daemon.
func TestVerbsAgainstDaemons(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitView()
	c.writeJSON("conf.json", file{Objects: c.sample()})
	if got := c.wick("diff", "-file", "conf.json"); got.code != 1 || !strings.Contains(got.out, "+ Route alpha") {
		t.Fatalf("diff before apply: %+v", got)
	}
	if got := c.mustRun("apply", "-file", "conf.json", "-dry-run"); !strings.Contains(got, "would be accepted") {
		t.Fatalf("dry run: %s", got)
	}
	if got := c.mustRun("apply", "-file", "conf.json", "-id", "first"); !strings.Contains(got, "accepted: change first at offset 1\n") {
		t.Fatalf("apply: %s", got)
	}
	if got := c.mustRun("apply", "-file", "conf.json"); got != "nothing to change\n" {
		t.Fatalf("apply again: %s", got)
	}
	read := c.mustRun("get")
	c.write("read.json", read)

	broken := c.sample()
	broken.Routes[0].Ref.Version = "v2"
	c.writeJSON("broken.json", file{Objects: broken})
	got := c.wick("apply", "-file", "broken.json", "-id", "second")
	if got.code != 1 || !strings.Contains(got.out, "Route alpha: Reference: Ref: Version alpha/v2 does not exist\nrejected: 1 violations") {
		t.Fatalf("apply of an invalid configuration: %+v", got)
	}

	broken.Versions = append(broken.Versions, wick.Version{Adapter: "alpha", Name: "v2", Source: "w/alpha/2", Size: 11})
	c.writeJSON("rolled.json", file{Objects: broken})
	if got := c.mustRun("apply", "-file", "rolled.json", "-id", "third"); !strings.Contains(got, `Ref: {"Adapter":"alpha","Version":"v1"} -> {"Adapter":"alpha","Version":"v2"}`) {
		t.Fatalf("apply of a new version: %s", got)
	}

	// A configuration read before the new version must not overwrite it.
	got = c.wickWith(strings.Replace(read, `"v1"`, `"v1"`, 1), "apply", "-file", "-", "-based", "-id", "fourth")
	if got.code != 1 || !strings.Contains(got.out, "Route alpha: Moved: read at revision 1, now at revision 3") {
		t.Fatalf("apply based on old revisions: %+v", got)
	}
	got = c.wick("drain", "-endpoint", "runner-2")
	if got.code != 0 || !strings.Contains(got.out, "accepted") {
		t.Fatalf("drain of an endpoint: %+v", got)
	}
	c.await("the endpoint is leaving", func() bool {
		return strings.Contains(c.mustRun("status"), "leaving")
	})

	c.await("the complete audit trail", func() bool {
		return strings.Count(c.mustRun("audit", "-json"), `"Change"`) == 5
	})
	if got := c.mustRun("audit", "-rejected", "-operator", "ana"); !strings.Contains(got, "second  by ana  rejected") || strings.Contains(got, "third") {
		t.Fatalf("audit: %s", got)
	}
	if got := c.mustRun("audit", "-change", "third"); strings.Count(got, "\n") != 1 {
		t.Fatalf("audit of one change: %s", got)
	}
	if got := c.mustRun("entries", "-entry", string(c.daemons[0].settings.Entry.Address)); strings.Count(got, "domain-h") != 3 {
		t.Fatalf("entries: %s", got)
	}

	last := c.daemons[2]
	if got := c.mustRun("drain", "-admin", string(last.settings.Admin.Address)); !strings.Contains(got, "stopped") {
		t.Fatalf("drain: %s", got)
	}
	c.await("the process exits", func() bool {
		select {
		case <-last.exited:
			return true
		default:
			return false
		}
	})
	c.await("the drained daemon leaves the view", func() bool {
		s, ok := c.status(c.daemons[0])
		return ok && len(s.Daemons) == 2
	})
	var conf file
	if err := json.Unmarshal([]byte(c.mustRun("get", "-kind", "Route", "-name", "alpha")), &conf); err != nil || conf.Objects.Routes[0].Ref.Version != "v2" {
		t.Errorf("final route: %+v, %v", conf, err)
	}
}

// TestOperatorsOverTLS enables TLS for operators and callers. Without the right CA,
// requests of operators must fail.
func TestOperatorsOverTLS(t *testing.T) {
	c := newCluster(t, 1)
	c.awaitView()
	c.mustRun("keys", "-dir", "others", "-hosts", "x")
	c.mustRun("drain")
	s := c.daemons[0].settings
	pair := setup.KeyPair{Cert: s.Keys.Cert, Key: s.Keys.Key}
	s.Admin.TLS, s.Entry.TLS = &pair, &pair
	c.daemons = nil
	c.start(s)
	c.await("the daemon answers over TLS", func() bool { return c.wick("status", "-ca", "keys/ca.pem").code == 0 })
	if got := c.mustRun("entries", "-entry", string(s.Entry.Address), "-ca", "keys/ca.pem"); !strings.Contains(got, "domain-h1") {
		t.Errorf("entries over TLS: %s", got)
	}
	for _, args := range [][]string{{"status"}, {"status", "-ca", "others/ca.pem"}} {
		if got := c.wick(args...); got.code == 0 {
			t.Errorf("%v: %+v", args, got)
		}
	}
}
