package digest_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/conf/store"
	"mangowinch/internal/ctrl/digest"
	"mangowinch/internal/flow/order"
)

func view(revisions map[string]uint64) *store.View {
	v := &store.View{Documents: map[string]*store.Document{}, Faults: map[string]*store.Fault{}}
	for name, number := range revisions {
		revision := order.Revision(number)
		if revision%5 == 0 {
			v.Faults[name] = &store.Fault{Name: name, Revision: revision}
			revision -= 2
		}
		v.Documents[name] = &store.Document{Name: name, Revision: revision}
	}
	return v
}

// Guards against differences that the digests miss: any document that differs between two processes
// must be in a differing bucket, and equal sets must have equal digests, in whatever order.
func TestDifferingBucketsFindEveryDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sets := rapid.MapOf(rapid.StringMatching("[a-z]{1,3}"), rapid.Uint64Range(3, 20))
		a, b := view(sets.Draw(t, "a")), view(sets.Draw(t, "b"))
		x, y := digest.Of(a), digest.Of(b)
		found := map[int]bool{}
		for _, n := range x.DifferingBuckets(y.Buckets[:]) {
			found[n] = true
		}
		same := true
		for _, v := range []*store.View{a, b} {
			for name := range v.Documents {
				if digest.ItemOf(a, name) != digest.ItemOf(b, name) {
					same = false
					assert.Assert(t, found[digest.BucketOf(name)], "%s is not found", name)
				}
			}
		}
		assert.Equal(t, x.Root == y.Root, same)
		assert.Equal(t, len(found) == 0, same)
	})
}

// Guards against sending all items of 1,300 documents for the change of one.
func TestOneChangeIsOneBucket(t *testing.T) {
	revisions := map[string]uint64{}
	for n := range 1300 {
		revisions[fmt.Sprint("service-", n)] = 3
	}
	a := digest.Of(view(revisions))
	revisions["service-77"]++
	b := digest.Of(view(revisions))
	parts := a.DifferingBuckets(b.Buckets[:])
	assert.DeepEqual(t, parts, []int{digest.BucketOf("service-77")})
	assert.Assert(t, len(a.Items[parts[0]]) < 50)
}
