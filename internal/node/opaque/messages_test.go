package opaque

import (
	"bytes"
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/ctrl/follow"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/oper/event"
)

// platform is a source that is never asked.
type platform struct{ follow.Source }

func newTestProcess() *process {
	events := event.New(&bytes.Buffer{}, "entry", "entry-1")
	log := belief.New()
	return &process{events: events, log: log, follow: follow.New(follow.Config{
		Self:   netip.MustParseAddr("10.0.0.1"),
		Role:   msgs.Entry,
		Log:    log,
		Source: platform{},
		Send:   func(netip.Addr, []byte) {},
		Fetch: func(context.Context, netip.Addr, uint64) (belief.Change, error) {
			return belief.Change{}, context.Canceled
		},
		Events: events,
		Bound:  3 * time.Second,
	})}
}

// During a change of the program's version an instance hears messages that it can't read. They were dropped without a
// trace, and its operators saw an instance with an old belief and no reason for it.
func TestUnreadableMessagesAreReported(t *testing.T) {
	p := newTestProcess()
	from := netip.MustParseAddr("10.0.0.2")
	notOne := func(time.Time, netip.Addr, msgs.Head, []byte) bool { return false }
	for _, k := range []msgs.Kind{msgs.KindBeacon, msgs.KindNews, msgs.Kind(99)} {
		err := p.took(time.Now(), from, msgs.Head{Kind: k}, []byte{1}, notOne)
		assert.Assert(t, err != nil, "kind %d", k)
	}
}

func TestMessagesGoToTheirReaders(t *testing.T) {
	p := newTestProcess()
	from := netip.MustParseAddr("10.0.0.2")
	taken := 0
	take := func(time.Time, netip.Addr, msgs.Head, []byte) bool { taken++; return true }
	assert.NilError(t, p.took(time.Now(), from, msgs.Head{Kind: msgs.KindOpened}, nil, take))
	assert.Equal(t, taken, 1)

	beacon := msgs.Beacon{Role: msgs.Entry, Age: 5}
	h, rest, err := msgs.ReadHead(beacon.AppendTo(nil))
	assert.NilError(t, err)
	assert.NilError(t, p.took(time.Now(), from, h, rest, take))
	assert.Equal(t, taken, 1)
	assert.DeepEqual(t, p.follow.Entries(), []netip.Addr{from}, cmpopts.EquateComparable(netip.Addr{}))
}
