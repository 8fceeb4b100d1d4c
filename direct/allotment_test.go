package direct_test

import (
	"log/slog"
	"testing"
	"time"

	"currantwick"
	"currantwick/direct"
	"currantwick/fakes"
	"currantwick/tally"
)

// teamShares implements wick.TeamShares with a fixed verdict.
type teamShares struct {
	verdict      wick.AllotmentVerdict
	taken, given []wick.Units
}

func (s *teamShares) Take(_ wick.Context, _ wick.TeamName, _ wick.Allotment, units wick.Units) wick.AllotmentVerdict {
	s.taken = append(s.taken, units)
	return s.verdict
}

func (s *teamShares) Give(_ wick.TeamName, units wick.Units, _ wick.Instant) {
	s.given = append(s.given, units)
}

func (s *teamShares) State() []wick.TeamShareState { return nil }

// A request that was sent again counted twice, and one that did not run counted at all.
func TestAllotments(t *testing.T) {
	key := wick.KeyHash{1}
	tokens := wick.Allotment{Unit: wick.UnitTokens, Rate: 1000, Burst: 1000, DefaultTokens: 40}
	exceeded := wick.AllotmentVerdict{Result: wick.UnitsExceeded, RetryAfter: wick.Duration(time.Second), Notable: true}
	unknown := wick.AllotmentVerdict{Result: wick.UnitsUnknown, RetryAfter: wick.Duration(time.Second)}
	refused := reply{status: 503, notRun: true}
	tests := []struct {
		name      string
		allotment wick.Allotment
		anonymous bool
		prompt    wick.Tokens
		verdict   wick.AllotmentVerdict
		replies   []reply
		// code is that of the result, taken the units that were taken, 0 for none, and
		// given whether they were given back.
		code  wick.Code
		taken wick.Units
		given bool
	}{
		{"answered", tokens, false, 600, wick.AllotmentVerdict{}, []reply{{status: 200}}, "", 650, false},
		{"no token counts", tokens, false, 0, wick.AllotmentVerdict{}, []reply{{status: 200}}, "", 40, false},
		{"requests", wick.Allotment{Rate: 5}, false, 600, wick.AllotmentVerdict{}, []reply{{status: 200}}, "", 1, false},
		{"no limit", wick.Allotment{}, false, 600, exceeded, []reply{{status: 200}}, "", 0, false},
		{"no team", tokens, true, 600, exceeded, []reply{{status: 200}}, "", 0, false},
		{"over the limit", tokens, false, 600, exceeded, nil, wick.CodeAllotment, 650, false},
		{"no answer of the holder", tokens, false, 600, unknown, nil, wick.CodeOverload, 650, false},
		{"sent again", tokens, false, 600, wick.AllotmentVerdict{}, []reply{refused, {status: 200}}, "", 650, false},
		{"not run", tokens, false, 600, wick.AllotmentVerdict{}, []reply{refused, refused, refused, refused}, wick.CodeOverload, 650, true},
		{"may have run", tokens, false, 600, wick.AllotmentVerdict{}, []reply{{err: wick.Unknownf(wick.CodeBroken, "cut")}}, wick.CodeBroken, 650, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := route(wick.KindUnsafe, "plain", 1, false)
			r.AllowAnonymous = true
			c := &control{view: view(r)}
			c.view.ServingConfig.Teams = &wick.Teams{ByKey: map[wick.KeyHash]*wick.Team{key: {Name: "t", Allotment: test.allotment}}}
			shares, send := &teamShares{verdict: test.verdict}, &sender{replies: test.replies}
			s := direct.New(direct.Config{
				Domain: "d", Control: c, Sender: send, Clock: clock{time.Now()}, Retry: budget(t, 2), Shares: shares,
				Log: slog.New(slog.DiscardHandler), Observer: fakes.GatewayObserver{}, Pauses: new(tally.Pauses), AnsweredParts: new(tally.Parts),
			})
			x := &wick.Exchange{Request: "q", Host: "h", Path: "/x", PromptTokens: test.prompt, TimeLeft: wick.Duration(5 * time.Second)}
			if test.prompt > 0 {
				x.OutputTokens = 50
			}
			if !test.anonymous {
				x.Credential = wick.Credential{Given: true, Valid: true, Key: key}
			}
			err := s.Forward(t.Context(), x, &writer{})
			code := wick.Code("")
			if err != nil {
				code = wick.AsError(err).Code
			}
			if code != test.code {
				t.Fatalf("got %v, want %q", err, test.code)
			}
			if refusal := test.verdict.Result != wick.UnitsTaken && test.taken > 0; refusal {
				e := wick.AsError(err)
				if e.Outcome != wick.NotRun || len(send.sent) > 0 || e.RetryAfter < test.verdict.RetryAfter || e.RetryAfter > 2*test.verdict.RetryAfter {
					t.Errorf("got %v, retry after %v, %d sends", e, e.RetryAfter, len(send.sent))
				}
			}
			if n := len(shares.taken); n > 1 || (n == 1) != (test.taken > 0) || n == 1 && shares.taken[0] != test.taken {
				t.Errorf("took %v, want %d once", shares.taken, test.taken)
			}
			if (len(shares.given) == 1) != test.given || test.given && shares.given[0] != test.taken {
				t.Errorf("gave back %v, want it: %v", shares.given, test.given)
			}
		})
	}
}
