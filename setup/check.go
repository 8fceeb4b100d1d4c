package setup

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"currantwick"
)

const (
	minTokenBytes = 16
	maxTokenBytes = 512
)

// checker collects faults with the paths of their fields.
type checker struct {
	errs []error
}

func (c *checker) add(path, format string, args ...any) {
	c.errs = append(c.errs, &wick.FieldError{Field: path, Text: fmt.Sprintf(format, args...)})
}

// err notes the fault of a field's own check.
func (c *checker) err(path string, err error) {
	if err != nil {
		c.add(path, "%v", err)
	}
}

// within notes a value outside of lo to hi.
func within[T cmp.Ordered](c *checker, path string, v, lo, hi T) {
	if v < lo || v > hi {
		c.add(path, "must be %v to %v, not %v", lo, hi, v)
	}
}

// span notes a duration outside of lo to hi.
func (c *checker) span(path string, v wick.Duration, lo, hi time.Duration) {
	within(c, path, v.Std(), lo, hi)
}

// one notes an address that does not name exactly one place.
func (c *checker) one(path string, a wick.Address) {
	if err := a.Check(); err != nil {
		c.add(path, "%v", err)
		return
	}
	ap, _ := netip.ParseAddrPort(string(a))
	if ap.Addr().IsUnspecified() || ap.Port() == 0 {
		c.add(path, "%s is handed to others, so it must name one IP address and port", a)
	}
}

func (c *checker) file(path, name string) {
	if name == "" {
		c.add(path, "must name a file")
	}
}

func (c *checker) pair(path string, p *Pair) {
	if p != nil {
		c.file(path+".Cert", p.Cert)
		c.file(path+".Key", p.Key)
	}
}

// Check implements wick.Checker. The error joins one *wick.FieldError a fault.
func (s Settings) Check() error {
	c := &checker{}
	c.err("Host", s.Host.Check())
	c.err("Domain", s.Domain.Check())
	s.checkDoors(c)
	s.checkPlatform(c)
	c.file("Keys.CA", s.Keys.CA)
	c.file("Keys.Cert", s.Keys.Cert)
	c.file("Keys.Key", s.Keys.Key)
	s.checkTimes(c)
	s.checkLimits(c)
	s.checkPolicy(c)
	return errors.Join(c.errs...)
}

// checkDoors checks where the daemon listens.
func (s Settings) checkDoors(c *checker) {
	c.one("Entry.Address", s.Entry.Address)
	c.pair("Entry.TLS", s.Entry.TLS)
	c.one("Peer.Address", s.Peer.Address)
	if s.Peer.Listen != "" {
		c.err("Peer.Listen", s.Peer.Listen.Check())
	}
	c.err("Admin.Address", s.Admin.Address.Check())
	c.pair("Admin.TLS", s.Admin.TLS)
	if s.Entry.Address == s.Admin.Address && s.Entry.Address != "" {
		c.add("Admin.Address", "must differ from Entry.Address")
	}
	switch {
	case (s.Admin.Token == "") == (s.Admin.TokenFile == ""):
		c.add("Admin.Token, Admin.TokenFile", "exactly one must be set")
	case s.Admin.Token != "":
		c.err("Admin.Token", s.Admin.Token.check())
	}
}

func (t Token) check() error {
	if len(t) < minTokenBytes || len(t) > maxTokenBytes {
		return fmt.Errorf("must have %d to %d bytes, not %d", minTokenBytes, maxTokenBytes, len(t))
	}
	return nil
}

// checkPlatform checks how the platform and the first peers are reached.
func (s Settings) checkPlatform(c *checker) {
	for i, a := range s.Peers {
		c.one(fmt.Sprintf("Peers[%d]", i), a)
	}
	c.one("Log.Address", s.Log.Address)
	c.span("Log.Retention", s.Log.Retention, 2*time.Second, 10_000*time.Hour)
	c.span("Log.Timeout", s.Log.Timeout, 50*time.Millisecond, time.Minute)
	if s.Hosts.Address != "" {
		c.one("Hosts.Address", s.Hosts.Address)
	}
	c.span("Hosts.Every", s.Hosts.Every, 50*time.Millisecond, time.Minute)
}

func (s Settings) checkTimes(c *checker) {
	ttl := s.Lease.TTL.Std()
	c.span("Lease.TTL", s.Lease.TTL, 200*time.Millisecond, time.Minute)
	c.span("Lease.Renew", s.Lease.Renew, 10*time.Millisecond, max(ttl/3, 10*time.Millisecond))
	c.span("Lease.Suspect", s.Lease.Suspect, 2*s.Lease.Renew.Std(), time.Minute)
	c.span("Lease.Drift", s.Lease.Drift, ttl/100, ttl)
	c.span("Claim.Life", s.Claim.Life, time.Second, max(s.Log.Retention.Std()/2, time.Second))
	c.span("Claim.Batch", s.Claim.Batch, time.Millisecond, time.Second)
	c.span("Stale", s.Stale, max(time.Second, ttl), 10*time.Minute)
	c.span("Stop.Grace", s.Stop.Grace, time.Second, 24*time.Hour)
	c.span("Stop.Linger", s.Stop.Linger, 0, time.Hour)
}

func (s Settings) checkLimits(c *checker) {
	within(c, "Limits.BodyBytes", s.Limits.BodyBytes, kibibyte, gibibyte)
	within(c, "Limits.Requests", s.Limits.Requests, 1, 1_000_000)
	within(c, "Limits.Connections", s.Limits.Connections, 1, 1_000_000)
	c.span("Limits.Idle", s.Limits.Idle, time.Second, time.Hour)
	c.span("Limits.Silence", s.Limits.Silence, 50*time.Millisecond, 10*time.Minute)
}

func (s Settings) checkPolicy(c *checker) {
	for name, choice := range s.Policy.Each {
		if *choice != Chosen && *choice != Baseline {
			c.add("Policy."+name, "must be %s or %s, not %q", Chosen, Baseline, string(*choice))
		}
	}
}
