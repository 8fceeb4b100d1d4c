package direct_test

import (
	"testing"

	"currantwick"
)

// The limit of connections to an endpoint is that of all daemons together.
func TestMaxConnections(t *testing.T) {
	tests := []struct {
		name           string
		limit, daemons int
		want           int
	}{
		{"no limit", 0, 60, 0},
		{"a part for each daemon", 420, 60, 7},
		{"few daemons", 630, 7, 90},
		{"unknown number of daemons", 410, 0, 410},
		{"more daemons than connections", 200, 300, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := view(route(wick.KindSafe, "plain", 1, false))
			v.Daemons = test.daemons
			v.ServingConfig.Pools["plain"] = wick.PoolConfig{Name: "plain", ConnectionLimit: test.limit}
			send := &sender{replies: []reply{{status: 200, body: "hi"}}}
			if err := server(t, &control{view: v}, send, budget(t, 1000)).Forward(t.Context(), &wick.Exchange{Request: "q", Host: "h", Path: "/x"}, &writer{}); err != nil {
				t.Fatal(err)
			}
			if got := send.sent[0].MaxConnections; got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}
