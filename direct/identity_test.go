package direct

import (
	"fmt"
	"testing"

	"currantwick"
)

func TestFingerprint(t *testing.T) {
	base := wick.Exchange{Request: "1", Method: "POST", Host: "h", Target: "/a/b", Model: "m", Adapter: "x", Body: []byte("body")}
	tests := []struct {
		name   string
		change func(x *wick.Exchange)
		same   bool
	}{
		{"another attempt", func(x *wick.Exchange) { x.Request = "2" }, true},
		{"less time left", func(x *wick.Exchange) { x.TimeLeft = 5 }, true},
		{"another body", func(x *wick.Exchange) { x.Body = []byte("bodz") }, false},
		{"another adapter", func(x *wick.Exchange) { x.Adapter = "y" }, false},
		{"another path", func(x *wick.Exchange) { x.Target = "/a/c" }, false},
		{"a byte moved to the next field", func(x *wick.Exchange) { x.Model, x.Adapter = "mx", "" }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			changed := base
			test.change(&changed)
			if got := fingerprintOf(&changed) == fingerprintOf(&base); got != test.same {
				t.Errorf("same fingerprint: %v, want %v", got, test.same)
			}
		})
	}
}

func TestPartFingerprints(t *testing.T) {
	part := func(ids ...wick.PartID) []wick.PromptPart {
		var list []wick.PromptPart
		for _, id := range ids {
			list = append(list, wick.PromptPart{ID: id, Tokens: 10})
		}
		return list
	}
	var many []wick.PartID
	for n := range 100 {
		many = append(many, wick.PartID(fmt.Sprint(n)))
	}
	tests := []struct {
		name  string
		parts []wick.PromptPart
		want  int
	}{
		{"no prompt", nil, 0},
		{"only a part of its own", part("a"), 0},
		{"a shared part and its own", part("a", "b"), 1},
		{"a part twice", part("a", "a", "b"), 1},
		{"a hostile prompt", part(many...), maxSharedParts},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := partFingerprints(test.parts)
			if len(got) != test.want || test.want > 0 && got[0] != partFingerprint(test.parts[0].ID) {
				t.Errorf("got %v, want %d", got, test.want)
			}
		})
	}
}
