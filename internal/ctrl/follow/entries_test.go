package follow

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
)

// Guards against entries of a large failure domain that rank a caller lower than those of a small one, each of
// which sees a larger part of the caller's flows.
func TestEntryShare(t *testing.T) {
	now := time.Now()
	n := New(Config{Self: addr(0), Role: msgs.Entry, Domain: "zg-a", Log: belief.New(), Send: func(netip.Addr, []byte) {}})
	assert.Equal(t, n.EntryShare(), 1.0)
	add := func(i int, m msgs.Beacon) { n.HandleBeacon(now, addr(i), m) }
	add(1, msgs.Beacon{Role: msgs.Entry, Domain: belief.DomainHash("zg-a")})
	for i := range 8 {
		add(10+i, msgs.Beacon{Role: msgs.Entry, Domain: belief.DomainHash("zg-b")})
		add(30+i, msgs.Beacon{Role: msgs.Agent, Domain: belief.DomainHash("zg-c")})
	}
	assert.Equal(t, n.EntryShare(), 2.0/8)
	for i := range 6 {
		add(10+i, msgs.Beacon{Role: msgs.Entry, Domain: belief.DomainHash("zg-b"), Leaving: true})
	}
	assert.Equal(t, n.EntryShare(), 1.0)
}
