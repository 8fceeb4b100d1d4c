package hosts

import (
	"context"
	"testing"
	"time"

	"currantwick"
	"currantwick/fakes"
)

func TestListLags(t *testing.T) {
	h, err := fakes.StartHosts(fakes.HostsConfig{
		Address: "127.0.0.1:0",
		Lag:     wick.Duration(200 * time.Millisecond),
		Hosts:   []wick.HostStatus{{Host: "a", State: wick.HostLive}, {Host: "b", State: wick.HostLive}},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	c := New(Config{Address: h.Address()})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	start := time.Now()
	h.Control(fakes.HostsControl{
		Set:    []wick.HostStatus{{Host: "a", State: wick.HostLeaving}},
		Remove: []wick.HostName{"b"},
	})
	for {
		list, err := c.List(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if len(list) == 1 && list[0].State == wick.HostLeaving {
			break
		}
		if len(list) != 2 {
			t.Fatalf("got %+v", list)
		}
	}
	if d := time.Since(start); d < 190*time.Millisecond {
		t.Errorf("list changed after %v, want at least 190ms", d)
	}
}

func TestDecodeList(t *testing.T) {
	tests := []struct {
		in   string
		want int // -1 for an error
	}{
		{`[]`, 0},
		{`[{"Host":"a","State":"Live"},{"Host":"b","State":"Leaving"}]`, 2},
		{`[{"Host":"a","State":"Gone"}]`, -1},
		{`{}`, -1},
		{``, -1},
	}
	for _, test := range tests {
		list, err := decodeList([]byte(test.in))
		if err != nil != (test.want < 0) || err == nil && len(list) != test.want {
			t.Errorf("%s: got %+v, %v", test.in, list, err)
		}
	}
}
