package hand

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/work/result"
	"mangowinch/internal/work/wire"
)

var (
	errLinkLost  = errors.New("link to the sender lost")
	errCancelled = errors.Newf("sender cancelled: %s", result.CallerGone)
	errTooMuch   = errors.New("sender sent more than was granted")
)

// upload is the body of a request that is being received. The link is always read,
// so that a cancellation is seen at once; the sender may have only window parts under
// way, so that this takes no more memory than that.
type upload struct {
	stream interface{ Recv() (*wire.Up, error) }
	answer *downAnswer
	parts  chan []byte

	rest   []byte // of the part being read
	mu     sync.Mutex
	broken error // why the body ended early; set before parts is closed
}

func newUpload(stream interface{ Recv() (*wire.Up, error) }, answer *downAnswer) *upload {
	return &upload{stream: stream, answer: answer, parts: make(chan []byte, window)}
}

// receive reads the link until the request's end. It gives nil when the sender closed
// the stream in order, and otherwise why nothing more comes.
func (u *upload) receive() error {
	open := true
	finish := func(err error) {
		if open {
			open = false
			u.mu.Lock()
			u.broken = err
			u.mu.Unlock()
			close(u.parts)
		}
	}
	for {
		up, err := u.stream.Recv()
		if errors.Is(err, io.EOF) {
			finish(io.ErrUnexpectedEOF)
			return nil
		}
		if err != nil {
			finish(errLinkLost)
			return errLinkLost
		}
		switch p := up.Part.(type) {
		case *wire.Up_Body:
			if !open {
				continue
			}
			select {
			case u.parts <- p.Body:
			default:
				finish(errTooMuch)
				return errTooMuch
			}
		case *wire.Up_End:
			if p.End.Broken {
				finish(io.ErrUnexpectedEOF)
			}
			finish(nil)
		case *wire.Up_Cancel:
			finish(errCancelled)
			return errCancelled
		}
	}
}

// Read implements io.Reader for the runner.
func (u *upload) Read(p []byte) (int, error) {
	for len(u.rest) == 0 {
		part, ok := <-u.parts
		if !ok {
			u.mu.Lock()
			defer u.mu.Unlock()
			if u.broken != nil {
				return 0, u.broken
			}
			return 0, io.EOF
		}
		u.rest = part
		u.answer.credit()
	}
	n := copy(p, u.rest)
	u.rest = u.rest[n:]
	return n, nil
}
