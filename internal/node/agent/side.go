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
	// sideEvery is how often two sides tell each other that they run.
	sideEvery = 200 * time.Millisecond
	// sideLost is how long a side may be silent before the other takes its datagrams
	// for itself, so that QUIC tells their callers that the flows are gone.
	sideLost = time.Second
	// doubtAgain is when a silent side is given its time once more: a successor may
	// have been started meanwhile, whose first greeting was lost.
	doubtAgain = 10 * time.Second
)

// side connects an agent's process with the one that replaces it, or that it
// replaces. Feeds last for hours, and a backend server's agent must be replaceable
// meanwhile: the successor opens the same address, takes what is new, and the old
// process keeps its flows until they end. The kernel gives each entry's datagrams to one
// of the two, whichever it is; connection IDs tell whose they are.
type side struct {
	index uint8 // position in the settings; connection IDs carry it
	conn  *net.UDPConn
	other netip.AddrPort
	heard stamp.Time // the other's last sign of life
	// incarnation is the other process's, once it is heard.
	incarnation atomic.Uint64
	doubt       stamp.Time // when its silence was first noticed; never if it is heard
}

// openSide takes the first address that is free. Without addresses there is no side.
func openSide(ctx context.Context, sides []netip.AddrPort) (s *side, err error) {
	for i, own := range sides {
		conn, failed := sock.UDP(ctx, own, sock.Exclusive)
		if failed == nil {
			return &side{index: uint8(i), conn: conn, other: sides[len(sides)-1-i]}, nil
		}
		err = errors.CombineErrors(err, failed)
	}
	return nil, errors.Wrap(err, "both sides are taken")
}

// alive says whether the other process was heard lately.
func (s *side) alive(now time.Time) bool {
	return s != nil && s.heard.Since(now) < sideLost
}

// mayLive says whether the other process may run, as long as its silence is not
// long enough to be sure. A process that has just started has not heard the other
// yet; were the other's datagrams taken for lost flows' in that moment, QUIC would
// reset the very flows that the replacement is to keep.
func (s *side) mayLive(now time.Time) bool {
	if s == nil {
		return false
	}
	if s.alive(now) {
		s.doubt.Clear()
		return true
	}
	since := s.doubt.Since(now)
	if since > doubtAgain {
		s.doubt.Set(now)
		return true
	}
	return since < sideLost
}

// greet tells the other process that this one runs.
func (l *link) greet(v *snapshot) {
	if l.side == nil {
		return
	}
	h := l.own(v, frame.Probe)
	b := frame.Append(nil, v.ring.Current(), &h)
	// Nobody may be there; that is the usual case.
	_, _ = l.side.conn.WriteToUDPAddrPort(b, l.side.other)
}

// isOther says whether a datagram is the other side's. A leaving process also gives it
// flows that it has not begun, so that its successor opens them.
func (l *link) isOther(now time.Time, owner ident.Owner, named bool, key uint64) bool {
	if named {
		return l.side != nil && owner.Side != l.side.index && owner.Server == l.agent.now.Load().own.ID && l.side.mayLive(now)
	}
	if l.agent.standing.accepting() || !l.side.alive(now) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.table.Owns(now, key)
}

// giveOther hands a frame to the other side as it came.
func (l *link) giveOther(b []byte) {
	if _, err := l.side.conn.WriteToUDPAddrPort(b, l.side.other); err != nil {
		l.agent.count.unsent.Inc()
		return
	}
	l.agent.count.sided.Inc()
}

// beside names the other process, for the request keys that it owns.
func (l *link) beside() (other once.Other, runs bool) {
	if !l.side.alive(time.Now()) {
		return once.Other{}, false
	}
	return once.Other{Incarnation: l.side.incarnation.Load(), Address: l.side.other}, true
}

// listenPeers opens what other processes connect to: the agent's address, which a
// successor shares, and the side's own, which it does not.
func (l *link) listenPeers(ctx context.Context) (listeners []net.Listener, err error) {
	main, err := sock.TCP(ctx, l.agent.settings.Agent.Listen, l.use())
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

// leavePeers gives the agent's address to the successor, if there is one: what others
// connect to from now on takes work and speaks for the server. What is connected stays.
func (l *link) leavePeers(now time.Time) {
	if !l.side.alive(now) {
		return
	}
	if err := l.peers.Retire(); err != nil {
		l.agent.log.Error().Err(err).Msg("address given to successor")
	}
}

// leaves says whether the server takes no new work, as far as entries are to know.
// That this process is being stopped says nothing of a server whose agent's successor
// already runs; all other causes are the server's.
func (l *link) leaves(now time.Time) bool {
	s := &l.agent.standing
	return !s.accepting() && (!s.only(bySignal) || !l.side.alive(now))
}

// index is the side that connection IDs carry.
func (l *link) index() uint8 {
	if l.side == nil {
		return 0
	}
	return l.side.index
}
