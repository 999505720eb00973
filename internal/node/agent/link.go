package agent

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/flow/frame"
	"mangowinch/internal/flow/packet"
	"mangowinch/internal/flow/paths"
	"mangowinch/internal/flow/route"
	"mangowinch/internal/flow/table"
	"mangowinch/internal/node/sock"
)

const (
	// readSize is the largest frame read, in bytes.
	readSize = 2048
	// maxOpening bounds the flows that are remembered while they open: ten times the
	// connections that an agent may hold.
	maxOpening = 20_000
	// maxCallers bounds the callers whose return path is remembered, likewise.
	maxCallers = 20_000
)

// link is the agent's UDP socket for frames of entries and other agents.
type link struct {
	agent      *Agent
	conn       *net.UDPConn
	side       *side // nil if the settings have no sides
	peers      *sock.Retiring
	packetConn *packetConn

	// mu guards table and paths, which are used by the readers, the probes and the sender
	// of every connection.
	mu    sync.Mutex
	table *table.Table
	paths *paths.Selector
}

func newLink(a *Agent) *link {
	l := &link{agent: a, paths: paths.New(maxCallers)}
	l.packetConn = newPacketConn(l)
	return l
}

// open opens the sockets. From then on the kernel delivers datagrams to this process, so
// a successor must not open them before it has a document with the keys to read them.
func (l *link) open(ctx context.Context) (err error) {
	l.mu.Lock() // /status may read the fields already
	defer l.mu.Unlock()
	settings := l.agent.settings.Agent
	l.table = table.New(l.agent.current.Load().own.ID, maxOpening, frame.MaxHops)
	if len(settings.Sides) > 0 {
		if l.side, err = openSide(ctx, settings.Sides); err != nil {
			return err
		}
	}
	l.conn, err = sock.UDP(ctx, settings.Listen, l.addressUse())
	return err
}

// addressUse returns whether a successor may open the agent's address while this process
// holds it.
func (l *link) addressUse() sock.Use { return sock.Use(len(l.agent.settings.Agent.Sides) > 0) }

// close closes the sockets, which ends their readers.
func (l *link) close() error {
	err := l.conn.Close()
	if l.side != nil {
		err = errors.CombineErrors(err, l.side.conn.Close())
	}
	return err
}

// read processes the frames of one socket until ctx ends.
func (l *link) read(ctx context.Context, conn *net.UDPConn) (err error) {
	defer func() { err = errors.Wrap(err, "read link") }()
	buffer := make([]byte, readSize)
	r := reader{link: l, fromSide: conn != l.conn}
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		r.handleFrame(time.Now(), buffer[:n], from)
	}
}

// reader processes the frames of one socket. It belongs to one goroutine.
type reader struct {
	link     *link
	fromSide bool // the socket is the side's own: it receives the other side's frames and echoes of this side's probes
	header   frame.Header
}

// handleFrame processes one frame.
func (r *reader) handleFrame(now time.Time, b []byte, from netip.AddrPort) {
	l, h := r.link, &r.header
	a := l.agent
	v := a.current.Load()
	payload, err := frame.Parse(b, v.ring, h)
	if err != nil {
		a.count.countUnreadable(err)
		return
	}
	if h.Revision > v.revision {
		a.notifyNewer(now, h.Entry, h.Revision)
	}
	switch h.Kind {
	case frame.Echo:
		l.mu.Lock()
		l.paths.MarkAlive(now, h.Entry, h.Flags&frame.Leaving != 0)
		l.mu.Unlock()
	case frame.Forward:
		r.handleDatagram(now, v, b, payload)
	case frame.Probe:
		if r.fromSide && from == l.side.other {
			l.side.incarnation.Store(h.Nonce)
			l.side.lastSeen.Set(now)
			return
		}
		a.count.kind.Inc()
	default:
		a.count.kind.Inc()
	}
}

// handleDatagram delivers, forwards or drops a caller's datagram; b is its whole frame.
func (r *reader) handleDatagram(now time.Time, v *snapshot, b, payload []byte) {
	l, h := r.link, &r.header
	a := l.agent
	p, err := packet.Parse(payload)
	if err != nil {
		a.count.short.Inc()
		return
	}
	owner, err := v.ring.Open(p.Destination)
	named := err == nil
	if !named && !p.Long {
		a.count.foreign.Inc()
		return
	}
	key := route.Key(p.Destination)
	if !r.fromSide && l.belongsToOther(now, owner, named, key) {
		l.forwardToOther(b)
		return
	}
	d := table.Datagram{
		Key:         key,
		NamesServer: named,
		Server:      owner.Server,
		Candidates:  h.Candidates,
		HasFormer:   h.Flags&frame.HasFormer != 0,
		Stage:       stage(h.Flags),
		Hops:        int(h.Hops),
	}
	l.mu.Lock()
	l.paths.Received(now, h.Entry, h.Caller, h.Flags&frame.Leaving != 0)
	decision := l.table.Decide(now, d, a.availability.accepting())
	l.mu.Unlock()
	switch decision.Verdict {
	case table.Keep:
		l.packetConn.deliver(payload, h.Caller)
	case table.Forward:
		l.forward(v, h, decision, payload)
	case table.Drop:
		a.count.countDropped(decision.Reason)
	}
}

