package hand

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// MaxReplay is how much of a body a Body can give again: what may be under way when the
// receiver refuses, before it has read any of it.
const MaxReplay = (window + 1) * partSize

// ErrConsumed is given by a reader of a body whose beginning is gone.
var ErrConsumed = errors.New("body can't be read again")

// Body is a request body that can be read again from its beginning as long as no
// more than KeptBody bytes of it were read. It lets a request that was refused as
// not run be placed elsewhere without holding a whole upload.
type Body struct {
	mu     sync.Mutex
	source io.Reader
	kept   []byte // from the beginning
	read   int64  // bytes read from the source; more than are kept once some were dropped
	err    error  // of the source
}

// NewBody wraps the body as it came from the caller.
func NewBody(source io.Reader) *Body { return &Body{source: source} }

// CanReplay reports whether a new reader could start at the beginning.
func (b *Body) CanReplay() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.read == int64(len(b.kept))
}

// Reader gives a reader from the beginning. Only the latest one is to be read; an
// earlier one that is still blocked in the source must have been closed.
func (b *Body) Reader() *BodyReader { return &BodyReader{body: b, closed: make(chan struct{})} }

// BodyReader reads a Body.
type BodyReader struct {
	body   *Body
	offset int64
	once   sync.Once
	closed chan struct{}
}

// Close makes the reader leave everything that it has not returned yet to the next one.
func (r *BodyReader) Close() error {
	r.once.Do(func() { close(r.closed) })
	return nil
}

// Read implements io.Reader.
func (r *BodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.isClosed() {
		return 0, io.ErrClosedPipe
	}
	if r.offset < int64(len(b.kept)) {
		n := copy(p, b.kept[r.offset:])
		r.offset += int64(n)
		return n, nil
	}
	if r.offset != b.read {
		return 0, ErrConsumed
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(p)
	b.err = err
	// A reader that was closed while it waited leaves what it got to the next one.
	if whole := b.read == int64(len(b.kept)); whole && (r.isClosed() || len(b.kept)+n <= MaxReplay) {
		b.kept = append(b.kept, p[:n]...)
	}
	b.read += int64(n)
	if r.isClosed() {
		return 0, io.ErrClosedPipe
	}
	r.offset += int64(n)
	return n, err
}

func (r *BodyReader) isClosed() bool {
	select {
	case <-r.closed:
		return true
	default:
		return false
	}
}
