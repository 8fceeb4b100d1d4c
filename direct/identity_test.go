package direct

import (
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
