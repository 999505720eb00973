package relay

import (
	"time"

	"mangowinch/internal/ctrl/budget"
	"mangowinch/internal/ctrl/peers"
)

// Status is what /status shows of control.
type Status struct {
	Watching  bool          // holds a watch at the platform
	Contact   time.Duration // since anybody known heard the platform; negative: never
	Stale     int           // documents of which the platform serves an older revision
	Members   int           // other entries known
	Suspected int           // of them, those that did not answer
	Documents int
	Bytes     int // of their texts
	Faulty    []Faulty
	Wanted    int // documents that a peer has newer, not pulled yet
	Mates     []Mate
	Usage     budget.Usage
}

// Faulty is a document of which the newest revision can't be read.
type Faulty struct {
	Name     string
	Revision uint64 // the faulty one
	InForce  uint64 // the last good one, 0 for none
	Source   string
	Reason   string
}

// Status returns what is the case now.
func (n *Node) Status() Status {
	view := n.Store.View()
	s := Status{Documents: len(view.Entries), Usage: n.Meter.Usage(time.Now()), Contact: -1}
	for _, e := range view.Entries {
		s.Bytes += len(e.Text)
	}
	for name, f := range view.Faults {
		s.Bytes += len(f.Text)
		q := Faulty{Name: name, Revision: f.Revision, Source: f.Source, Reason: f.Reason}
		if e := view.Entries[name]; e != nil {
			q.InForce = e.Revision
		}
		s.Faulty = append(s.Faulty, q)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	s.Watching, s.Stale, s.Members, s.Wanted = n.watching, n.stale, n.table.Len(), len(n.pull.wants)
	if !n.contact.IsZero() {
		s.Contact = time.Since(n.contact)
	}
	for _, m := range n.table.Members(peers.Entries) {
		if n.table.Suspected(m.Name) {
			s.Suspected++
		}
	}
	for _, m := range n.mates {
		s.Mates = append(s.Mates, *m)
	}
	return s
}
