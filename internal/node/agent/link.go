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
)

const (
	// socketBuffer is asked of the kernel, in bytes.
	socketBuffer = 4 << 20
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
	wire  *wire

	// mu guards table and paths, which decide for the reader, the probes and
	// every connection's sender.
	mu    sync.Mutex
	table *table.Table
	paths *paths.Book
}

func newLink(a *Agent) (l *link, err error) {
	defer func() { err = errors.Wrapf(err, "open UDP %s", a.settings.Agent.Listen) }()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a.settings.Agent.Listen))
	if err != nil {
		return nil, err
	}
	// The kernel may grant less; that is no failure.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	l = &link{agent: a, conn: conn, paths: paths.New(maxCallers)}
	l.wire = newWire(l)
	return l, nil
}

// read takes frames until ctx ends.
func (l *link) read(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "read link") }()
	l.mu.Lock()
	l.table = table.New(l.agent.now.Load().own.ID, maxOpening, frame.MaxHops)
	l.mu.Unlock()
	buffer := make([]byte, readSize)
	var h frame.Header
	for {
		n, _, err := l.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		l.take(time.Now(), buffer[:n], &h)
	}
}

// take decides what becomes of one frame.
func (l *link) take(now time.Time, b []byte, h *frame.Header) {
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
		l.paths.Sign(now, h.Entry, h.Flags&frame.Leaving != 0)
		l.mu.Unlock()
	case frame.Forward:
		l.takeDatagram(now, v, h, payload)
	default:
		a.count.kind.Inc()
	}
}

func (l *link) takeDatagram(now time.Time, v *snapshot, h *frame.Header, payload []byte) {
	a := l.agent
	p, err := packet.Parse(payload)
	if err != nil {
		a.count.short.Inc()
		return
	}
	server, err := v.ring.Open(p.Destination)
	named := err == nil
	if !named && !p.Long {
		a.count.foreign.Inc()
		return
	}
	d := table.Datagram{
		Key:        route.Key(p.Destination),
		Named:      named,
		Server:     server,
		Candidates: h.Candidates,
		Asked:      h.Flags&frame.Former != 0,
		Stage:      stage(h.Flags),
		Hops:       int(h.Hops),
	}
	l.mu.Lock()
	l.paths.Heard(now, h.Entry, h.Caller, h.Flags&frame.Leaving != 0)
	decision := l.table.Decide(now, d, a.standing.accepting())
	l.mu.Unlock()
	switch decision.Verdict {
	case table.Keep:
		l.wire.deliver(payload, h.Caller)
	case table.Pass:
		l.pass(v, h, decision, payload)
	case table.Drop:
		a.count.drop(decision.Reason)
	}
}

func stage(f frame.Flag) table.Stage {
	switch {
	case f&frame.Ask != 0:
		return table.Ask
	case f&frame.Take != 0:
		return table.Take
	default:
		return table.Fresh
	}
}

// pass sends a datagram on to another agent of the service.
func (l *link) pass(v *snapshot, h *frame.Header, d table.Decision, payload []byte) {
	a := l.agent
	to, ok := v.document.Server(d.Server)
	if !ok {
		a.count.drop(table.Owner)
		return
	}
	next := *h
	next.Hops++
	next.Server = d.Server
	next.Flags = h.Flags &^ (frame.Ask | frame.Take)
	switch d.Stage {
	case table.Ask:
		next.Flags |= frame.Ask
	case table.Take:
		next.Flags |= frame.Take
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
	if !l.agent.standing.accepting() {
		h.Flags |= frame.Leaving
	}
	return h
}

// keepPaths probes the entries in use that have fallen quiet, until ctx ends.
func (l *link) keepPaths(ctx context.Context) {
	t := time.NewTicker(paths.ProbeEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			l.agent.load.Store(l.agent.demand.measure(now, l.agent.now.Load().own.Slots))
			l.probe(now)
		}
	}
}

func (l *link) probe(now time.Time) {
	l.mu.Lock()
	quiet := l.paths.Probes(now)
	l.mu.Unlock()
	v := l.agent.now.Load()
	for _, e := range quiet {
		h := l.own(v, frame.Probe)
		h.Entry = e
		b := frame.Append(nil, v.ring.Current(), &h)
		if _, err := l.conn.WriteToUDPAddrPort(b, e); err != nil {
			l.agent.count.unsent.Inc()
			continue
		}
		l.agent.count.probes.Inc()
	}
}
