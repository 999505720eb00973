package entry

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/flow/order"
)

// Service is the state of one service in /status.
type Service struct {
	Name     string         `json:"name"`
	Revision order.Revision `json:"revision"`
	Address  string         `json:"address"`
	Servers  []Server       `json:"servers"`
}

// Server is the state of a server as the entry sees it.
type Server struct {
	ID     uint32         `json:"id"`
	Name   string         `json:"name"`
	Agent  netip.AddrPort `json:"agent"`
	State  string         `json:"state"`  // serving, leaving or silent
	Reason string         `json:"reason"` // source of the state
	Weight float64        `json:"weight"` // share of new flows, relative to the others
}

// InForce returns the number of services in force.
func (e *Entry) InForce() int { return len(*e.tags.Load()) }

// Status returns the services in force and the state of their servers.
func (e *Entry) Status() (list []Service) {
	for _, s := range *e.tags.Load() {
		list = append(list, s.status())
	}
	slices.SortFunc(list, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (s *service) status() Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.current.Load()
	out := Service{Name: s.name, Revision: v.revision, Address: v.document.Address.String()}
	for i, r := range v.table.Current {
		d := &v.document.Servers[i]
		server := Server{ID: d.ID, Name: d.Name, Agent: d.Agent, State: "serving", Weight: r.Weight}
		switch {
		case s.isLeaving(time.Now(), d.ID):
			server.State, server.Reason = "leaving", "its own word"
		case r.Leaving:
			server.State, server.Reason = "leaving", "document"
		case r.Unresponsive:
			server.State, server.Reason = "silent", "no frame after flows were opened"
		}
		out.Servers = append(out.Servers, server)
	}
	return out
}
