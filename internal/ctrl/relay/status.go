package relay

import (
	"time"

	"mangowinch/internal/ctrl/budget"
	"mangowinch/internal/ctrl/peers"
	"mangowinch/internal/flow/order"
)

// Status is the part of the /status page about control traffic.
type Status struct {
	Watching   bool         `json:"watching"`  // holds a watch at the platform
	Fresh      bool         `json:"fresh"`     // an exchange has succeeded since the start or the last pause
	Contact    float64      `json:"contact"`   // seconds since this process or a known one reached the platform; -1: never
	Stale      int          `json:"stale"`     // documents of which the platform serves an older revision
	Members    int          `json:"members"`   // other entries known
	Suspected  int          `json:"suspected"` // members that did not answer lately
	Documents  int          `json:"documents"`
	Bytes      int          `json:"bytes"` // of their texts
	Faulty     []Faulty     `json:"faulty,omitempty"`
	Wanted     int          `json:"wanted"` // documents of which a peer has a newer revision that is not pulled yet
	PeerAgents []PeerAgent  `json:"mates,omitempty"`
	Usage      budget.Usage `json:"usage"`
}

// Faulty is a document whose newest revision can't be parsed.
type Faulty struct {
	Name     string         `json:"name"`
	Revision order.Revision `json:"revision"` // the faulty one
	InForce  order.Revision `json:"inforce"`  // the last valid one, 0 for none
	Source   string         `json:"source"`
	Reason   string         `json:"reason"`
}

// Status returns the current status.
func (n *Node) Status() Status {
	view := n.Store.View()
	s := Status{Documents: len(view.Documents), Usage: n.Meter.Usage(time.Now()), Contact: -1, Fresh: n.Fresh()}
	for _, e := range view.Documents {
		s.Bytes += len(e.Text)
	}
	for name, f := range view.Faults {
		s.Bytes += len(f.Text)
		q := Faulty{Name: name, Revision: f.Revision, Source: f.Source, Reason: f.Reason}
		if e := view.Documents[name]; e != nil {
			q.InForce = e.Revision
		}
		s.Faulty = append(s.Faulty, q)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	s.Watching, s.Stale, s.Members, s.Wanted = n.watching, n.stale, n.table.Len(), len(n.pull.wants)
	if !n.lastContact.IsZero() {
		s.Contact = time.Since(n.lastContact).Seconds()
	}
	for _, m := range n.table.Members(peers.Entries) {
		if n.table.Suspected(m.Name) {
			s.Suspected++
		}
	}
	for _, m := range n.peerAgents {
		s.PeerAgents = append(s.PeerAgents, *m)
	}
	return s
}
