package route

import "currantwick"

// OwnerRule returns the owner of an endpoint among the members of a view. It
// must be a rendezvous hash: the owner among many is the owner among any of
// them that it is one of.
type OwnerRule func(wick.View, wick.EndpointName) (wick.Member, bool)

// Own says which daemon dispatches for an endpoint.
func (b *Builder) Own(name wick.EndpointName, owner wick.HostName, peer wick.Address) {
	i, ok := b.index[name]
	if !ok {
		return
	}
	n := b.table.nodes.at(int(i))
	if n.owner == owner && n.peer == peer {
		return
	}
	n = b.table.nodes.edit(int(i), b.epoch)
	n.owner, n.peer = owner, peer
}

// View says which daemons there are, and finds the owners anew. By a rendezvous
// hash an endpoint moves only away from a member that left or to one that came,
// so no other pair of endpoint and member is looked at.
func (b *Builder) View(v wick.View, rule OwnerRule) {
	came := arrived(b.view, v)
	for name, i := range b.index {
		owner := b.table.nodes.at(int(i)).owner
		m, ok := v.Member(owner)
		switch {
		case owner == "" || !ok:
			m, _ = rule(v, name)
		case len(came) > 0:
			among := append(came[:len(came):len(came)], m)
			m, _ = rule(wick.View{Number: v.Number, Members: among}, name)
		}
		b.Own(name, m.Host, m.Peer)
	}
	b.view = v
}

// arrived returns the members of next on hosts that were not in last.
func arrived(last, next wick.View) []wick.Member {
	var out []wick.Member
	for _, m := range next.Members {
		if _, ok := last.Member(m.Host); !ok {
			out = append(out, m)
		}
	}
	return out
}
