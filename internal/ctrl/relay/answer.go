package relay

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"mangowinch/internal/conf/store"
	"mangowinch/internal/ctrl/wire"
	"mangowinch/internal/flow/order"
)

// Limits of the answers to pulls, in bytes.
const (
	largeAnswer = 64 << 10  // text in one answer, before compression
	smallAnswer = 16 << 10  // when the budget is nearly spent; takes 1.4 s to send even if the text is incompressible
	maxAnswer   = 256 << 10 // of a received answer, after decompression
)

// Pull returns texts that the caller lacks, as many as the budget allows.
func (n *Node) Pull(ctx context.Context, in *wire.Wants) (out *wire.Texts, err error) {
	defer func() { n.Meter.CountAnswered(proto.Size(in), proto.Size(out)) }()
	if !n.answerLimiter.Allow() {
		countRefused("rate")
		return nil, ErrBusy
	}
	n.Meter.TimeCPU(func() { out, err = n.packTexts(in) })
	if err != nil {
		return nil, err
	}
	if !n.Meter.Acquire(ctx, len(out.GetDeflated())) {
		countRefused("budget")
		return nil, ErrBusy
	}
	return out, nil
}

// packTexts compresses texts, in pieces if necessary, up to the size of one answer.
func (n *Node) packTexts(in *wire.Wants) (*wire.Texts, error) {
	left := smallAnswer
	if n.Meter.Available() > largeAnswer {
		left = largeAnswer
	}
	view := n.Store.View()
	parts := &wire.Parts{}
	for _, w := range in.GetWants() {
		if left <= 0 {
			break
		}
		revision, text := missingText(view, w)
		if text == nil {
			continue
		}
		p := &wire.Part{Name: w.GetName(), Revision: uint64(revision), Size: uint64(len(text))}
		if w.GetPartial() == uint64(revision) && w.GetOffset() < p.GetSize() {
			p.Offset = w.GetOffset()
		}
		p.Data = text[p.GetOffset():min(p.GetOffset()+uint64(left), p.GetSize())]
		left -= len(p.GetData())
		parts.Parts = append(parts.Parts, p)
	}
	b, err := deflate(parts)
	return &wire.Texts{Deflated: b}, err
}

// missingText returns the text that the caller lacks: the newest one first and, if the caller couldn't
// parse that one, the one in force.
func missingText(view *store.View, w *wire.Want) (revision order.Revision, text []byte) {
	inForce, newest := order.Revision(w.GetRevision()), order.Revision(w.GetNewest())
	f, e := view.Faults[w.GetName()], view.Documents[w.GetName()]
	if f != nil && f.Revision > newest {
		return f.Revision, f.Text
	}
	if e != nil && e.Revision > inForce && e.Revision != newest {
		return e.Revision, e.Text
	}
	return 0, nil
}

// deflaters pools compressors, which take most of a megabyte each.
var deflaters = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(nil, flate.DefaultCompression) // fails only for an invalid level
	return w
}}

func deflate(parts *wire.Parts) (deflated []byte, err error) {
	defer func() { err = errors.Wrap(err, "deflate") }()
	b, err := proto.Marshal(parts)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(&out)
	if _, err := w.Write(b); err != nil {
		return nil, err
	}
	err = w.Close()
	return out.Bytes(), err
}

func inflate(deflated []byte) (parts []*wire.Part, err error) {
	defer func() { err = errors.Wrap(err, "inflate") }()
	b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(deflated)), maxAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(b) > maxAnswer {
		return nil, errors.Newf("answer is larger than %d bytes", maxAnswer)
	}
	var all wire.Parts
	err = proto.Unmarshal(b, &all)
	return all.GetParts(), err
}
