package lease

import (
	"fmt"
	"testing"

	"currantwick"
)

// bigView returns a view of n members in 18 failure domains.
func bigView(n int, number wick.ViewNumber) wick.View {
	v := wick.View{Number: number, Terms: Config{}.withDefaults().terms()}
	for i := range n {
		a := wick.Address(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250))
		v.Members = append(v.Members, wick.Member{
			Host: wick.HostName(fmt.Sprintf("h%04d", i)), Incarnation: wick.Incarnation(i + 1),
			Domain: wick.Domain(fmt.Sprint("d", i%18)), Peer: a, Entry: a,
		})
	}
	return v
}

func BenchmarkChange(b *testing.B) {
	for _, n := range []int{7, 60, 920} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := bigView(n, 1)
			k := New(Config{Self: v.Members[0]})
			k.OnState(1, wick.ViewState{AsOf: 1, View: v})
			for i := 0; b.Loop(); i++ {
				next := bigView(n, wick.ViewNumber(i+2))
				next.Members = next.Members[:n-1-i%2]
				k.OnState(1, wick.ViewState{AsOf: wick.Offset(i + 2), View: next, Open: []wick.View{v}})
			}
		})
	}
}

func BenchmarkAck(b *testing.B) {
	for _, n := range []int{7, 60, 920} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, next := bigView(n, 1), bigView(n, 2)
			next.Members = next.Members[:n-1]
			k := New(Config{Self: v.Members[0]})
			k.OnState(1, wick.ViewState{AsOf: 2, View: next, Open: []wick.View{v}})
			for i := 0; b.Loop(); i++ {
				m := next.Members[i%(n-2)+1]
				k.OnAck(1, 1, wick.RenewalAck{
					From: m.Host, Incarnation: m.Incarnation, Sequence: wick.Sequence(i), View: 2, Vouched: 2,
				})
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{7, 60, 920} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := bigView(n, 1)
			k := New(Config{Self: v.Members[0]})
			k.OnState(1, wick.ViewState{AsOf: 1, View: v})
			for i := 0; b.Loop(); i++ {
				k.Tick(wick.Instant(i) * 1e8)
			}
		})
	}
}

func BenchmarkMayAct(b *testing.B) {
	v, next := bigView(920, 1), bigView(920, 2)
	next.Members = next.Members[1:]
	k := New(Config{Self: v.Members[1]})
	k.OnState(1, wick.ViewState{AsOf: 2, View: next, Open: []wick.View{v}})
	for i := 0; b.Loop(); i++ {
		k.MayAct(1, Key(fmt.Sprint(i)))
	}
}
