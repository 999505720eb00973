// Package digest finds out which documents two processes know differently, at
// the cost of a few bytes when they know the same.
//
// It exists because every process compares with another one about once a
// second, and nearly always nothing differs. So a whole set of documents is
// one number (Root). When that differs, the numbers of its parts (Buckets) show
// where, and only the items of those parts are sent.
//
// It holds no texts and decides nothing about who talks to whom (package relay).
//
// # Usage
//
//	mine := digest.Of(view)
//	if mine.Root != theirRoot {
//		for _, n := range mine.Differ(theirBuckets) {
//			send(mine.Items[n])
//		}
//	}
package digest

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mangowinch/internal/conf/store"
	"mangowinch/internal/flow/order"
)

// BucketCount is how many buckets a set is split into. With 1,300 documents a part has
// some 20 items, as much on the wire as the buckets themselves.
const BucketCount = 64

// Item is what is known of one document.
type Item struct {
	Name     string
	Revision order.Revision // in force, 0 for none
	Newest   order.Revision // newest known; over Revision when that one could not be read
}

// Digest stands for one snapshot of a store. Nobody changes it.
type Digest struct {
	Root    uint64
	Buckets [BucketCount]uint64
	Items   [BucketCount][]Item // ordered by name
}

// Of returns the digest of a snapshot.
func Of(v *store.View) *Digest {
	d := &Digest{}
	names := map[string]bool{}
	for name := range v.Documents {
		names[name] = true
	}
	for name := range v.Faults {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		n := BucketOf(name)
		d.Items[n] = append(d.Items[n], ItemOf(v, name))
	}
	var roots []byte
	for n := range d.Items {
		d.Buckets[n] = sum(d.Items[n])
		roots = binary.LittleEndian.AppendUint64(roots, d.Buckets[n])
	}
	d.Root = xxhash.Sum64(roots)
	return d
}

// ItemOf returns the item of one document.
func ItemOf(v *store.View, name string) Item {
	i := Item{Name: name, Newest: v.Revision(name)}
	if e := v.Documents[name]; e != nil {
		i.Revision = e.Revision
	}
	return i
}

// BucketOf returns the bucket that a document belongs to.
func BucketOf(name string) int { return int(xxhash.Sum64String(name) % BucketCount) }

// DifferingBuckets returns the parts that the other's buckets show as different; all of
// them when the other has another number of parts.
func (d *Digest) DifferingBuckets(buckets []uint64) []int {
	var parts []int
	for n := range d.Buckets {
		if len(buckets) != BucketCount || d.Buckets[n] != buckets[n] {
			parts = append(parts, n)
		}
	}
	return parts
}

// Newer says whether i has anything that somebody who knows o could use. A
// revision that o has and could not read is of no use to it, although another
// program version may have it in force: else it would be sent for ever.
func (i Item) Newer(o Item) bool {
	return i.Newest > o.Newest || i.Revision > o.Revision && i.Revision != o.Newest
}

func sum(items []Item) uint64 {
	var h xxhash.Digest
	h.Reset()
	var b []byte
	for _, i := range items {
		b = append(b[:0], i.Name...)
		b = append(b, 0)
		b = binary.LittleEndian.AppendUint64(b, uint64(i.Revision))
		b = binary.LittleEndian.AppendUint64(b, uint64(i.Newest))
		_, _ = h.Write(b)
	}
	return h.Sum64()
}
