package memo

import (
	"math/rand/v2"
	"time"

	"github.com/dchest/siphash"
)

// hashCount is the number of bits that each ID sets. 7 is optimal at 10 bits per ID, where the rate
// of false positives is 1 in 100.
const hashCount = 7

// blockFilter is a Bloom filter of IDs that must not run. It takes a fixed amount of memory,
// whatever the number of IDs, and never loses an ID before its expiry. The rate of false positives
// rises as the filter fills. A false positive causes a request to be refused as not run, which is
// correct because the request then does not run.
//
// There are two generations. New IDs are added to the current one. Once all IDs in the previous
// generation have expired, it is cleared and becomes the current one.
type blockFilter struct {
	current, previous generation
	seeds             [2]uint64 // random per process, so that no caller can construct colliding IDs
}

type generation struct {
	bits  []uint64
	until time.Time // when the last ID in the generation expires
}

func newBlockFilter(bytes int) *blockFilter {
	words := max(bytes/8, 1)
	return &blockFilter{
		current:  generation{bits: make([]uint64, words)},
		previous: generation{bits: make([]uint64, words)},
		seeds:    [2]uint64{rand.Uint64(), rand.Uint64()},
	}
}

func (b *blockFilter) add(now time.Time, id string, until time.Time) {
	if !b.current.until.IsZero() && !now.Before(b.previous.until) {
		b.current, b.previous = b.previous, b.current
		clear(b.current.bits)
		b.current.until = time.Time{}
	}
	g := &b.current
	if until.After(g.until) {
		g.until = until
	}
	b.eachBit(id, func(word, bit uint64) bool {
		g.bits[word] |= bit
		return true
	})
}

func (b *blockFilter) has(id string) bool {
	return b.inGeneration(&b.current, id) || b.inGeneration(&b.previous, id)
}

func (b *blockFilter) inGeneration(g *generation, id string) bool {
	if g.until.IsZero() {
		return false
	}
	all := true
	b.eachBit(id, func(word, bit uint64) bool {
		all = g.bits[word]&bit != 0
		return all
	})
	return all
}

// eachBit calls f for each bit of an ID until f returns false.
func (b *blockFilter) eachBit(id string, f func(word, bit uint64) bool) {
	h, step := siphash.Hash128(b.seeds[0], b.seeds[1], []byte(id))
	step |= 1
	size := uint64(len(b.current.bits)) * 64
	for range hashCount {
		n := h % size
		if !f(n/64, 1<<(n%64)) {
			return
		}
		h += step
	}
}
