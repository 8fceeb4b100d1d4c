package direct_test

import (
	"testing"
	"time"

	"currantwick"
)

// Endpoints got the caller's key, and a request with a key that no configuration has
// was run. A daemon that may lack the newest configuration must not answer 401, which
// callers do not repeat.
func TestAccessKeys(t *testing.T) {
	key, other := wick.KeyHash{1}, wick.KeyHash{9}
	priority := 1
	teams := &wick.Teams{ByKey: map[wick.KeyHash]*wick.Team{key: {Name: "t", Priority: &priority}}}
	given := func(k wick.KeyHash) wick.Credential {
		return wick.Credential{Given: true, Valid: true, Key: k, Fields: []wick.HeaderField{{Name: "Authorization", Value: "Bearer x"}}}
	}
	malformed := wick.Credential{Given: true}
	const current, old = time.Second, 4 * time.Second
	tests := []struct {
		name       string
		teams      *wick.Teams
		anonymous  bool
		credential wick.Credential
		// age is that of the configuration, and revocation the time after which an
		// older one must not be relied on for keys; 0 for none.
		age, revocation time.Duration
		code            wick.Code
		team            wick.TeamName
		urgency         wick.Urgency
		forwarded       bool
	}{
		{"no teams", nil, false, given(other), current, 0, "", "", 5, true},
		{"known key", teams, false, given(key), current, 0, "", "t", 4, false},
		{"unknown key", teams, false, given(other), current, 0, wick.CodeUnauthorized, "", 0, false},
		{"no key", teams, false, wick.Credential{}, current, 0, wick.CodeUnauthorized, "", 0, false},
		{"malformed key", teams, false, malformed, current, 0, wick.CodeUnauthorized, "", 0, false},
		{"no key where none is needed", teams, true, wick.Credential{}, current, 0, "", "", 5, false},
		{"known key where none is needed", teams, true, given(key), current, 0, "", "t", 4, false},
		{"unknown key where none is needed", teams, true, given(other), current, 0, wick.CodeUnauthorized, "", 0, false},
		{"malformed key where none is needed", teams, true, malformed, current, 0, wick.CodeUnauthorized, "", 0, false},
		{"known key, old configuration", teams, false, given(key), old, 0, "", "t", 4, false},
		{"unknown key, old configuration", teams, false, given(other), old, 0, wick.CodeStale, "", 0, false},
		{"no key, old configuration", teams, false, wick.Credential{}, old, 0, wick.CodeUnauthorized, "", 0, false},
		{"known key, enforced revocation", teams, false, given(key), current, 2 * time.Second, "", "t", 4, false},
		{"known key, enforced revocation, old configuration", teams, false, given(key), old, 2 * time.Second, wick.CodeStale, "", 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := route(wick.KindUnsafe, "plain", 1, false)
			r.AllowAnonymous, r.Priority = test.anonymous, 2
			c := &control{view: view(r)}
			c.view.ServingConfig.Teams = test.teams
			send := &sender{replies: []reply{{status: 200}}}
			start := clock{time.Now().Add(-time.Minute)}
			c.view.ConfigCurrentAt = start.Now().Add(-test.age)
			s := serverAt(t, c, send, budget(t, 1000), start, wick.Bounds{
				ChangeDeadline: wick.Duration(3 * time.Second), RevocationDeadline: wick.Duration(test.revocation),
			})
			x := &wick.Exchange{Request: "q", Host: "h", Path: "/x", Credential: test.credential}
			err := s.Forward(t.Context(), x, &writer{})
			if test.code != "" {
				e := wick.AsError(err)
				if e.Code != test.code || e.Outcome != wick.NotRun || len(send.sent) > 0 || e.Code == wick.CodeStale && e.RetryAfter <= 0 {
					t.Fatalf("got %v, retry after %v, %d sends; want %s, not run and not sent", e, e.RetryAfter, len(send.sent), test.code)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			a := send.sent[0]
			if a.Team != test.team || a.Urgency != test.urgency || a.ForwardCredential != test.forwarded {
				t.Errorf("sent for %q with urgency %d, key forwarded %v; want %q, %d, %v", a.Team, a.Urgency, a.ForwardCredential, test.team, test.urgency, test.forwarded)
			}
		})
	}
}
