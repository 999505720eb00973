package agent

import (
	"time"

	"mangowinch/internal/flow/order"
	"mangowinch/internal/flow/paths"
	"mangowinch/internal/load/admit"
)

// Status is the state of an agent that operators see.
type Status struct {
	Service     string         `json:"service"`
	Server      string         `json:"server"`
	Revision    order.Revision `json:"revision"`
	Leaving     string         `json:"leaving,omitempty"` // causes, while the server takes no new work
	Requests    int64          `json:"requests"`          // in progress
	Connections int64          `json:"connections"`
	Gate        admit.Stats    `json:"gate"`
	Successor   bool           `json:"successor"` // another process holds the same address
	Opening     int            `json:"opening"`   // flows remembered while they open
	Keys        int            `json:"keys"`      // request keys whose outcome is remembered
	Handed      int            `json:"handed"`    // handed-over requests whose outcome is remembered
	Entries     []paths.Status `json:"entries"`
}

// InForce returns 1 once a document is in force, and 0 before.
func (a *Agent) InForce() int {
	if a.current.Load() == nil {
		return 0
	}
	return 1
}

// Status returns the agent's current state.
func (a *Agent) Status() Status {
	s := Status{
		Service:  a.settings.Agent.Service,
		Server:   a.settings.Agent.Server,
		Requests: a.requests.Load(),
	}
	if v := a.current.Load(); v != nil {
		s.Revision = v.revision
		s.Keys, _ = a.guard.Outcomes.Size()
		s.Handed, _ = a.handedMemo.Size()
	}
	s.Leaving = a.availability.describe()
	s.Connections = a.connections.count.Load()
	s.Gate = a.gate.Stats()
	a.link.mu.Lock()
	defer a.link.mu.Unlock()
	if a.link.table != nil { // the link is open
		s.Successor = a.link.side.alive(time.Now())
		s.Opening = a.link.table.Size()
	}
	s.Entries = a.link.paths.Status(time.Now())
	return s
}
