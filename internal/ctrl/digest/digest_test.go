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

// Whatever two processes know, the parts that differ name every document that
// one of them lacks, and equal knowledge gives equal digests in any order.
func TestDifferFindsEveryDifference(t *testing.T) {
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

// One change among the documents of the planned size must not cost the whole list.
func TestOneChangeIsOnePart(t *testing.T) {
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
