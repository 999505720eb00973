package entry

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"mangowinch/internal/node/sock"
)

// door is one open service address.
type door struct {
	conn  *net.UDPConn
	owner atomic.Pointer[service]
}

// openDoors opens the addresses of the services in force and closes those of none.
// The caller holds e.mu. An address that moves to another service changes hands
// in one step: from then on IDs of the former service are foreign to it.
func (e *Entry) openDoors() {
	wanted := make(map[netip.AddrPort]*service)
	for _, s := range e.services {
		now := s.now.Load()
		if now == nil {
			continue
		}
		a := e.bindAddress(now.document.Address)
		if other := wanted[a]; other != nil {
			s = e.settle(a, s, other)
		}
		wanted[a] = s
	}
	for a, s := range wanted {
		e.openDoor(a, s)
	}
	for a, d := range e.doors {
		if wanted[a] == nil {
			d.conn.Close()
			delete(e.doors, a)
			e.log.Info().Stringer("address", a).Msg("address closed")
		}
	}
}

// settle decides between two services that claim one address: the one that has it
// keeps it, so that a second document's slip takes nothing from the first.
func (e *Entry) settle(a netip.AddrPort, s, other *service) *service {
	keeps, loses := s, other
	d := e.doors[a]
	if d != nil && d.owner.Load() == other || d == nil && other.name < s.name {
		keeps, loses = other, s
	}
	loses.count.conflict.Inc()
	e.log.Error().Stringer("address", a).Str("service", loses.name).Str("owner", keeps.name).Msg("address is taken by another service")
	return keeps
}

func (e *Entry) bindAddress(a netip.AddrPort) netip.AddrPort {
	if bind := e.settings.Entry.Bind; bind.IsValid() {
		return netip.AddrPortFrom(bind, a.Port())
	}
	return a
}

func (e *Entry) openDoor(a netip.AddrPort, s *service) {
	d := e.doors[a]
	if d == nil {
		conn, err := sock.UDP(context.Background(), a, sock.Exclusive)
		if err != nil {
			s.count.unusable.Inc()
			e.log.Error().Err(err).Str("service", s.name).Msg("address cannot be opened")
			return
		}
		d = &door{conn: conn}
		e.doors[a] = d
		d.owner.Store(s)
		go e.readDoor(d)
		e.log.Info().Stringer("address", a).Str("service", s.name).Msg("address open")
	}
	d.owner.Store(s)
	s.door.Store(d)
}

func (e *Entry) closeDoors() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for a, d := range e.doors {
		d.conn.Close()
		delete(e.doors, a)
	}
}
