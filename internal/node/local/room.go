package local

import (
	"time"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/load/room"
)

// Room returns what this agent knows about the room of its own server.
func (a *Agent) Room(now time.Time) (r room.Report) {
	load := a.Load(now)
	v := a.Log.View()
	s, ok := v.Server(a.Self)
	if !ok {
		return r // the platform has no record of the server
	}
	server := room.Server{
		ID:      s.ID,
		Agent:   a.Self.String(),
		Service: s.Service,
		Domain:  s.Domain,
		Open:    s.State == belief.Ready && !v.Evacuated(s.Domain),
		Slots:   s.Slots,
	}
	server.Fill(load, msgs.Estimate{}, 0)
	r.Servers = append(r.Servers, server)
	return r
}
