package memo

import (
	"crypto/sha256"
	"net/http"
)

// Digest is a SHA-256 digest. The zero value means that the digest is not known.
type Digest [sha256.Size]byte

// HeadDigest returns the digest of a request's method and path. It does not cover the body.
func HeadDigest(method, path string) Digest {
	return sha256.Sum256([]byte(method + "\x00" + path))
}

// Answer is a complete answer, kept for repeats.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for name, values := range a.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// Recorder records an answer while it is streamed to the first caller, up to a limit. Once the
// answer exceeds the limit, the Recorder discards it, so that a long answer uses no memory.
type Recorder struct {
	limit    int
	answer   Answer
	tooLarge bool
}

// NewRecorder returns a Recorder for answers of up to limit bytes.
func NewRecorder(limit int) *Recorder { return &Recorder{limit: limit} }

// Start records the status and the headers.
func (r *Recorder) Start(status int, header http.Header) {
	r.answer = Answer{Status: status, Header: header.Clone()}
	r.tooLarge = r.answer.size() > r.limit
}

// Write records a part of the body. It never fails.
func (r *Recorder) Write(p []byte) (int, error) {
	if r.tooLarge || len(r.answer.Body)+len(p) > r.limit {
		r.tooLarge, r.answer.Body = true, nil
		return len(p), nil
	}
	r.answer.Body = append(r.answer.Body, p...)
	return len(p), nil
}

// Answer returns the complete answer, or nil if there was none or it exceeded the limit.
func (r *Recorder) Answer() *Answer {
	if r.tooLarge || r.answer.Status == 0 {
		return nil
	}
	return &r.answer
}

// ForRepeat returns the outcome for a repeat with the given body digest, and false if the body
// differs from that of the first request. The digest is known only after the body has been read, so
// a key that arrives with another body is detected here and not in Begin.
func (o Outcome) ForRepeat(body Digest) (Outcome, bool) {
	if o.Body != (Digest{}) && body != (Digest{}) && o.Body != body {
		return Outcome{}, false
	}
	return o, true
}
