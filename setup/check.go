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

// checker collects validation errors, each with the path of its field.
type checker struct {
	errs []error
}

func (c *checker) add(path, format string, args ...any) {
	c.errs = append(c.errs, &wick.FieldError{Field: path, Text: fmt.Sprintf(format, args...)})
}

// err records the error of a field's own check, if there is one.
func (c *checker) err(path string, err error) {
	if err != nil {
		c.add(path, "%v", err)
	}
}

// checkRange records an error if v is outside of lo to hi.
func checkRange[T cmp.Ordered](c *checker, path string, v, lo, hi T) {
	if v < lo || v > hi {
		c.add(path, "must be %v to %v, not %v", lo, hi, v)
	}
}

// checkDuration records an error if v is outside of lo to hi.
func (c *checker) checkDuration(path string, v wick.Duration, lo, hi time.Duration) {
	checkRange(c, path, v.Std(), lo, hi)
}

// checkSpecific records an error unless a has a specific IP address and port.
func (c *checker) checkSpecific(path string, a wick.Address) {
	if err := a.Check(); err != nil {
		c.add(path, "%v", err)
		return
	}
	ap, _ := netip.ParseAddrPort(string(a))
	if ap.Addr().IsUnspecified() || ap.Port() == 0 {
		c.add(path, "%s is handed to others, so it must name one IP address and port", a)
	}
}

func (c *checker) checkFile(path, name string) {
	if name == "" {
		c.add(path, "must name a file")
	}
}

func (c *checker) checkKeyPair(path string, p *KeyPair) {
	if p != nil {
		c.checkFile(path+".Cert", p.Cert)
		c.checkFile(path+".Key", p.Key)
	}
}

// Check implements wick.Checker. It joins one *wick.FieldError per invalid field.
func (s Settings) Check() error {
	c := &checker{}
	c.err("Host", s.Host.Check())
	c.err("Domain", s.Domain.Check())
	s.checkListeners(c)
	s.checkPlatform(c)
	c.checkFile("Keys.CA", s.Keys.CA)
	c.checkFile("Keys.Cert", s.Keys.Cert)
	c.checkFile("Keys.Key", s.Keys.Key)
	s.checkTimes(c)
	s.checkLimits(c)
	s.checkPolicy(c)
	return errors.Join(c.errs...)
}

// checkListeners checks the listen addresses and their TLS files.
func (s Settings) checkListeners(c *checker) {
	c.checkSpecific("Entry.Address", s.Entry.Address)
	c.checkKeyPair("Entry.TLS", s.Entry.TLS)
	c.checkSpecific("Peer.Address", s.Peer.Address)
	if s.Peer.Listen != "" {
		c.err("Peer.Listen", s.Peer.Listen.Check())
	}
	c.err("Admin.Address", s.Admin.Address.Check())
	c.checkKeyPair("Admin.TLS", s.Admin.TLS)
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

// checkPlatform checks the access to the platform and the initial peers.
func (s Settings) checkPlatform(c *checker) {
	for i, a := range s.Peers {
		c.checkSpecific(fmt.Sprintf("Peers[%d]", i), a)
	}
	c.checkSpecific("Log.Address", s.Log.Address)
	c.checkDuration("Log.Retention", s.Log.Retention, 2*time.Second, 10_000*time.Hour)
	c.checkDuration("Log.Timeout", s.Log.Timeout, 50*time.Millisecond, time.Minute)
	if s.Hosts.Address != "" {
		c.checkSpecific("Hosts.Address", s.Hosts.Address)
	}
	c.checkDuration("Hosts.Every", s.Hosts.Every, 50*time.Millisecond, time.Minute)
}

func (s Settings) checkTimes(c *checker) {
	ttl := s.Lease.TTL.Std()
	c.checkDuration("Lease.TTL", s.Lease.TTL, 200*time.Millisecond, time.Minute)
	c.checkDuration("Lease.Renew", s.Lease.Renew, 10*time.Millisecond, max(ttl/3, 10*time.Millisecond))
	c.checkDuration("Lease.Suspect", s.Lease.Suspect, 2*s.Lease.Renew.Std(), time.Minute)
	c.checkDuration("Lease.Drift", s.Lease.Drift, ttl/100, ttl)
	c.checkDuration("Claim.Life", s.Claim.Life, time.Second, max(s.Log.Retention.Std()/2, time.Second))
	c.checkDuration("Claim.Batch", s.Claim.Batch, time.Millisecond, time.Second)
	c.checkDuration("Stale", s.Stale, max(time.Second, ttl), 10*time.Minute)
	c.checkDuration("Stop.Grace", s.Stop.Grace, time.Second, 24*time.Hour)
	c.checkDuration("Stop.Linger", s.Stop.Linger, 0, time.Hour)
}

func (s Settings) checkLimits(c *checker) {
	checkRange(c, "Limits.BodyBytes", s.Limits.BodyBytes, kibibyte, gibibyte)
	checkRange(c, "Limits.Requests", s.Limits.Requests, 1, 1_000_000)
	checkRange(c, "Limits.Connections", s.Limits.Connections, 1, 1_000_000)
	c.checkDuration("Limits.Idle", s.Limits.Idle, time.Second, time.Hour)
	c.checkDuration("Limits.Silence", s.Limits.Silence, 50*time.Millisecond, 10*time.Minute)
}

func (s Settings) checkPolicy(c *checker) {
	for name, choice := range s.Policy.Each {
		if *choice != Chosen && *choice != Baseline {
			c.add("Policy."+name, "must be %s or %s, not %q", Chosen, Baseline, string(*choice))
		}
	}
}
