package verbs

import (
	"fmt"
	"testing"
)

// Limits out of range, such as a percentage given as a ratio, must not start a daemon.
func TestParseHedgeLimits(t *testing.T) {
	tests := []struct {
		ratios     string
		percentile float64
		want       string // empty if it is refused
	}{
		{"0", 95, "{0 map[] 0.95}"},
		{"0.05", 0.9, "{0.05 map[] 0.9}"},
		{"0.05,a=0.1, b=c=0", 99.5, "{0.05 map[a:0.1 b=c:0] 0.995}"},
		{"5", 95, ""},
		{"-0.1", 95, ""},
		{"NaN", 95, ""},
		{"0.05,a=2", 95, ""},
		{"a=0.1", 95, ""},
		{"0.05,0.1", 95, ""},
		{"", 95, ""},
		{"0.05", 0, ""},
		{"0.05", 1, ""},
		{"0.05", 100, ""},
	}
	for _, test := range tests {
		got, err := parseHedgeLimits(test.ratios, test.percentile)
		if s := fmt.Sprint(got); (err == nil) != (test.want != "") || err == nil && s != test.want {
			t.Errorf("%q, %v: got %s, %v; want %q", test.ratios, test.percentile, s, err, test.want)
		}
	}
}
