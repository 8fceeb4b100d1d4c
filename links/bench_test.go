package links

import (
	"testing"

	"currantwick"
)

// BenchmarkEncode encodes a small update, as holders send ten times a second, and
// a configuration of many routes.
func BenchmarkEncode(b *testing.B) {
	for _, test := range []struct {
		name   string
		update *wick.HolderUpdate
	}{{"small", manyRoutes(2)}, {"large", manyRoutes(1400)}} {
		b.Run(test.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := encode(wick.LinkMessage{Update: test.update}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
