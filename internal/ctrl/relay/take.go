package relay

import (
	"net/netip"

	"mangowinch/internal/conf/store"
	"mangowinch/internal/ctrl/digest"
	"mangowinch/internal/ctrl/wire"
	"mangowinch/internal/flow/order"
)

// taken is what became of one piece of a text.
type taken int

const (
	nothing taken = iota // none came, or one that doesn't fit
	forward              // this process has more than before
	useless              // the text is whole, and yet this process has no more than before
)

// take adds a piece to what came of its text, and offers the text once it is whole.
func (n *Node) take(p *wire.Part, link netip.AddrPort) taken {
	text, whole, ok := n.join(p)
	switch {
	case !ok:
		return nothing
	case !whole:
		return forward
	}
	before := digest.ItemOf(n.Store.View(), p.GetName())
	revision := order.Revision(p.GetRevision())
	accepted, err := n.Store.Offer(p.GetName(), revision, text, link.String())
	if err != nil {
		n.Log.Warn().Err(err).Msg("document is faulty")
	}
	if accepted {
		n.Log.Info().Str("document", p.GetName()).Stringer("revision", revision).Stringer("from", link).Msg("document taken")
	}
	if digest.ItemOf(n.Store.View(), p.GetName()) == before {
		return useless
	}
	return forward
}

// join adds a piece to the text that it belongs to.
func (n *Node) join(p *wire.Part) (text []byte, whole, ok bool) {
	if p.GetSize() > store.MaxText || p.GetOffset()+uint64(len(p.GetData())) > p.GetSize() {
		refused("part")
		return nil, false, false
	}
	if p.GetOffset() == 0 && uint64(len(p.GetData())) == p.GetSize() {
		return p.GetData(), true, true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	q := n.pull.partials[p.GetName()]
	if p.GetOffset() == 0 && (q == nil || q.revision < p.GetRevision()) {
		if q == nil && (len(n.pull.partials)+1)*store.MaxText > maxPartial {
			clear(n.pull.partials) // begun and never ended
		}
		q = &partial{revision: p.GetRevision(), size: p.GetSize()}
		n.pull.partials[p.GetName()] = q
	}
	if q != nil && q.revision == p.GetRevision() && p.GetOffset()+uint64(len(p.GetData())) <= uint64(len(q.text)) {
		return nil, false, false // came by another call before
	}
	if q == nil || q.revision != p.GetRevision() || q.size != p.GetSize() || uint64(len(q.text)) != p.GetOffset() {
		refused("part")
		delete(n.pull.partials, p.GetName())
		return nil, false, false
	}
	q.text = append(q.text, p.GetData()...)
	if uint64(len(q.text)) < q.size {
		return nil, false, true
	}
	delete(n.pull.partials, p.GetName())
	return q.text, true, true
}
