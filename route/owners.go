package route

import "currantwick"

// OwnerRule returns the owner of an endpoint among the members of a view. It
// must be a rendezvous hash: the owner among a set of members is also the owner
// among any subset that contains it.
type OwnerRule func(wick.View, wick.EndpointName) (wick.Member, bool)

// SetOwner sets the daemon that dispatches for an endpoint.
func (b *Builder) SetOwner(name wick.EndpointName, owner wick.HostName, peer wick.Address) {
	i, ok := b.index[name]
	if !ok {
		return
	}
	n := b.table.endpoints.at(int(i))
	if n.owner == owner && n.peer == peer {
		return
	}
	n = b.table.endpoints.edit(int(i), b.epoch)
	n.owner, n.peer = owner, peer
}

// View sets the current view and updates the owner of every endpoint. Under a
// rendezvous hash an endpoint moves only away from a member that left or to one
// that joined, so no other pair of endpoint and member is hashed.
func (b *Builder) View(v wick.View, rule OwnerRule) {
	added := addedMembers(b.lastView, v)
	for name, i := range b.index {
		owner := b.table.endpoints.at(int(i)).owner
		m, ok := v.Member(owner)
		switch {
		case owner == "" || !ok:
			m, _ = rule(v, name)
		case len(added) > 0:
			candidates := append(added[:len(added):len(added)], m)
			m, _ = rule(wick.View{Number: v.Number, Members: candidates}, name)
		}
		b.SetOwner(name, m.Host, m.Peer)
	}
	b.lastView = v
}

// addedMembers returns the members of next whose hosts are not in last.
func addedMembers(last, next wick.View) []wick.Member {
	var out []wick.Member
	for _, m := range next.Members {
		if _, ok := last.Member(m.Host); !ok {
			out = append(out, m)
		}
	}
	return out
}
