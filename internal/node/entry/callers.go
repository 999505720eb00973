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
	// readSize is the largest datagram read, in bytes. Larger ones are truncated and then dropped as too
	// large.
	readSize = 2048
	// readPause is the pause after a failed read, so that a socket that always fails doesn't use up a
	// processor.
	readPause = 10 * time.Millisecond
	// maxCandidates is how many servers a flow's first datagrams name: the selected one, and two more for
	// agents that are leaving.
	maxCandidates = 3
)

// callerReader forwards the datagrams of one service socket. It is used by one goroutine.
type callerReader struct {
	entry        *Entry
	buffer       [frame.MaxSize + readSize]byte
	header       [frame.MaxSize]byte
	candidateIDs [frame.MaxCandidates]uint32
	frame        frame.Header
}

// readSocket forwards what callers send to one address until the socket is closed.
func (e *Entry) readSocket(d *serviceSocket) {
	w := &callerReader{entry: e}
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(w.buffer[frame.MaxSize:])
		if err != nil {
			if isClosed(err) {
				return
			}
			// The kernel may report an error that belongs to an earlier datagram. If the loop ended here,
			// this entry would receive nothing more at the address, and nothing would show it.
			d.owner.Load().count.unread.Inc()
			time.Sleep(readPause)
			continue
		}
		s := d.owner.Load()
		s.count.received.Inc()
		w.forward(time.Now(), s, s.current.Load(), from, n)
	}
}

// isClosed reports whether a read failed because this process closed the socket.
func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

// forward sends the datagram of n bytes in the buffer to its server.
func (w *callerReader) forward(now time.Time, s *service, v *snapshot, from netip.AddrPort, n int) {
	w.entry.lastDatagram.Set(now)
	datagram := w.buffer[frame.MaxSize:][:n]
	if n > frame.MaxPayload {
		s.count.size.Inc()
		return
	}
	h, err := packet.Parse(datagram)
	if err != nil {
		s.count.countInvalid(err)
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
	if !w.selectServer(now, s, v, datagram, h) {
		return
	}
	w.send(s, v, n)
}

// selectServer selects the server by the connection ID or by rank. It returns false if the datagram is
// dropped.
func (w *callerReader) selectServer(now time.Time, s *service, v *snapshot, datagram []byte, h packet.Header) bool {
	owner, err := v.ring.Open(h.Destination)
	if err == nil {
		w.frame.Server = owner.Server
		s.count.named.Inc()
		return true
	}
	if !h.Long {
		// A short header carries a connection ID that an agent issued, or is damaged or forged.
		s.count.foreign.Inc()
		return false
	}
	if err := packet.CheckOpening(datagram, h); err != nil {
		s.count.countInvalid(err)
		return false
	}
	c := v.table.Choose(w.candidateIDs[:0], route.Key(h.Destination), maxCandidates)
	if len(c.Candidates) == 0 {
		s.count.noServer.Inc()
		return false
	}
	w.frame.Server = c.Server
	w.frame.Candidates = c.Candidates
	if c.HasFormer {
		w.frame.Flags |= frame.HasFormer
	}
	s.count.ranked.Inc()
	s.recordOpened(now, c.Server)
	return true
}

// send writes the header right before the datagram in the buffer, so that the datagram is not copied.
func (w *callerReader) send(s *service, v *snapshot, n int) {
	agent, ok := v.agents[w.frame.Server]
	if !ok {
		// The server was removed from the document, and its flows have ended with it.
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

// countInvalid counts a datagram that can't be read.
func (c *counters) countInvalid(err error) {
	switch {
	case errors.Is(err, packet.ErrOpening):
		c.smallOpener.Inc()
	default:
		c.short.Inc()
	}
}
