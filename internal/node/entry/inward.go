package entry

import (
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/flow/frame"
	"mangowinch/internal/flow/packet"
	"mangowinch/internal/flow/route"
)

const (
	// readSize is the largest datagram read, in bytes; larger ones are cut and
	// then dropped as too large.
	readSize = 2048
	// readPause keeps a socket that fails each time from taking a processor.
	readPause = 10 * time.Millisecond
	// candidates is how many servers a flow's first datagrams name: the choice,
	// and two more for agents that are leaving.
	candidates = 3
)

// inward forwards the datagrams of one door. It belongs to one goroutine.
type inward struct {
	entry  *Entry
	buffer [frame.MaxSize + readSize]byte
	header [frame.MaxSize]byte
	ids    [frame.MaxCandidates]uint32
	frame  frame.Header
}

// readDoor forwards what callers send to one address until the door is closed.
func (e *Entry) readDoor(d *door) {
	w := &inward{entry: e}
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(w.buffer[frame.MaxSize:])
		if err != nil {
			if closed(err) {
				return
			}
			// The kernel may report what became of an earlier datagram. Ending here
			// would make the address deaf at this entry, and nobody would notice.
			d.owner.Load().count.unread.Inc()
			time.Sleep(readPause)
			continue
		}
		s := d.owner.Load()
		s.count.received.Inc()
		w.forward(time.Now(), s, s.now.Load(), from, n)
	}
}

// closed says whether a read failed because the socket was closed here.
func closed(err error) bool { return errors.Is(err, net.ErrClosed) }

// forward sends the datagram of n bytes in the buffer to the server it belongs to.
func (w *inward) forward(now time.Time, s *service, v *snapshot, from netip.AddrPort, n int) {
	w.entry.lastUsed.Set(now)
	datagram := w.buffer[frame.MaxSize:][:n]
	if n > frame.MaxPayload {
		s.count.size.Inc()
		return
	}
	h, err := packet.Parse(datagram)
	if err != nil {
		s.count.refuse(err)
		return
	}
	w.frame = frame.Header{
		Kind:     frame.Forward,
		Flags:    w.entry.flags(),
		Service:  s.tag,
		Revision: v.revision,
		Caller:   netip.AddrPortFrom(from.Addr().Unmap(), from.Port()),
		Entry:    w.entry.settings.Entry.Link,
	}
	if !w.address(now, s, v, datagram, h) {
		return
	}
	w.send(s, v, n)
}

// address finds the server: by the connection ID, or by rank. It reports false
// when the datagram is dropped.
func (w *inward) address(now time.Time, s *service, v *snapshot, datagram []byte, h packet.Header) bool {
	owner, err := v.ring.Open(h.Destination)
	if err == nil {
		w.frame.Server = owner.Server
		s.count.named.Inc()
		return true
	}
	if !h.Long {
		// A short header names an agent's own ID, or is damaged or forged.
		s.count.foreign.Inc()
		return false
	}
	if err := packet.CheckOpening(datagram, h); err != nil {
		s.count.refuse(err)
		return false
	}
	c := v.table.Choose(w.ids[:0], route.Key(h.Destination), candidates)
	if len(c.Candidates) == 0 {
		s.count.nobody.Inc()
		return false
	}
	w.frame.Server = c.Server
	w.frame.Candidates = c.Candidates
	if c.HasFormer {
		w.frame.Flags |= frame.HasFormer
	}
	s.count.ranked.Inc()
	s.opened(now, c.Server)
	return true
}

// send puts the header right before the datagram in the buffer, so that nothing
// is copied but the header.
func (w *inward) send(s *service, v *snapshot, n int) {
	agent, ok := v.agents[w.frame.Server]
	if !ok {
		// The server has left the document. Its flows ended with it.
		s.count.unknown.Inc()
		return
	}
	header := frame.Append(w.header[:0], v.ring.Current(), &w.frame)
	start := frame.MaxSize - len(header)
	copy(w.buffer[start:], header)
	_, err := w.entry.link.WriteToUDPAddrPort(w.buffer[start:frame.MaxSize+n], agent)
	if err != nil {
		s.count.unsent.Inc()
		return
	}
	s.count.forwarded.Inc()
}

func (e *Entry) flags() frame.Flag {
	if e.leaving.Load() {
		return frame.Leaving
	}
	return 0
}

// refuse counts a datagram that cannot be read.
func (c *counters) refuse(err error) {
	switch {
	case errors.Is(err, packet.ErrOpening):
		c.opener.Inc()
	default:
		c.short.Inc()
	}
}
