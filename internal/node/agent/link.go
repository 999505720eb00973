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
	// maxOpening bounds the flows remembered while they open: ten times the
	// connections an agent may hold.
	maxOpening = 20_000
	// maxCallers bounds the callers whose way back is remembered, likewise.
	maxCallers = 20_000
)

// link is the agent's UDP socket towards entries and other agents.
type link struct {
	agent *Agent
	conn  *net.UDPConn
	side  *side // nil without sides in the settings
	peers *sock.Retiring
	wire  *wire

	// mu guards table and paths, which decide for the readers, the probes and
	// every connection's sender.
	mu    sync.Mutex
	table *table.Table
	paths *paths.Selector
}

func newLink(a *Agent) *link {
	l := &link{agent: a, paths: paths.New(maxCallers)}
	l.wire = newWire(l)
	return l
}

// open opens the sockets. From this moment on the kernel gives the agent datagrams,
// so that a successor must not open them before it has a document to read them by.
func (l *link) open(ctx context.Context) (err error) {
	l.mu.Lock() // /status may look already
	defer l.mu.Unlock()
	settings := l.agent.settings.Agent
	l.table = table.New(l.agent.now.Load().own.ID, maxOpening, frame.MaxHops)
	if len(settings.Sides) > 0 {
		if l.side, err = openSide(ctx, settings.Sides); err != nil {
			return err
		}
	}
	l.conn, err = sock.UDP(ctx, settings.Listen, l.use())
	return err
}

// use says whether a successor may open the agent's address beside this process.
func (l *link) use() sock.Use { return sock.Use(len(l.agent.settings.Agent.Sides) > 0) }

// close ends the readers.
func (l *link) close() error {
	err := l.conn.Close()
	if l.side != nil {
		err = errors.CombineErrors(err, l.side.conn.Close())
	}
	return err
}

// read takes the frames of one socket until ctx ends.
func (l *link) read(ctx context.Context, conn *net.UDPConn) (err error) {
	defer func() { err = errors.Wrap(err, "read link") }()
	buffer := make([]byte, readSize)
	r := reader{link: l, bySide: conn != l.conn}
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		r.take(time.Now(), buffer[:n], from)
	}
}

// reader takes the frames of one socket. It belongs to one goroutine.
type reader struct {
	link   *link
	bySide bool // frames come from the other side, or answer what was sent by it
	header frame.Header
}

// take decides what becomes of one frame.
func (r *reader) take(now time.Time, b []byte, from netip.AddrPort) {
	l, h := r.link, &r.header
	a := l.agent
	v := a.now.Load()
	payload, err := frame.Parse(b, v.ring, h)
	if err != nil {
		a.count.refuse(err)
		return
	}
	if h.Revision > v.revision {
		a.hint(now, h.Entry, h.Revision)
	}
	switch h.Kind {
	case frame.Echo:
		l.mu.Lock()
		l.paths.MarkAlive(now, h.Entry, h.Flags&frame.Leaving != 0)
		l.mu.Unlock()
	case frame.Forward:
		r.takeDatagram(now, v, b, payload)
	case frame.Probe:
		if r.bySide && from == l.side.other {
			l.side.incarnation.Store(h.Nonce)
			l.side.heard.Set(now)
			return
		}
		a.count.kind.Inc()
	default:
		a.count.kind.Inc()
	}
}

// takeDatagram decides what becomes of a caller's datagram; b is its whole frame.
func (r *reader) takeDatagram(now time.Time, v *snapshot, b, payload []byte) {
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
	if !r.bySide && l.isOther(now, owner, named, key) {
		l.giveOther(b)
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
	decision := l.table.Decide(now, d, a.standing.accepting())
	l.mu.Unlock()
	switch decision.Verdict {
	case table.Keep:
		l.wire.deliver(payload, h.Caller)
	case table.Forward:
		l.pass(v, h, decision, payload)
	case table.Drop:
		a.count.drop(decision.Reason)
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

// pass sends a datagram on to another agent of the service.
func (l *link) pass(v *snapshot, h *frame.Header, d table.Decision, payload []byte) {
	a := l.agent
	to, ok := v.document.Server(d.Server)
	if !ok {
		a.count.drop(table.UnknownServer)
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

// send gives a datagram of this agent to an entry for the caller.
func (l *link) send(payload []byte, caller netip.AddrPort) {
	a := l.agent
	l.mu.Lock()
	via, ok := l.paths.Choose(time.Now(), caller)
	l.mu.Unlock()
	if !ok {
		a.count.noPath.Inc()
		return
	}
	v := a.now.Load()
	h := l.own(v, frame.Return)
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

// own is the header of a frame in which this agent speaks of itself.
func (l *link) own(v *snapshot, kind frame.Kind) frame.Header {
	h := frame.Header{
		Kind:     kind,
		Service:  v.ring.Service,
		Revision: v.revision,
		Server:   v.own.ID,
		Nonce:    l.agent.incarnation,
		Load:     uint16(l.agent.load.Load()),
	}
	if l.leaves(time.Now()) {
		h.Flags |= frame.Leaving
	}
	return h
}

// keepPaths probes the entries in use that have fallen quiet, until ctx ends.
func (l *link) keepPaths(ctx context.Context) {
	t := time.NewTicker(paths.ProbeEvery)
	defer t.Stop()
	var greeted time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			l.agent.load.Store(l.agent.demand.measure(now, l.agent.now.Load().own.Slots))
			l.probe(now)
			if now.Sub(greeted) >= sideEvery {
				greeted = now
				l.greet(l.agent.now.Load())
			}
		}
	}
}

func (l *link) probe(now time.Time) {
	l.mu.Lock()
	quiet := l.paths.Probes(now)
	l.mu.Unlock()
	// An entry echoes to where the probe came from. Of a shared socket the other
	// side might get the echo; the side's own socket is not shared.
	conn := l.conn
	if l.side != nil {
		conn = l.side.conn
	}
	v := l.agent.now.Load()
	for _, e := range quiet {
		h := l.own(v, frame.Probe)
		h.Entry = e
		b := frame.Append(nil, v.ring.Current(), &h)
		if _, err := conn.WriteToUDPAddrPort(b, e); err != nil {
			l.agent.count.unsent.Inc()
			continue
		}
		l.agent.count.probes.Inc()
	}
}
