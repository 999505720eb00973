package once

import (
	"crypto/sha256"
	"hash"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/work/hand"
	"mangowinch/internal/work/memo"
)

// hashed digests a request body while it is read.
type hashed struct {
	source io.Reader

	mu   sync.Mutex // the body may still be read when the outcome is there
	hash hash.Hash
	end  bool
}

func newHashed(source io.Reader) *hashed {
	if source == nil {
		source = http.NoBody
	}
	return &hashed{source: source, hash: sha256.New()}
}

// Read implements io.Reader.
func (h *hashed) Read(p []byte) (int, error) {
	n, err := h.source.Read(p)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hash.Write(p[:n])
	h.end = h.end || errors.Is(err, io.EOF)
	return n, err
}

// digest is zero unless the body was read to its end.
func (h *hashed) digest() (d memo.Digest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.end {
		h.hash.Sum(d[:0])
	}
	return d
}

// drain reads the rest of the body without keeping it.
func (h *hashed) drain() error {
	_, err := io.Copy(io.Discard, h)
	return err
}

// keeping notes an answer for repeats while it goes to the first caller.
type keeping struct {
	hand.Answer
	keeper *memo.Recorder
}

// Start implements hand.Answer.
func (k *keeping) Start(status int, header http.Header) error {
	k.keeper.Start(status, header)
	return k.Answer.Start(status, header)
}

// Write implements hand.Answer.
func (k *keeping) Write(p []byte) (int, error) {
	_, _ = k.keeper.Write(p)
	return k.Answer.Write(p)
}
