package agent

import (
	"time"

	"mangowinch/internal/flow/order"
	"mangowinch/internal/flow/paths"
	"mangowinch/internal/load/admit"
)

// Status is what an operator sees of an agent.
type Status struct {
	Service     string         `json:"service"`
	Server      string         `json:"server"`
	Revision    order.Revision `json:"revision"`
	Leaving     string         `json:"leaving,omitempty"` // why, once it leaves
	Requests    int64          `json:"requests"`          // in progress
	Connections int64          `json:"connections"`
	Gate        admit.Stats    `json:"gate"`
	Successor   bool           `json:"successor"` // another process holds the same address
	Opening     int            `json:"opening"`   // flows kept in mind while they open
	Keys        int            `json:"keys"`      // request keys whose outcome is remembered
	Handed      int            `json:"handed"`    // handed requests whose outcome is remembered
	Entries     []paths.Status `json:"entries"`
}

// InForce is 1 once the agent works by a document, 0 before.
func (a *Agent) InForce() int {
	if a.now.Load() == nil {
		return 0
	}
	return 1
}

// Status tells what the agent knows.
func (a *Agent) Status() Status {
	s := Status{
		Service:  a.settings.Agent.Service,
		Server:   a.settings.Agent.Server,
		Requests: a.requests.Load(),
	}
	if v := a.now.Load(); v != nil {
		s.Revision = v.revision
		s.Keys, _ = a.guard.Memory.Size()
		s.Handed, _ = a.ids.Size()
	}
	s.Leaving = a.standing.why()
	s.Connections = a.opened.count.Load()
	s.Gate = a.gate.Stats()
	a.link.mu.Lock()
	defer a.link.mu.Unlock()
	if a.link.table != nil { // open
		s.Successor = a.link.side.alive(time.Now())
		s.Opening = a.link.table.Size()
	}
	s.Entries = a.link.paths.Status(time.Now())
	return s
}
