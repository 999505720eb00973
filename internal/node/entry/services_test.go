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

// A server leaves by its own word, ends, and is started again under the same ID. The
// entry still took it for leaving and gave it no flow; so it sent no frame, and nothing
// ever corrected the entry. The belief must end some time after the last such word.
func TestLeavingIsNotBelievedForEver(t *testing.T) {
	now := time.Unix(1000, 0)
	s := twoServers(now)
	s.heard(now, &frame.Header{Server: 1, Flags: frame.Leaving})
	assert.Assert(t, s.now.Load().table.Current[0].Leaving)
	now = now.Add(leavingFor / 2)
	s.heard(now, &frame.Header{Server: 1, Flags: frame.Leaving}) // it still has feeds
	now = now.Add(leavingFor - 1)
	s.refresh(now)
	assert.Assert(t, s.now.Load().table.Current[0].Leaving)
	s.refresh(now.Add(1))
	assert.Assert(t, !s.now.Load().table.Current[0].Leaving)
}

// Servers are replaced for months. What is believed of one that the document no longer
// has must not stay in memory.
func TestBeliefsAreBoundedByTheDocument(t *testing.T) {
	now := time.Unix(1000, 0)
	s := twoServers(now)
	for id := range uint32(1000) {
		s.heard(now, &frame.Header{Server: id, Flags: frame.Leaving})
	}
	assert.Equal(t, len(s.leaving), 2)
}

// The kernel reports an error for one read. The address used to be read no more, and
// each caller lost the datagrams that the fabric sent to this entry, for good.
func TestReadErrorsEndOnlyAClosedDoor(t *testing.T) {
	assert.Assert(t, !closed(&net.OpError{Op: "read", Err: net.UnknownNetworkError("refused")}))
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	_, _, err = conn.ReadFromUDPAddrPort(make([]byte, 1))
	assert.Assert(t, closed(err))
}
