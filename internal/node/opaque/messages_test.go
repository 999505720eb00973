package opaque

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/ctrl/follow"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/order"
	"mangowinch/internal/node/prober"
	"mangowinch/internal/oper/event"
)

// unusedSource is a source that is never read.
type unusedSource struct{ follow.Source }

func newTestProcess(out io.Writer) *process {
	events := event.New(out, "entry", "entry-1")
	log := belief.New()
	return &process{events: events, prober: prober.New(netip.Addr{}, nil), log: log, follow: follow.New(follow.Config{
		Self:   netip.MustParseAddr("10.0.0.1"),
		Role:   msgs.Entry,
		Log:    log,
		Source: unusedSource{},
		Send:   func(netip.Addr, []byte) {},
		Fetch: func(context.Context, netip.Addr, order.Revision) (belief.Change, error) {
			return belief.Change{}, context.Canceled
		},
		Events:           events,
		PropagationBound: 3 * time.Second,
	})}
}

// Guards against unreadable messages that are dropped without a trace. While the program's version is
// changed, an instance receives messages that it can't read, and its operators need the reason why its view
// stays outdated. Hundreds arrive in a second: all are counted, and one line is logged.
func TestUnreadableMessagesAreReported(t *testing.T) {
	var out bytes.Buffer
	p := newTestProcess(&out)
	link, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	p.sockets = &sockets{link: link}
	before := unreadable.Get()
	done := make(chan error)
	go func() { done <- p.messages(func(time.Time, netip.Addr, msgs.Header, []byte) bool { return false })() }()

	beacon, update := msgs.Beacon{Role: msgs.Entry}, msgs.Update{Change: []byte("no change")}
	unknown := beacon.AppendTo(nil)
	unknown[1] = 99
	complete := beacon.AppendTo(nil)
	for _, b := range [][]byte{complete[:len(complete)-1], update.AppendTo(nil), unknown} {
		_, err := link.WriteTo(b, link.LocalAddr())
		assert.NilError(t, err)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := unreadable.Get() - before; n < 3 {
			return poll.Continue("%d of 3 counted", n)
		}
		return poll.Success()
	})
	assert.NilError(t, link.Close())
	assert.NilError(t, <-done)
	p.events.Close()
	assert.Equal(t, strings.Count(out.String(), `"event":"message-bad"`), 1, out.String())
	assert.Assert(t, strings.Contains(out.String(), `"peer":"127.0.0.1"`), out.String())
}

func TestMessagesReachTheirHandlers(t *testing.T) {
	p := newTestProcess(io.Discard)
	from := netip.MustParseAddr("10.0.0.2")
	taken := 0
	take := func(time.Time, netip.Addr, msgs.Header, []byte) bool { taken++; return true }
	assert.NilError(t, p.handle(time.Now(), from, msgs.Header{Kind: msgs.KindOpened}, nil, take))
	assert.Equal(t, taken, 1)

	beacon := msgs.Beacon{Role: msgs.Entry, Age: 5}
	h, rest, err := msgs.ReadHeader(beacon.AppendTo(nil))
	assert.NilError(t, err)
	assert.NilError(t, p.handle(time.Now(), from, h, rest, take))
	assert.Equal(t, taken, 1)
	assert.DeepEqual(t, p.follow.Entries(), []netip.Addr{from}, cmpopts.EquateComparable(netip.Addr{}))
}
