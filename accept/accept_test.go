package accept

import (
	"net/netip"
	"testing"
	"time"
)

// Ordinary callers were closed in place of those that fill a listener.
func TestLeastImportant(t *testing.T) {
	const now = int64(time.Minute)
	type conn struct {
		phase phase
		// remote is the last byte of the address; age and blocked are durations.
		remote       byte
		age, blocked time.Duration
	}
	tests := []struct {
		name  string
		conns []conn
		want  int
	}{
		{"none", nil, -1},
		{"only requests", []conn{{serving, 1, time.Second, 0}, {serving, 1, 5 * time.Second, 0}}, -1},
		{"the oldest that carried nothing", []conn{{waiting, 1, time.Second, 0}, {waiting, 2, 2 * time.Second, 0}}, 1},
		{"an incomplete head before an idle connection", []conn{{idle, 1, 9 * time.Second, 0}, {inHead, 2, time.Second, 0}}, 1},
		{"an idle connection before an unread answer", []conn{{serving, 1, 9 * time.Second, 5 * time.Second}, {idle, 2, time.Second, 0}}, 1},
		{"an unread answer before a request", []conn{{serving, 1, 9 * time.Second, 0}, {serving, 2, 3 * time.Second, 2 * time.Second}}, 1},
		{"a write that has just begun", []conn{{serving, 1, 9 * time.Second, blockedTime / 2}}, -1},
		{"the address with the most", []conn{{waiting, 1, 3 * time.Second, 0}, {waiting, 2, 2 * time.Second, 0}, {waiting, 2, time.Second, 0}}, 1},
		{"of many requests only the idle count", []conn{{waiting, 1, 3 * time.Second, 0}, {serving, 2, time.Second, 0}, {waiting, 2, 2 * time.Second, 0}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			list, set := make([]*Conn, len(test.conns)), make(map[*Conn]struct{})
			for i, c := range test.conns {
				list[i] = &Conn{remote: netip.AddrFrom4([4]byte{10, 0, 0, c.remote})}
				list[i].phase.Store(int32(c.phase))
				list[i].since.Store(now - int64(c.age))
				if c.blocked > 0 {
					list[i].blocked.Store(now - int64(c.blocked))
				}
				set[list[i]] = struct{}{}
			}
			got := -1
			for i, c := range list {
				if c == leastImportant(set, now) {
					got = i
				}
			}
			if got != test.want {
				t.Errorf("got connection %d, want %d", got, test.want)
			}
		})
	}
}

// The memory of heads went to the caller that wanted most.
func TestLargestHead(t *testing.T) {
	type conn struct {
		phase  phase
		remote byte
		taken  int64
	}
	tests := []struct {
		name  string
		conns []conn
		want  int
	}{
		{"none takes any", []conn{{inHead, 1, 0}}, -1},
		{"a complete head", []conn{{serving, 1, 9}}, -1},
		{"the largest", []conn{{inHead, 1, 5}, {inHead, 2, 9}}, 1},
		{"the largest address", []conn{{inHead, 1, 9}, {inHead, 2, 6}, {inHead, 2, 5}}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			list, set := make([]*Conn, len(test.conns)), make(map[*Conn]struct{})
			for i, c := range test.conns {
				list[i] = &Conn{remote: netip.AddrFrom4([4]byte{10, 0, 0, c.remote})}
				list[i].phase.Store(int32(c.phase))
				list[i].taken.Store(c.taken)
				set[list[i]] = struct{}{}
			}
			got := -1
			for i, c := range list {
				if c == largestHead(set) {
					got = i
				}
			}
			if got != test.want {
				t.Errorf("got connection %d, want %d", got, test.want)
			}
		})
	}
}
