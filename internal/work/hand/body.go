package hand

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// MaxReplay is the number of bytes of a body that a Body can replay. It covers what may be in
// transit when the receiver refuses the request before it has read any of the body.
const MaxReplay = (window + 1) * partSize

// ErrConsumed is returned by a reader of a body whose beginning is no longer available.
var ErrConsumed = errors.New("body can't be read again")

// Body is a request body that can be read again from its beginning as long as no more than
// MaxReplay bytes of it have been read. A request that was refused as not run can thus be placed
// elsewhere without buffering a whole upload.
type Body struct {
	mu     sync.Mutex
	source io.Reader
	prefix []byte // the first bytes of the body
	read   int64  // bytes read from the source; exceeds len(prefix) once some were not kept
	err    error  // of the source
}

// NewBody returns a Body that reads from source.
func NewBody(source io.Reader) *Body { return &Body{source: source} }

// CanReplay reports whether a new reader could start at the beginning.
func (b *Body) CanReplay() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.read == int64(len(b.prefix))
}

// Reader returns a reader that starts at the beginning. Only the latest reader may be read. An
// earlier reader that is still blocked in the source must have been closed.
func (b *Body) Reader() *BodyReader { return &BodyReader{body: b, closed: make(chan struct{})} }

// BodyReader reads a Body.
type BodyReader struct {
	body   *Body
	offset int64
	once   sync.Once
	closed chan struct{}
}

// Close leaves all data that the reader has not returned yet to the next reader.
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
	if r.offset < int64(len(b.prefix)) {
		n := copy(p, b.prefix[r.offset:])
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
	// A reader that was closed while it waited leaves the data that it read to the next reader.
	if whole := b.read == int64(len(b.prefix)); whole && (r.isClosed() || len(b.prefix)+n <= MaxReplay) {
		b.prefix = append(b.prefix, p[:n]...)
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
