package entry

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/flow/frame"
)

func twoServers(now time.Time) *service {
	s := newService("tracing-core")
	d := &docs.Service{Servers: []docs.Server{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}}}
	s.weights.SetServers(shiftServers(d))
	s.publish(now, &snapshot{document: d, agents: agents(d)})
	return s
}

// Guards against a server that counts as leaving for ever. The server reports that it leaves, ends, and
// restarts under the same ID. While the entry sends it no flow, the server sends no frame that would
// correct the entry, so the state must expire.
func TestLeavingExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	s := twoServers(now)
	s.recordFrame(now, &frame.Header{Server: 1, Flags: frame.Leaving})
	assert.Assert(t, s.current.Load().table.Current[0].Leaving)
	now = now.Add(leavingFor / 2)
	s.recordFrame(now, &frame.Header{Server: 1, Flags: frame.Leaving}) // the server still has feeds
	now = now.Add(leavingFor - 1)
	s.refresh(now)
	assert.Assert(t, s.current.Load().table.Current[0].Leaving)
	s.refresh(now.Add(1))
	assert.Assert(t, !s.current.Load().table.Current[0].Leaving)
}

// Guards against state of servers that the document no longer has: servers are replaced for months, and the
// memory must stay bounded.
func TestServerStateIsBoundedByTheDocument(t *testing.T) {
	now := time.Unix(1000, 0)
	s := twoServers(now)
	for id := range uint32(1000) {
		s.recordFrame(now, &frame.Header{Server: id, Flags: frame.Leaving})
	}
	assert.Equal(t, len(s.leavingReported), 2)
}

// Guards against a read loop that ends on a transient error from the kernel. The entry would read the
// address no more, and every datagram that the fabric sends to it would be lost for good.
func TestOnlyAClosedSocketEndsTheReadLoop(t *testing.T) {
	assert.Assert(t, !isClosed(&net.OpError{Op: "read", Err: net.UnknownNetworkError("refused")}))
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	_, _, err = conn.ReadFromUDPAddrPort(make([]byte, 1))
	assert.Assert(t, isClosed(err))
}
