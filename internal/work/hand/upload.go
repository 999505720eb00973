package hand

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/work/result"
	"mangowinch/internal/work/wire"
)

var (
	errLinkBroken     = errors.New("link to the sender broke")
	errCancelled      = errors.Newf("sender cancelled the request: %s", result.CallerGone)
	errWindowExceeded = errors.New("sender exceeded the granted window")
)

// uploadReader is the body of a request that is being received. The link is read continuously, so
// that a cancellation is noticed immediately. The sender may have at most window parts in transit,
// which bounds the memory that is used.
type uploadReader struct {
	stream interface{ Recv() (*wire.Up, error) }
	answer *answerSender
	parts  chan []byte

	rest []byte // unread rest of the current part
	mu   sync.Mutex
	err  error // why the body ended early; set before parts is closed
}

func newUploadReader(stream interface{ Recv() (*wire.Up, error) }, answer *answerSender) *uploadReader {
	return &uploadReader{stream: stream, answer: answer, parts: make(chan []byte, window)}
}

// receive reads the link until the end of the request. It returns nil if the sender closed the
// stream normally, and otherwise the reason why nothing more arrives.
func (u *uploadReader) receive() error {
	open := true
	finish := func(err error) {
		if open {
			open = false
			u.mu.Lock()
			u.err = err
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
			finish(errLinkBroken)
			return errLinkBroken
		}
		switch p := up.Part.(type) {
		case *wire.Up_Body:
			if !open {
				continue
			}
			select {
			case u.parts <- p.Body:
			default:
				finish(errWindowExceeded)
				return errWindowExceeded
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
func (u *uploadReader) Read(p []byte) (int, error) {
	for len(u.rest) == 0 {
		part, ok := <-u.parts
		if !ok {
			u.mu.Lock()
			defer u.mu.Unlock()
			if u.err != nil {
				return 0, u.err
			}
			return 0, io.EOF
		}
		u.rest = part
		u.answer.grantCredit()
	}
	n := copy(p, u.rest)
	u.rest = u.rest[n:]
	return n, nil
}
