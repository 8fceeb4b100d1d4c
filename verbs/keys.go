package verbs

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"currantwick"
	"currantwick/certs"

	"github.com/spf13/pflag"
)

var keysVerb = verb{
	name:  "keys",
	short: "create the certificates for mutual TLS between daemons",
	example: `currantwick keys -dir keys -hosts h1,h2,h3
  currantwick keys -dir keys -hosts h4            (another host)
  currantwick keys -dir keys -rotate              (add a new authority, keep the old one)
  currantwick keys -dir keys -retire              (drop the old authorities)`,
	define: defineKeys,
}

// Modes of the directory and files that keys writes.
const (
	dirMode    = 0o700
	secretMode = 0o600
	publicMode = 0o644
)

// keyDir is the directory of the certificate authority. ca.pem holds the CA
// certificates that daemons trust, newest first, and ca.key the private key of
// the newest.
type keyDir struct {
	path string
	cfg  certs.Config
}

func defineKeys(flags *pflag.FlagSet) action {
	dir := flags.String("dir", "keys", "`directory` of the certificate authority and the certificates")
	hosts := flags.String("hosts", "", "comma-separated `names` of hosts to create certificates for")
	life := flags.Duration("life", 365*24*time.Hour, "validity period of new certificates")
	rotate := flags.Bool("rotate", false, "create a new authority and keep trusting the old ones")
	retire := flags.Bool("retire", false, "stop trusting all authorities but the newest")
	return func(_ context.Context, env Env, _ []string) (Code, error) {
		if *life <= 0 || *rotate && *retire {
			return Usage, errors.New("-life must be positive, and only one of -rotate and -retire set")
		}
		if *hosts == "" && !*rotate && !*retire {
			return Usage, errors.New("one of -hosts, -rotate and -retire must be set")
		}
		k := keyDir{*dir, certs.Config{Life: *life}}
		if err := k.run(env, *hosts, *rotate, *retire); err != nil {
			return Failed, err
		}
		return Done, nil
	}
}

func (k keyDir) run(env Env, hosts string, rotate, retire bool) error {
	if err := os.MkdirAll(k.path, dirMode); err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	authority, err := k.authority(env, rotate)
	if err != nil {
		return err
	}
	if retire {
		if err := k.write(env, "ca.pem", authority.PEM().Cert, publicMode); err != nil {
			return err
		}
	}
	if hosts == "" {
		return nil
	}
	for host := range strings.SplitSeq(hosts, ",") {
		if err := k.issue(env, authority, wick.HostName(host)); err != nil {
			return err
		}
	}
	return nil
}

// authority loads the certificate authority. It creates a new one if there is
// none or if fresh is set.
func (k keyDir) authority(env Env, fresh bool) (*certs.Authority, error) {
	old, err := os.ReadFile(filepath.Join(k.path, "ca.pem"))
	switch {
	case errors.Is(err, fs.ErrNotExist):
		fresh = true
	case err != nil:
		return nil, fmt.Errorf("read authority: %w", err)
	}
	if !fresh {
		key, err := os.ReadFile(filepath.Join(k.path, "ca.key"))
		if err != nil {
			return nil, fmt.Errorf("read authority: %w", err)
		}
		return certs.LoadAuthority(certs.PEM{Cert: old, Key: key})
	}
	a, err := certs.NewAuthority(k.cfg)
	if err != nil {
		return nil, fmt.Errorf("new authority: %w", err)
	}
	if err := k.write(env, "ca.key", a.PEM().Key, secretMode); err != nil {
		return nil, err
	}
	return a, k.write(env, "ca.pem", bytes.Join([][]byte{a.PEM().Cert, old}, nil), publicMode)
}

func (k keyDir) issue(env Env, a *certs.Authority, host wick.HostName) error {
	p, err := a.Issue(k.cfg, host)
	if err != nil {
		return fmt.Errorf("host %s: %w", host, err)
	}
	if err := k.write(env, string(host)+".key", p.Key, secretMode); err != nil {
		return err
	}
	return k.write(env, string(host)+".pem", p.Cert, publicMode)
}

// write replaces a file atomically, so that no daemon reads a partial file.
func (k keyDir) write(env Env, name string, data []byte, mode fs.FileMode) error {
	file := filepath.Join(k.path, name)
	if err := os.WriteFile(file+".new", data, mode); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := os.Rename(file+".new", file); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	fmt.Fprintln(env.Out, file)
	return nil
}
