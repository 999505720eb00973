// Package digest determines which document revisions differ between two processes, at the
// cost of a few bytes if none do.
//
// It exists because every process compares its documents with another process about once a
// second, and they nearly always agree. So a whole set of documents has a single hash, the
// Root. If the roots differ, the hashes of 64 buckets show where, and only the items of the
// differing buckets are sent.
//
// It holds no texts, and does not select the processes that compare their documents (package
// relay does).
//
// # Usage
//
//	mine := digest.Of(view)
//	if mine.Root != theirRoot {
//		for _, n := range mine.DifferingBuckets(theirBuckets) {
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

// BucketCount is the number of buckets of a set. With 1,300 documents a bucket has some 20
// items, which take as much space in a message as the hashes of all buckets.
const BucketCount = 64

// Item states which revisions of one document a process has.
type Item struct {
	Name     string
	Revision order.Revision // in force, 0 for none
	Newest   order.Revision // latest known; higher than Revision if it could not be parsed
}

// Digest is the digest of one snapshot of a store. It is immutable.
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
	var hashes []byte
	for n := range d.Items {
		d.Buckets[n] = hashItems(d.Items[n])
		hashes = binary.LittleEndian.AppendUint64(hashes, d.Buckets[n])
	}
	d.Root = xxhash.Sum64(hashes)
	return d
}

// ItemOf returns the item of one document in a snapshot.
func ItemOf(v *store.View, name string) Item {
	i := Item{Name: name, Newest: v.Revision(name)}
	if e := v.Documents[name]; e != nil {
		i.Revision = e.Revision
	}
	return i
}

// BucketOf returns the index of the bucket to which a document belongs.
func BucketOf(name string) int { return int(xxhash.Sum64String(name) % BucketCount) }

// DifferingBuckets returns the indexes of the buckets whose hashes differ from another process's
// hashes. These are all buckets if the other process has another number of them.
func (d *Digest) DifferingBuckets(buckets []uint64) []int {
	var differing []int
	for n := range d.Buckets {
		if len(buckets) != BucketCount || d.Buckets[n] != buckets[n] {
			differing = append(differing, n)
		}
	}
	return differing
}

// Newer reports whether i has a revision that a process with item o can use. A revision that the
// process with o has already failed to parse doesn't count, although it may be in force in a process
// with another program version: otherwise the revision would be sent again and again.
func (i Item) Newer(o Item) bool {
	return i.Newest > o.Newest || i.Revision > o.Revision && i.Revision != o.Newest
}

// hashItems returns the hash of a bucket's items.
func hashItems(items []Item) uint64 {
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
