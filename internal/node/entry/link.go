package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"mangowinch/internal/flow/frame"
)

// Frames that belong to no service in force are counted for the entry as a whole.
var (
	strayFrames = metrics.GetOrCreateCounter(`mangowinch_entry_dropped_total{service="",reason="service"}`)
	shortFrames = metrics.GetOrCreateCounter(`mangowinch_entry_dropped_total{service="",reason="short"}`)
)

// readLink reads agents' frames until ctx ends.
func (e *Entry) readLink(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "read link") }()
	var buffer [frame.MaxSize + readSize]byte
	var h frame.Header
	for {
		n, from, err := e.link.ReadFromUDPAddrPort(buffer[:])
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		e.handleFrame(buffer[:n], &h, from)
	}
}

func (e *Entry) handleFrame(b []byte, h *frame.Header, from netip.AddrPort) {
	tag, err := frame.Service(b)
	if err != nil {
		shortFrames.Inc()
		return
	}
	s := (*e.tags.Load())[tag]
	if s == nil {
		strayFrames.Inc()
		return
	}
	v := s.current.Load()
	payload, err := frame.Parse(b, v.ring, h)
	if err != nil {
		s.count.forged.Inc()
		return
	}
	now := time.Now()
	if h.Revision > v.revision {
		e.notifyNewer(now, s, from, h.Revision)
	}
	s.recordFrame(now, h)
	switch h.Kind {
	case frame.Return:
		s.sendToCaller(h.Caller, payload)
	case frame.Probe:
		e.echo(s, v, h, from)
	default:
		s.count.forged.Inc()
	}
}

// sendToCaller sends a server's datagram to its caller from the service's address.
func (s *service) sendToCaller(caller netip.AddrPort, payload []byte) {
	d := s.socket.Load()
	if d == nil {
		s.count.unsent.Inc()
		return
	}
	if _, err := d.conn.WriteToUDPAddrPort(payload, caller); err != nil {
		s.count.unsent.Inc()
		return
	}
	s.count.returned.Inc()
}

// echo answers a probe to the address that it came from, so that the answer proves that both directions
// work.
func (e *Entry) echo(s *service, v *snapshot, probe *frame.Header, from netip.AddrPort) {
	answer := frame.Header{
		Kind:     frame.Echo,
		Flags:    e.flags(),
		Service:  s.tag,
		Revision: v.revision,
		Entry:    e.settings.Entry.Link,
		Server:   probe.Server,
		Nonce:    probe.Nonce,
	}
	b := frame.Append(nil, v.ring.Current(), &answer)
	if _, err := e.link.WriteToUDPAddrPort(b, from); err != nil {
		s.count.unsent.Inc()
		return
	}
	s.count.echoes.Inc()
}
