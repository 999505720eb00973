package store_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/conf/store"
	"mangowinch/internal/flow/order"
)

// parse reads documents of the form "NAME anything"; "bad" in the text makes it faulty.
func parse(file string, text []byte) (*docs.Service, error) {
	name, rest, _ := strings.Cut(string(text), " ")
	if strings.Contains(rest, "bad") {
		return nil, errors.Newf("%s: faulty", file)
	}
	return &docs.Service{Name: name}, nil
}

// A team accepts a document with a slip in it. Callers must see no change: the
// last good revision stays in force, the slip is shown, and the next good
// revision replaces both.
func TestFaultyDocumentLeavesTheLastGoodOne(t *testing.T) {
	s := store.New(parse)
	accepted, err := s.Offer("tracing-core", 3, []byte("tracing-core three"), "platform")
	assert.NilError(t, err)
	assert.Assert(t, accepted)
	changed := s.Changed()
	accepted, err = s.Offer("tracing-core", 4, []byte("tracing-core bad"), "platform")
	assert.ErrorContains(t, err, "tracing-core.ini: faulty")
	assert.Assert(t, !accepted)
	<-changed
	assert.Equal(t, s.View().Documents["tracing-core"].Revision, order.Revision(3))
	assert.Equal(t, s.View().Faults["tracing-core"].Revision, order.Revision(4))
	assert.Equal(t, s.View().Revision("tracing-core"), order.Revision(4))
	accepted, err = s.Offer("tracing-core", 5, []byte("tracing-core five"), "e2")
	assert.NilError(t, err)
	assert.Assert(t, accepted)
	assert.Equal(t, len(s.View().Faults), 0)
}

// A document gets into the wrong drawer: under the name of one service the
// platform serves the text of another. Traffic of the one would reach servers
// of the other, so it's not taken.
func TestDocumentOfAnotherServiceIsRefused(t *testing.T) {
	s := store.New(parse)
	_, err := s.Offer("doc-intake", 1, []byte("tracing-core one"), "platform")
	assert.ErrorContains(t, err, `"tracing-core" inside`)
	assert.Equal(t, len(s.View().Documents), 0)
}

func TestLimits(t *testing.T) {
	s := store.New(parse)
	_, err := s.Offer("a", 1, make([]byte, store.MaxText+1), "p")
	assert.ErrorIs(t, err, store.ErrTooLarge)
	_, err = s.Offer("", 1, nil, "p")
	assert.ErrorIs(t, err, store.ErrInvalidName)
	for n := range store.MaxNames {
		name := fmt.Sprint("s", n)
		_, err := s.Offer(name, 1, []byte(name), "p")
		assert.NilError(t, err)
	}
	_, err = s.Offer("more", 1, []byte("more"), "p")
	assert.ErrorIs(t, err, store.ErrTooMany)
}

// Offers come late, twice, crossed and with faults in them. After any order of
// them the newest good revision is in force, and on the way no revision was
// ever replaced by a lower one.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := store.New(parse)
		faulty := rapid.SliceOfN(rapid.Bool(), 12, 12).Draw(t, "faulty")
		offers := rapid.SliceOf(rapid.Uint64Range(1, 12)).Draw(t, "offers")
		var best, last order.Revision
		for _, number := range offers {
			r := order.Revision(number)
			text := fmt.Sprint("svc text of ", r)
			if faulty[number-1] {
				text += " bad"
			} else {
				best = max(best, r)
			}
			accepted, err := s.Offer("svc", r, []byte(text), "peer")
			assert.Equal(t, accepted, r > last && !faulty[number-1])
			if err != nil {
				assert.Assert(t, faulty[number-1])
			}
			var now order.Revision
			if e := s.View().Documents["svc"]; e != nil {
				now = e.Revision
			}
			assert.Assert(t, now >= last, "went back from %d to %d", last, now)
			assert.Equal(t, now, best)
			last = now
		}
	})
}
