package relay

import (
	"net/netip"

	"mangowinch/internal/ctrl/digest"
	"mangowinch/internal/ctrl/peers"
	"mangowinch/internal/ctrl/wire"
	"mangowinch/internal/flow/order"
)

// memberFromWire decodes a member. It returns false if the member has no usable name, address or domain.
func memberFromWire(w *wire.Member) (peers.Member, bool) {
	address, err := netip.ParseAddrPort(w.GetAddress())
	if err != nil || w.GetName() == "" || len(w.GetName()) > 64 || len(w.GetDomain()) > 64 {
		return peers.Member{}, false
	}
	return peers.Member{
		Name: w.GetName(), Role: peers.Role(w.GetRole()), Domain: w.GetDomain(), Address: address,
		Incarnation: w.GetIncarnation(), State: peers.State(w.GetState()),
	}, true
}

func memberToWire(m peers.Member) *wire.Member {
	return &wire.Member{
		Name: m.Name, Role: string(m.Role), Domain: m.Domain, Address: m.Address.String(),
		Incarnation: m.Incarnation, State: string(m.State),
	}
}

func itemFromWire(w *wire.Item) digest.Item {
	return digest.Item{Name: w.GetName(), Revision: order.Revision(w.GetRevision()), Newest: order.Revision(max(w.GetNewest(), w.GetRevision()))}
}

func itemToWire(i digest.Item) *wire.Item {
	return &wire.Item{Name: i.Name, Revision: uint64(i.Revision), Newest: uint64(i.Newest)}
}
