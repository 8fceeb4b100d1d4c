package config

import (
	"encoding/json"
	"reflect"
	"testing"

	"currantwick"
)

// FuzzApply applies arbitrary entries that can be decoded, and checks that the
// offset never goes back and that the state can be restored from its own
// checkpoint.
func FuzzApply(f *testing.F) {
	for _, c := range []wick.Change{change(smallConfig()), change(wick.Objects{}, key(wick.KindRoute, "notice"))} {
		data, err := json.Marshal([]wick.Entry{entry(2, c)})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`[{"Offset":9,"Record":{"Checkpoint":{"AsOf":8,"Part":1,"Parts":2}}},{"Offset":3,"Bad":true}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var list []wick.Entry
		if json.Unmarshal(data, &list) != nil {
			return
		}
		s := newSmallState(t)
		last := s.Offset()
		for _, e := range list {
			s.Apply(e)
			if s.Offset() < last {
				t.Fatalf("went from offset %d to %d", last, s.Offset())
			}
			last = s.Offset()
		}
		want := s.Checkpoint()
		again := New()
		if err := again.Restore(Join(Split(want))); err != nil {
			t.Fatalf("own checkpoint: %v", err)
		}
		if got := again.Checkpoint(); !reflect.DeepEqual(got, want) {
			t.Errorf("read back as %+v, want %+v", got, want)
		}
	})
}
