package entry

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"mangowinch/internal/node/sock"
)

// serviceSocket is the open socket of a service address.
type serviceSocket struct {
	conn  *net.UDPConn
	owner atomic.Pointer[service]
}

// openSockets opens the addresses of the services in force and closes those that no service has. The caller
// holds e.mu. An address that moves to another service changes its owner in one step: from then on,
// connection IDs of the former service are foreign to it.
func (e *Entry) openSockets() {
	wanted := make(map[netip.AddrPort]*service)
	for _, s := range e.services {
		v := s.current.Load()
		if v == nil {
			continue
		}
		a := e.bindAddress(v.document.Address)
		if other := wanted[a]; other != nil {
			s = e.resolveConflict(a, s, other)
		}
		wanted[a] = s
	}
	for a, s := range wanted {
		e.openSocket(a, s)
	}
	for a, d := range e.sockets {
		if wanted[a] == nil {
			d.conn.Close()
			delete(e.sockets, a)
			e.log.Info().Stringer("address", a).Msg("address closed")
		}
	}
}

// resolveConflict returns which of two services that claim one address gets it. The service that has the
// address keeps it, so that a mistake in the other document doesn't affect it.
func (e *Entry) resolveConflict(a netip.AddrPort, s, other *service) *service {
	winner, loser := s, other
	d := e.sockets[a]
	if d != nil && d.owner.Load() == other || d == nil && other.name < s.name {
		winner, loser = other, s
	}
	loser.count.conflict.Inc()
	e.log.Error().Stringer("address", a).Str("service", loser.name).Str("owner", winner.name).Msg("address is taken by another service")
	return winner
}

func (e *Entry) bindAddress(a netip.AddrPort) netip.AddrPort {
	if bind := e.settings.Entry.Bind; bind.IsValid() {
		return netip.AddrPortFrom(bind, a.Port())
	}
	return a
}

func (e *Entry) openSocket(a netip.AddrPort, s *service) {
	d := e.sockets[a]
	if d == nil {
		conn, err := sock.UDP(context.Background(), a, sock.Exclusive)
		if err != nil {
			s.count.unusable.Inc()
			e.log.Error().Err(err).Str("service", s.name).Msg("address cannot be opened")
			return
		}
		d = &serviceSocket{conn: conn}
		e.sockets[a] = d
		d.owner.Store(s)
		go e.readSocket(d)
		e.log.Info().Stringer("address", a).Str("service", s.name).Msg("address open")
	}
	d.owner.Store(s)
	s.socket.Store(d)
}

func (e *Entry) closeSockets() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for a, d := range e.sockets {
		d.conn.Close()
		delete(e.sockets, a)
	}
}
