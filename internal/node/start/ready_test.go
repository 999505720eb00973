package start

import (
	"testing"

	"gotest.tools/v3/assert"

	"mangowinch/internal/conf/store"
)

// Guards against a process that is ready and can't serve. An agent whose settings lack the key of its
// document has fetched a valid document but can't use it. An entry with only some of its documents drops
// what callers of the other services send.
func TestReadyNeedsAllDocumentsInForce(t *testing.T) {
	fetched := &store.View{Documents: map[string]*store.Document{"tracing-core": {}}}
	faulty := &store.View{Faults: map[string]*store.Fault{"tracing-core": {}}}
	for _, c := range []struct {
		view            *store.View
		inForce, wanted int
		want            string
	}{
		{&store.View{}, 0, 0, "no document is in force yet"},
		{fetched, 0, 0, "no document can be used here; the log says why"},
		{faulty, 0, 0, "no document is without fault; see section documents of /status"},
		{fetched, 1, 3, "3 documents are still to come"},
		{fetched, 1, 0, ""},
	} {
		assert.Equal(t, notReadyReason(c.view, c.inForce, c.wanted), c.want)
	}
}
