package memo

import (
	"math/rand/v2"
	"time"

	"github.com/dchest/siphash"
)

// probes is how many bits each ID sets; 7 is best at 10 bits an ID, where 1 of 100
// IDs that were never added is taken for one that was.
const probes = 7

// barred remembers IDs that must not run any more, in a fixed amount of memory and
// whatever their number: a Bloom filter. It never forgets one before its time. It
// takes an ID for barred by mistake, the more often the fuller it is, and such a
// request is refused as not run, which is true.
//
// There are two generations. New IDs go into the younger; the older is cleared, and
// becomes the younger, once the time of all in it is over.
type barred struct {
	young, old generation
	seeds      [2]uint64 // of this process, so that nobody can choose IDs that collide
}

type generation struct {
	bits  []uint64
	until time.Time // when the last ID in it may be forgotten
}

func newBarred(bytes int) *barred {
	words := max(bytes/8, 1)
	return &barred{
		young: generation{bits: make([]uint64, words)},
		old:   generation{bits: make([]uint64, words)},
		seeds: [2]uint64{rand.Uint64(), rand.Uint64()},
	}
}

func (b *barred) add(now time.Time, id string, until time.Time) {
	if !b.young.until.IsZero() && !now.Before(b.old.until) {
		b.young, b.old = b.old, b.young
		clear(b.young.bits)
		b.young.until = time.Time{}
	}
	g := &b.young
	if until.After(g.until) {
		g.until = until
	}
	b.positions(id, func(word, bit uint64) bool {
		g.bits[word] |= bit
		return true
	})
}

func (b *barred) has(id string) bool {
	return b.in(&b.young, id) || b.in(&b.old, id)
}

func (b *barred) in(g *generation, id string) bool {
	if g.until.IsZero() {
		return false
	}
	all := true
	b.positions(id, func(word, bit uint64) bool {
		all = g.bits[word]&bit != 0
		return all
	})
	return all
}

// positions calls f for each bit of an ID until it returns false.
func (b *barred) positions(id string, f func(word, bit uint64) bool) {
	h, step := siphash.Hash128(b.seeds[0], b.seeds[1], []byte(id))
	step |= 1
	size := uint64(len(b.young.bits)) * 64
	for range probes {
		n := h % size
		if !f(n/64, 1<<(n%64)) {
			return
		}
		h += step
	}
}
