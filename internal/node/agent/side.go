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
)

const (
	// sideEvery is how often two sides tell each other that they run.
	sideEvery = 200 * time.Millisecond
	// sideLost is how long a side may be silent before the other takes its datagrams
	// for itself, so that QUIC tells their callers that the flows are gone.
	sideLost = time.Second
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
	heard atomic.Int64 // Unix nanoseconds of the other's last sign of life
}

// openSide takes the first address that is free. Without addresses there is no side.
func openSide(ctx context.Context, sides []netip.AddrPort) (s *side, err error) {
	for i, own := range sides {
		conn, failed := sock.UDP(ctx, own, sock.Alone)
		if failed == nil {
			return &side{index: uint8(i), conn: conn, other: sides[len(sides)-1-i]}, nil
		}
		err = errors.CombineErrors(err, failed)
	}
	return nil, errors.Wrap(err, "both sides are taken")
}

// alive says whether the other process runs.
func (s *side) alive(now time.Time) bool {
	return s != nil && now.UnixNano()-s.heard.Load() < int64(sideLost)
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
	if !l.side.alive(now) {
		return false
	}
	if named {
		return owner.Server == l.agent.now.Load().own.ID && owner.Side != l.side.index
	}
	if l.agent.standing.accepting() {
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

// index is the side that connection IDs carry.
func (l *link) index() uint8 {
	if l.side == nil {
		return 0
	}
	return l.side.index
}
