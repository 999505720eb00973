package agent

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/flow/frame"
	"mangowinch/internal/flow/ident"
	"mangowinch/internal/node/sock"
	"mangowinch/internal/node/stamp"
	"mangowinch/internal/work/once"
)

const (
	// heartbeatInterval is how often the two sides send each other a heartbeat.
	heartbeatInterval = 200 * time.Millisecond
	// sideTimeout is how long a side may be unresponsive before the other one handles its
	// datagrams itself, so that QUIC notifies their callers that the flows are gone.
	sideTimeout = time.Second
	// suspectAgain is after how long an unresponsive side is granted sideTimeout once
	// more: a successor may have been started meanwhile, and its first heartbeat lost.
	suspectAgain = 10 * time.Second
)

// side connects an agent's process with the one that replaces it or that it replaces.
// Feeds last for hours, and a backend server's agent must be replaceable meanwhile: the
// successor opens the same address and takes everything new, and the old process keeps
// its flows until they end. The kernel delivers the datagrams of each entry to either of
// the two processes; the connection IDs identify the side that a datagram belongs to.
type side struct {
	index    uint8 // position in the settings; part of connection IDs
	conn     *net.UDPConn
	other    netip.AddrPort
	lastSeen stamp.Time // last heartbeat of the other process
	// incarnation is that of the other process, once a heartbeat has been received.
	incarnation    atomic.Uint64
	suspectedSince stamp.Time // when the other process was first found unresponsive; cleared while it is alive
}

// openSide opens the first address that is free. Without addresses it returns nil.
func openSide(ctx context.Context, sides []netip.AddrPort) (s *side, err error) {
	for i, own := range sides {
		conn, failed := sock.UDP(ctx, own, sock.Exclusive)
		if failed == nil {
			return &side{index: uint8(i), conn: conn, other: sides[len(sides)-1-i]}, nil
		}
		err = errors.CombineErrors(err, failed)
	}
	return nil, errors.Wrap(err, "both side addresses are in use")
}

// alive reports whether a heartbeat of the other process was received within sideTimeout.
func (s *side) alive(now time.Time) bool {
	return s != nil && s.lastSeen.Since(now) < sideTimeout
}

// mayBeAlive reports whether the other process may be running: it is alive, or it has not
// been unresponsive for long enough to be sure. A process that has just started has not
// received a heartbeat yet. If it handled the other side's datagrams at that moment as
// those of lost flows, QUIC would reset the very flows that the replacement is to
// preserve.
func (s *side) mayBeAlive(now time.Time) bool {
	if s == nil {
		return false
	}
	if s.alive(now) {
		s.suspectedSince.Clear()
		return true
	}
	since := s.suspectedSince.Since(now)
	if since > suspectAgain {
		s.suspectedSince.Set(now)
		return true
	}
	return since < sideTimeout
}

// sendHeartbeat notifies the other process that this one is running.
func (l *link) sendHeartbeat(v *snapshot) {
	if l.side == nil {
		return
	}
	h := l.ownHeader(v, frame.Probe)
	b := frame.Append(nil, v.ring.Current(), &h)
	// Mostly there is no other process, so an error is normal.
	_, _ = l.side.conn.WriteToUDPAddrPort(b, l.side.other)
}

// belongsToOther reports whether a datagram is the other side's. A leaving process also
// gives the other side the datagrams of flows that it does not own, so that its successor
// opens them.
func (l *link) belongsToOther(now time.Time, owner ident.Owner, named bool, key uint64) bool {
	if named {
		return l.side != nil && owner.Side != l.side.index && owner.Server == l.agent.current.Load().own.ID && l.side.mayBeAlive(now)
	}
	if l.agent.availability.accepting() || !l.side.alive(now) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.table.Owns(now, key)
}

// forwardToOther sends a frame unchanged to the other side.
func (l *link) forwardToOther(b []byte) {
	if _, err := l.side.conn.WriteToUDPAddrPort(b, l.side.other); err != nil {
		l.agent.count.unsent.Inc()
		return
	}
	l.agent.count.sided.Inc()
}

// otherProcess returns the other process, for the request keys that it owns, and reports
// whether it is alive.
func (l *link) otherProcess() (other once.Process, alive bool) {
	if !l.side.alive(time.Now()) {
		return once.Process{}, false
	}
	return once.Process{Incarnation: l.side.incarnation.Load(), Address: l.side.other}, true
}

// listenPeers opens the listeners for other processes: the agent's address, which a
// successor shares, and the side's own address, which it does not share.
func (l *link) listenPeers(ctx context.Context) (listeners []net.Listener, err error) {
	main, err := sock.TCP(ctx, l.agent.settings.Agent.Listen, l.addressUse())
	if err != nil {
		return nil, err
	}
	l.peers = sock.NewRetiring(main)
	if l.side == nil {
		return []net.Listener{l.peers}, nil
	}
	own := l.side.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	side, err := sock.TCP(ctx, own, sock.Exclusive)
	if err != nil {
		return nil, errors.CombineErrors(err, main.Close())
	}
	return []net.Listener{l.peers, side}, nil
}

// retirePeerListener stops listening on the agent's address if there is a successor. All
// new connections of other processes then reach the successor, which accepts work and
// reports the server's state. Existing connections stay open.
func (l *link) retirePeerListener(now time.Time) {
	if !l.side.alive(now) {
		return
	}
	if err := l.peers.Retire(); err != nil {
		l.agent.log.Error().Err(err).Msg("cannot retire the peer listener in favour of the successor")
	}
}

// reportsLeaving reports whether frames to entries carry the flag Leaving. That this
// process is being stopped is not the state of the server while a successor is running;
// all other causes are.
func (l *link) reportsLeaving(now time.Time) bool {
	s := &l.agent.availability
	return !s.accepting() && (!s.onlyCause(bySignal) || !l.side.alive(now))
}

// index returns the side that connection IDs carry.
func (l *link) index() uint8 {
	if l.side == nil {
		return 0
	}
	return l.side.index
}
