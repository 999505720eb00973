package local

import (
	"time"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/load/room"
)

// Room returns the room of the local server, or an empty report if the platform has no record of the server.
func (a *Agent) Room(now time.Time) (r room.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.Log.View()
	s, ok := v.Server(a.Self)
	if !ok {
		return r
	}
	server := room.Server{
		ID:      s.ID,
		Agent:   a.Self.String(),
		Service: s.Service,
		Domain:  s.Domain,
		Open:    s.State == belief.Ready && !v.Evacuated(s.Domain) && !a.leaving,
		Slots:   s.Slots,
	}
	server.Fill(a.flows.Load(now), a.estimate(now), 0)
	r.Servers = append(r.Servers, server)
	return r
}
