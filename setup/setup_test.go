package setup

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validSettings = `{
	"Host": "h1", "Domain": "addis-a",
	"Entry": {"Address": "127.0.0.1:7000"},
	"Peer": {"Address": "127.0.0.1:7001"},
	"Admin": {"Address": "127.0.0.1:7002", "Token": "0123456789abcdef"},
	"Peers": ["127.0.0.1:7011"],
	"Log": {"Address": "127.0.0.1:7100"},
	"Keys": {"CA": "ca.pem", "Cert": "h1.pem", "Key": "h1.key"}
}`

func TestParse(t *testing.T) {
	tests := []struct {
		name string
		old  string // text in validSettings that new replaces
		new  string
		want []string // lines of the error, without its prefix
	}{
		{"valid", "", "", nil},
		{"unknown field", `"Peers":`, `"Pears": 1, "Peers":`, []string{"Pears: unknown field"}},
		{"unknown nested field", `"CA":`, `"Ca": "x", "CA":`, []string{"Keys.Ca: unknown field"}},
		{"duration without unit", `"Log": {`, `"Log": {"Retention": "24", `, []string{
			`Log.Retention: duration "24": want a number with a unit, such as 250ms`,
		}},
		{"invalid host", `"h1"`, `"h 1"`, []string{`Host: host: "h 1" holds ' '`}},
		{"empty domain", `"addis-a"`, `""`, []string{"Domain: failure domain: must not be empty"}},
		{"host name as address", "127.0.0.1:7000", "localhost:7000", []string{`Entry.Address: address "localhost:7000": want IP:port`}},
		{"unspecified address", "127.0.0.1:7001", "0.0.0.0:7001", []string{
			"Peer.Address: 0.0.0.0:7001 is handed to others, so it must name one IP address and port",
		}},
		{"same address", "127.0.0.1:7002", "127.0.0.1:7000", []string{"Admin.Address: must differ from Entry.Address"}},
		{"short token", "0123456789abcdef", "secret", []string{"Admin.Token: must have 16 to 512 bytes, not 6"}},
		{"token and token file", `"Token":`, `"TokenFile": "x", "Token":`, []string{"Admin.Token, Admin.TokenFile: exactly one must be set"}},
		{"no key file", `"h1.key"`, `""`, []string{"Keys.Key: must name a file"}},
		{"certificate without key", `7000"`, `7000", "TLS": {"Cert": "x"}`, []string{"Entry.TLS.Key: must name a file"}},
		{"several errors", `"Peers":`, `"Lease": {"TTL": "1s", "Renew": "900ms", "Suspect": "1s", "Drift": "2s"}, "Stale": "500ms",
			"Claim": {"Life": "100h"}, "Limits": {"BodyBytes": 1}, "Policy": {"Hedge": "Best"}, "Peers":`, []string{
			"Lease.Renew: must be 10ms to 333.333333ms, not 900ms",
			"Lease.Suspect: must be 1.8s to 1m0s, not 1s",
			"Lease.Drift: must be 10ms to 1s, not 2s",
			"Claim.Life: must be 1s to 84h0m0s, not 100h0m0s",
			"Stale: must be 1s to 10m0s, not 500ms",
			"Limits.BodyBytes: must be 1024 to 1073741824, not 1",
			`Policy.Hedge: must be Chosen or Baseline, not "Best"`,
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(validSettings, test.old, test.new, 1)))
			got := ""
			if err != nil {
				_, got, _ = strings.Cut(err.Error(), " settings: ")
			}
			if want := strings.Join(test.want, "\n"); got != want {
				t.Errorf("got\n%s\nwant\n%s", got, want)
			}
		})
	}
}

// TestSettingsRoundTrip checks that settings that state only the fields without a
// default take the others from Default, also after a round trip through JSON.
func TestSettingsRoundTrip(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := Parse(data); err != nil || again.Lease != Default().Lease {
		t.Errorf("settings after a round trip through JSON: %+v, %v", again, err)
	}
}

func TestSecret(t *testing.T) {
	file := filepath.Join(t.TempDir(), "token")
	tests := []struct {
		name string
		in   string
		want Token
	}{
		{"valid", "0123456789abcdef\n", "0123456789abcdef"},
		{"short", "x\n", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if err := os.WriteFile(file, []byte(test.in), 0o600); err != nil {
				t.Fatal(err)
			}
			if got, err := (Admin{TokenFile: file}).Secret(); got != test.want || (err == nil) != (test.want != "") {
				t.Errorf("got %q, %v", string(got), err)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"Peers":[1],"Lease":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err == nil && s.Check() != nil {
			t.Error("Parse accepted settings that fail Check")
		}
	})
}
