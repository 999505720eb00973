package local

import (
	"net/netip"
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
)

// probeFor is how long a try at the own server is remembered.
const probeFor = time.Second

// probe is a packet that the own server was tried with.
type probe struct {
	home netip.Addr
	at   time.Time
}

// probe tries the own server with a packet of a flow that the agent doesn't know. Whoever
// doesn't hold the flow returns the packet.
func (a *Agent) probe(now time.Time, home netip.Addr, f segs.Flow, packet []byte) {
	a.probes[f] = probe{home: home, at: now}
	a.Wire.ToServer(packet)
	probes.Inc()
}

// probed takes a packet that the server returned. It says whether the packet was a try.
func (a *Agent) probed(now time.Time, s *segs.Segment) bool {
	p, ok := a.probes[s.Flow]
	if !ok {
		return false
	}
	delete(a.probes, s.Flow)
	a.tellTried(now, p.home, msgs.ProbeResult{Flow: s.Flow})
	return true
}

// tellTried tells the home that searches for a flow whether the own server holds it.
func (a *Agent) tellTried(now time.Time, home netip.Addr, m msgs.ProbeResult) {
	if home == a.Self {
		a.triedAt(now, a.Self, m)
		return
	}
	m.Header = a.head()
	a.buf = m.AppendTo(a.buf[:0])
	a.Wire.ToPeer(home, a.buf)
}

func (a *Agent) expireProbes(now time.Time) {
	for f, p := range a.probes {
		if now.Sub(p.at) > probeFor {
			delete(a.probes, f)
		}
	}
}
