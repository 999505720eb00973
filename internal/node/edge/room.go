package edge

import (
	"net/netip"
	"time"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/load/room"
)

// What this entry knows about the room that services have, for operators (package room).

// roomInterval is the time between two updates of room's metrics, each of which reads the reports of all known
// servers.
const roomInterval = 10 * time.Second

// updateRoom updates the metrics of the room that services have.
func (e *Entry) updateRoom(now time.Time) {
	if now.Sub(e.roomAt) < roomInterval {
		return
	}
	e.roomAt = now
	for _, s := range e.roomSums {
		setRoom(&room.Sum{Service: s.Service, Domain: s.Domain}) // zero if the service has left the domain
	}
	r := e.roomReport(now)
	e.roomSums = r.Sums()
	for i := range e.roomSums {
		setRoom(&e.roomSums[i])
	}
}

// countAsked counts a new flow. Copies of an opening packet are not counted.
func (e *Entry) countAsked(now time.Time, route *belief.Route, s *segs.Segment) {
	if s.Ack == 0 {
		e.room.Arrived(now, pickService(route.Shares, s.Flow), route.Priority)
	}
}

// countOpened counts a flow that a server has opened, and records its agent's report for operators.
func (e *Entry) countOpened(now time.Time, agent netip.Addr, m *msgs.Opened) {
	e.room.Report(now, agent, m.Load, m.Estimate)
	v := e.Log.View()
	s, known := v.Server(agent)
	if route := v.Route(m.Flow.ServiceAddr()); known && route != nil {
		e.room.Opened(now, s.Service, route.Priority)
	}
}

// Room returns what this entry knows about the room that services have.
func (e *Entry) Room(now time.Time) (r room.Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.roomReport(now)
}

func (e *Entry) roomReport(now time.Time) (r room.Report) {
	v := e.Log.View()
	for _, a := range v.Homes.Agents() {
		s, ok := v.Server(a)
		if !ok {
			continue
		}
		server := room.Server{ID: s.ID, Agent: a.String(), Service: s.Service, Domain: s.Domain, Open: e.takesFlows(v, s) && !e.suspects.Failed(a), Slots: s.Slots}
		e.room.Fill(now, a, &server)
		r.Servers = append(r.Servers, server)
	}
	r.Demands = e.room.Demands(now)
	for _, l := range e.level.Levels() {
		for i := range r.Demands {
			if d := &r.Demands[i]; d.Service == l.Service && min(d.Priority, msgs.NumWaits-1) == l.Priority {
				d.Percent = l.Percent
			}
		}
	}
	return r
}
