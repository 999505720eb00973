package local

import (
	"net/netip"
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
)

// probeRetention is how long a probe of the local server is remembered.
const probeRetention = time.Second

// probe is a packet sent to the local server to find out whether the server holds the flow.
type probe struct {
	home netip.Addr
	at   time.Time
}

// probe sends the local server a packet of a flow that the agent does not know. A server that does not hold the
// flow returns the packet.
func (a *Agent) probe(now time.Time, home netip.Addr, f segs.Flow, packet []byte) {
	a.probes[f] = probe{home: home, at: now}
	a.Wire.ToServer(packet)
	probes.Inc()
}

// handleReturnedProbe processes a packet that the server returned. It reports whether the packet was a probe.
func (a *Agent) handleReturnedProbe(now time.Time, s *segs.Segment) bool {
	p, ok := a.probes[s.Flow]
	if !ok {
		return false
	}
	delete(a.probes, s.Flow)
	a.sendProbeResult(now, p.home, msgs.ProbeResult{Flow: s.Flow})
	return true
}

// sendProbeResult notifies the home that looks for a flow whether the local server holds it.
func (a *Agent) sendProbeResult(now time.Time, home netip.Addr, m msgs.ProbeResult) {
	if home == a.Self {
		a.handleProbeResult(now, a.Self, m)
		return
	}
	m.Header = a.head()
	a.buf = m.AppendTo(a.buf[:0])
	a.Wire.ToPeer(home, a.buf)
}

func (a *Agent) expireProbes(now time.Time) {
	for f, p := range a.probes {
		if now.Sub(p.at) > probeRetention {
			delete(a.probes, f)
		}
	}
}
