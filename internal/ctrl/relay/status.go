package relay

import (
	"time"

	"mangowinch/internal/ctrl/budget"
	"mangowinch/internal/ctrl/peers"
	"mangowinch/internal/flow/order"
)

// Status is what /status shows of control.
type Status struct {
	Watching   bool         `json:"watching"`  // holds a watch at the platform
	Fresh      bool         `json:"fresh"`     // has talked to another process since it started or woke up
	Contact    float64      `json:"contact"`   // seconds since anybody known heard the platform; -1: never
	Stale      int          `json:"stale"`     // documents of which the platform serves an older revision
	Members    int          `json:"members"`   // other entries known
	Suspected  int          `json:"suspected"` // of them, those that did not answer
	Documents  int          `json:"documents"`
	Bytes      int          `json:"bytes"` // of their texts
	Faulty     []Faulty     `json:"faulty,omitempty"`
	Wanted     int          `json:"wanted"` // documents that a peer has newer, not pulled yet
	PeerAgents []PeerAgent  `json:"mates,omitempty"`
	Usage      budget.Usage `json:"usage"`
}

// Faulty is a document of which the newest revision can't be read.
type Faulty struct {
	Name     string         `json:"name"`
	Revision order.Revision `json:"revision"` // the faulty one
	InForce  order.Revision `json:"inforce"`  // the last good one, 0 for none
	Source   string         `json:"source"`
	Reason   string         `json:"reason"`
}

// Status returns what is the case now.
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
	if !n.contact.IsZero() {
		s.Contact = time.Since(n.contact).Seconds()
	}
	for _, m := range n.table.Members(peers.Entries) {
		if n.table.Suspected(m.Name) {
			s.Suspected++
		}
	}
	for _, m := range n.mates {
		s.PeerAgents = append(s.PeerAgents, *m)
	}
	return s
}
