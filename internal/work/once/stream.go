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

// hashingReader computes the digest of a request body while the body is read.
type hashingReader struct {
	source io.Reader

	mu   sync.Mutex // the body may still be read after the outcome is known
	hash hash.Hash
	eof  bool
}

func newHashingReader(source io.Reader) *hashingReader {
	if source == nil {
		source = http.NoBody
	}
	return &hashingReader{source: source, hash: sha256.New()}
}

// Read implements io.Reader.
func (h *hashingReader) Read(p []byte) (int, error) {
	n, err := h.source.Read(p)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hash.Write(p[:n])
	h.eof = h.eof || errors.Is(err, io.EOF)
	return n, err
}

// digest returns the digest of the body, or zero if the body was not read to its end.
func (h *hashingReader) digest() (d memo.Digest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.eof {
		h.hash.Sum(d[:0])
	}
	return d
}

// drain reads and discards the rest of the body.
func (h *hashingReader) drain() error {
	_, err := io.Copy(io.Discard, h)
	return err
}

// recordingAnswer records an answer for repeats while it is sent to the first caller.
type recordingAnswer struct {
	hand.Answer
	recorder *memo.Recorder
}

// Start implements hand.Answer.
func (a *recordingAnswer) Start(status int, header http.Header) error {
	a.recorder.Start(status, header)
	return a.Answer.Start(status, header)
}

// Write implements hand.Answer.
func (a *recordingAnswer) Write(p []byte) (int, error) {
	_, _ = a.recorder.Write(p)
	return a.Answer.Write(p)
}
