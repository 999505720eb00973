package local

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/order"
)

// Guards against probing agents in an arbitrary order. After all processes of a hundred instances had been
// killed, each caller's packet reached fifty servers on average before its own one, and half a day's byte
// budget between failure domains was spent in four seconds.
func TestNearServersAreProbedFirst(t *testing.T) {
	log := belief.New()
	change := belief.Change{To: 10, Full: true}
	var agents []netip.Addr
	for i := range 6 {
		addr := netip.AddrFrom4([4]byte{10, 0, 1, byte(i)})
		agents = append(agents, addr)
		change.Items = append(change.Items, belief.Item{Key: fmt.Sprint(i), Revision: order.Revision(i + 1), Server: &belief.Server{
			ID: fmt.Sprint(i), Service: "tracing-core", Addr: netip.AddrPortFrom(addr, 80), Domain: []string{"zg-a", "zg-b", "zg-c"}[i%3],
		}})
	}
	log.Apply(time.Unix(1_700_000_000, 0), change)
	gone := netip.AddrFrom4([4]byte{10, 0, 1, 99})
	near, far := splitByDomain(log.View(), append(agents, gone), belief.DomainHash("zg-b"))
	addresses := cmpopts.EquateComparable(netip.Addr{})
	assert.DeepEqual(t, near, []netip.Addr{agents[1], agents[4]}, addresses)
	assert.DeepEqual(t, far, []netip.Addr{agents[0], agents[2], agents[3], agents[5], gone}, addresses)

	q := &lookup{near: near, far: far, attempts: map[netip.Addr]attempt{}}
	now := time.Unix(1_700_000_000, 0)
	for _, want := range near {
		got, ok := q.next(now)
		assert.Assert(t, ok && got == want)
		q.pending++
	}
	_, ok := q.next(now.Add(farDelay / 2))
	assert.Assert(t, !ok, "a far agent is probed although a near server may still be processing the request")
	got, ok := q.next(now.Add(farDelay))
	assert.Assert(t, ok && got == far[0])
	q.pending = 0
	got, ok = q.next(now)
	assert.Assert(t, ok && got == far[1], "no far agent is probed although all near agents have reported that they don't hold the flow")
}