func stage(f frame.Flag) table.Stage {
	switch {
	case f&frame.IfOwner != 0:
		return table.IfOwner
	case f&frame.NoOwner != 0:
		return table.NoOwner
	default:
		return table.Fresh
	}
}

// forward sends a datagram to another agent of the service.
func (l *link) forward(v *snapshot, h *frame.Header, d table.Decision, payload []byte) {
	a := l.agent
	to, ok := v.document.Server(d.Server)
	if !ok {
		a.count.countDropped(table.UnknownServer)
		return
	}
	next := *h
	next.Hops++
	next.Server = d.Server
	next.Flags = h.Flags &^ (frame.IfOwner | frame.NoOwner)
	switch d.Stage {
	case table.IfOwner:
		next.Flags |= frame.IfOwner
	case table.NoOwner:
		next.Flags |= frame.NoOwner
	}
	b := make([]byte, 0, frame.MaxSize+len(payload))
	b = frame.Append(b, v.ring.Current(), &next)
	b = append(b, payload...)
	if _, err := l.conn.WriteToUDPAddrPort(b, to.Agent); err != nil {
		a.count.unsent.Inc()
		return
	}
	a.count.passed.Inc()
}

// send sends a datagram for the caller to an entry.
func (l *link) send(payload []byte, caller netip.AddrPort) {
	a := l.agent
	l.mu.Lock()
	via, ok := l.paths.Choose(time.Now(), caller)
	l.mu.Unlock()
	if !ok {
		a.count.noPath.Inc()
		return
	}
	v := a.current.Load()
	h := l.ownHeader(v, frame.Return)
	h.Caller = caller
	h.Entry = via
	b := make([]byte, 0, frame.MaxSize+len(payload))
	b = frame.Append(b, v.ring.Current(), &h)
	b = append(b, payload...)
	if _, err := l.conn.WriteToUDPAddrPort(b, via); err != nil {
		a.count.unsent.Inc()
		return
	}
	a.count.returned.Inc()
}

// ownHeader returns the header of a frame that this agent originates.
func (l *link) ownHeader(v *snapshot, kind frame.Kind) frame.Header {
	h := frame.Header{
		Kind:     kind,
		Service:  v.ring.Service,
		Revision: v.revision,
		Server:   v.own.ID,
		Nonce:    l.agent.incarnation,
		Load:     uint16(l.agent.load.Load()),
	}
	if l.reportsLeaving(time.Now()) {
		h.Flags |= frame.Leaving
	}
	return h
}

// keepPaths probes the entries in use that have become idle, updates the demand, and
// sends heartbeats to the other side, until ctx ends.
func (l *link) keepPaths(ctx context.Context) {
	t := time.NewTicker(paths.ProbeEvery)
	defer t.Stop()
	var lastHeartbeat time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			l.agent.load.Store(l.agent.demand.measure(now, l.agent.current.Load().own.Slots))
			l.probe(now)
			if now.Sub(lastHeartbeat) >= heartbeatInterval {
				lastHeartbeat = now
				l.sendHeartbeat(l.agent.current.Load())
			}
		}
	}
}

// probe probes the idle entries.
func (l *link) probe(now time.Time) {
	l.mu.Lock()
	idle := l.paths.Probes(now)
	l.mu.Unlock()
	// An entry sends its echo to the source of the probe. On a socket that both sides
	// share, the other side might receive the echo; the side's own socket is not shared.
	conn := l.conn
	if l.side != nil {
		conn = l.side.conn
	}
	v := l.agent.current.Load()
	for _, e := range idle {
		h := l.ownHeader(v, frame.Probe)
		h.Entry = e
		b := frame.Append(nil, v.ring.Current(), &h)
		if _, err := conn.WriteToUDPAddrPort(b, e); err != nil {
			l.agent.count.unsent.Inc()
			continue
		}
		l.agent.count.probes.Inc()
	}
}
