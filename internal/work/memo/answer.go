package memo

import (
	"crypto/sha256"
	"net/http"
)

// Digest is a SHA-256. The zero value stands for "not known".
type Digest [sha256.Size]byte

// HeadDigest is the digest of what a request asks for, without its body.
func HeadDigest(method, path string) Digest {
	return sha256.Sum256([]byte(method + "\x00" + path))
}

// Answer is a whole answer, kept for repeats.
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

// Recorder collects an answer while it streams to the first caller, up to a limit.
// Beyond it the Keeper holds nothing, so that a long answer costs no memory.
type Recorder struct {
	limit  int
	answer Answer
	over   bool
}

// NewRecorder gives a Keeper for answers of up to limit bytes.
func NewRecorder(limit int) *Recorder { return &Recorder{limit: limit} }

// Start notes status and headers.
func (k *Recorder) Start(status int, header http.Header) {
	k.answer = Answer{Status: status, Header: header.Clone()}
	k.over = k.answer.size() > k.limit
}

// Write notes a part of the body. It never fails.
func (k *Recorder) Write(p []byte) (int, error) {
	if k.over || len(k.answer.Body)+len(p) > k.limit {
		k.over, k.answer.Body = true, nil
		return len(p), nil
	}
	k.answer.Body = append(k.answer.Body, p...)
	return len(p), nil
}

// Answer gives the whole answer, or nil if there was none or it went over the limit.
func (k *Recorder) Answer() *Answer {
	if k.over || k.answer.Status == 0 {
		return nil
	}
	return &k.answer
}

// ForRepeat gives the outcome as a repeat with the given body is to get it. The body's
// digest is known only once it has been read, so a key that comes with another body
// is noticed here and not in Begin.
func (o Outcome) ForRepeat(body Digest) (Outcome, bool) {
	if o.Body != (Digest{}) && body != (Digest{}) && o.Body != body {
		return Outcome{}, false
	}
	return o, true
}
