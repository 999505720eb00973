package relay

import (
	"net/netip"

	"mangowinch/internal/conf/store"
	"mangowinch/internal/ctrl/digest"
	"mangowinch/internal/ctrl/wire"
	"mangowinch/internal/flow/order"
)

// partResult is the effect of a received piece of a text.
type partResult int

const (
	partIgnored  partResult = iota // no piece was received, or it doesn't continue the text
	partProgress                   // the text has grown, or it is complete and was stored
	partUseless                    // the text is complete, but the store didn't use it
)

// takePart adds a received piece to its text and offers the text to the store once it is complete.
func (n *Node) takePart(p *wire.Part, link netip.AddrPort) partResult {
	text, complete, ok := n.joinPart(p)
	switch {
	case !ok:
		return partIgnored
	case !complete:
		return partProgress
	}
	before := digest.ItemOf(n.Store.View(), p.GetName())
	revision := order.Revision(p.GetRevision())
	accepted, err := n.Store.Offer(p.GetName(), revision, text, link.String())
	if err != nil {
		n.Log.Warn().Err(err).Msg("document rejected")
	}
	if accepted {
		n.Log.Info().Str("document", p.GetName()).Stringer("revision", revision).Stringer("from", link).Msg("document accepted")
	}
	if digest.ItemOf(n.Store.View(), p.GetName()) == before {
		return partUseless
	}
	return partProgress
}

// joinPart appends a piece to its text.
func (n *Node) joinPart(p *wire.Part) (text []byte, complete, ok bool) {
	if p.GetSize() > store.MaxText || p.GetOffset()+uint64(len(p.GetData())) > p.GetSize() {
		countRefused("part")
		return nil, false, false
	}
	if p.GetOffset() == 0 && uint64(len(p.GetData())) == p.GetSize() {
		return p.GetData(), true, true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	q := n.pull.partials[p.GetName()]
	if p.GetOffset() == 0 && (q == nil || q.revision < p.GetRevision()) {
		if q == nil && (len(n.pull.partials)+1)*store.MaxText > maxPartialBytes {
			clear(n.pull.partials) // texts that were never completed
		}
		q = &partial{revision: p.GetRevision(), size: p.GetSize()}
		n.pull.partials[p.GetName()] = q
	}
	if q != nil && q.revision == p.GetRevision() && p.GetOffset()+uint64(len(p.GetData())) <= uint64(len(q.text)) {
		return nil, false, false // already received by another call
	}
	if q == nil || q.revision != p.GetRevision() || q.size != p.GetSize() || uint64(len(q.text)) != p.GetOffset() {
		countRefused("part")
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
