package prober

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/flow/msgs"
)

func addr(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}) }

// network connects nodes; messages on cut paths are lost.
type network struct {
	nodes map[netip.Addr]*Node
	cut   map[[2]netip.Addr]bool
	sent  int
}

func newNetwork(size int) *network {
	w := &network{nodes: map[netip.Addr]*Node{}, cut: map[[2]netip.Addr]bool{}}
	for i := range size {
		self := addr(i)
		w.nodes[self] = New(self, func(to netip.Addr, message []byte) { w.deliver(self, to, message) })
	}
	return w
}

func (w *network) deliver(from, to netip.Addr, message []byte) {
	w.sent++
	n := w.nodes[to]
	if n == nil || w.cut[[2]netip.Addr{from, to}] || w.cut[[2]netip.Addr{to, from}] {
		return
	}
	h, rest, err := msgs.ReadHeader(message)
	if err != nil {
		panic(err)
	}
	switch h.Kind {
	case msgs.KindPing:
		m, _ := msgs.ReadPing(h, rest)
		n.HandleProbe(from, m)
	case msgs.KindPingAck:
		m, _ := msgs.ReadPingAck(h, rest)
		n.HandleAck(time.Time{}, m)
	}
}

// probe reports whether node 0 learns that a process is alive.
func (w *network) probe(target netip.Addr, helpers ...netip.Addr) (alive bool) {
	w.nodes[addr(0)].OnAlive = func(_ time.Time, process netip.Addr) { alive = alive || process == target }
	w.nodes[addr(0)].Probe(target, helpers, 0)
	return alive
}

func TestLiveProcessAnswers(t *testing.T) {
	w := newNetwork(4)
	assert.Assert(t, w.probe(addr(1)))
}

// Guards against a broken path between two processes that passes for a failure: the requester would reset
// flows of a server that still serves its callers.
func TestHelpersReachTargetOverBrokenPath(t *testing.T) {
	w := newNetwork(4)
	w.cut[[2]netip.Addr{addr(0), addr(1)}] = true
	assert.Assert(t, !w.probe(addr(1)))
	assert.Assert(t, w.probe(addr(1), addr(2), addr(3)))
}

// Guards against helpers that answer for a process that is down, and against probes that are forwarded
// without end.
func TestProbesOfADownProcessEnd(t *testing.T) {
	w := newNetwork(4)
	delete(w.nodes, addr(1))
	assert.Assert(t, !w.probe(addr(1), addr(2), addr(3)))
	assert.Equal(t, w.sent, 5, "three probes, two of which are forwarded once")
}
