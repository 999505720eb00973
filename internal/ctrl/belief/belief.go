// Package belief holds what one process believes of the platform's configuration, of
// the backend servers and of evacuated failure domains, as an ordered log that any process can pass on.
//
// The platform's changes are in order (package order). So a belief is a set of items, each
// with the revision of its last change, and the revision up to which the set is
// complete. Whoever is complete up to a higher revision knows more, whichever
// way it learned it, and what it knows more fits into a Change. Nothing ever goes
// back: an item is replaced by a higher revision only. When the platform itself goes back to a copy, the belief follows it but for
// what a copy can't undo (copies.go).
//
// The package does not read the platform (package follow does), has no clock of its own
// and knows neither names nor formats of the platform.
//
// # Usage
//
//	log := belief.New()
//	if applied := log.Apply(now, change); applied == belief.Gap { ask(log.Revision()) }
//	view := log.View() // immutable
package belief

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mangowinch/internal/flow/order"
)

// State says whether a server takes new flows.
type State string

// The states. Unknown is any other word, from a newer writer: no new flows.
const (
	Ready    State = "ready"
	Draining State = "draining"
	Unknown  State = "unknown"
)

// Server is what the platform's entry says of one start of a backend server.
type Server struct {
	ID      string
	Service string
	Addr    netip.AddrPort // its agent has the same address
	Domain  string         // failure domain
	State   State
	Slots   int
	Cold    time.Duration  // how much longer it was to be slow when it wrote the entry
	Born    int64          // Unix milliseconds of its start, 0 if not told
	Seq     uint64         // counts the server's own writings since its start
	Created order.Revision // of the entry's first writing
}

// Share is a service's part of a route's new flows.
type Share struct {
	Service string
	Weight  int
}

// Route sends the flows that call one address to services.
type Route struct {
	Name     string
	Called   netip.AddrPort
	Shares   []Share
	Priority int // 0 is the highest
	Timeout  time.Duration
	Target   time.Duration // in which requests are to be answered
}

// WarmUp is what a service states of its servers that have just started.
type WarmUp struct {
	Service string
	Time    time.Duration // how long a server is cold after its start
	Rate    float64       // requests a second that a cold server bears; 0: not limited
}

// Config is one version of the configuration.
type Config struct {
	Version int64
	Routes  []Route
	WarmUps []WarmUp      `json:",omitempty"` // of services that limit a cold server
	Idle    time.Duration // after which a flow without packets may be forgotten
}

// Item is one item with the revision of its last change: a server, the
// configuration, an evacuation, or none of them if it is gone or can't be read.
type Item struct {
	Key       string
	Revision  order.Revision
	Gone      bool    `json:",omitempty"`
	Server    *Server `json:",omitempty"`
	Config    *Config `json:",omitempty"`
	Evacuated string  `json:",omitempty"` // failure domain whose servers get no new flows as long as the item is there
}

// Unreadable says whether the item is there and means nothing to this process.
func (i *Item) Unreadable() bool {
	return !i.Gone && i.Server == nil && i.Config == nil && i.Evacuated == ""
}

// Change brings who is complete up to From to To. Full holds everything, so that From
// doesn't matter and what it lacks is gone.
type Change struct {
	From, To order.Revision
	Full     bool `json:",omitempty"`
	Items    []Item
}

// Outcome is what Apply did.
type Outcome uint8

// The outcomes of Apply. Behind means that changes between are missing.
const (
	Stale Outcome = iota
	Updated
	Gap
)

// history bounds the deletions that are remembered so that they can be passed on. A process
// that is further behind gets everything: 256 deletions are ten replacements of all
// servers of today's fleets.
const history = 256

// absence is how long a server counts as present after its entry went away unless it was
// draining. Entries lapse while the platform is away although the server lives, and come back
// some 2 s after it; a server that is gone doesn't answer, which entries notice by
// themselves. It is less than the shortest time (3 s) in which a server that left must get no flow.
const absence = 2 * time.Second

// Log is one process's belief. Its methods may be called from any goroutine.
type Log struct {
	mu       sync.Mutex
	revision order.Revision
	items    map[string]Item
	deleted  []Item               // gone ones, oldest first
	dropped  order.Revision       // of the newest deletion that was forgotten
	absent   map[string]departure // by key
	left     map[string]departure // by key; servers that said that they leave, and are gone
	view     atomic.Pointer[View]
}

// New returns a log that knows nothing.
func New() *Log {
	l := &Log{items: map[string]Item{}, absent: map[string]departure{}, left: map[string]departure{}}
	l.view.Store(newView(content{}))
	return l
}

// View returns the present snapshot.
func (l *Log) View() *View { return l.view.Load() }

// Revision is the revision up to which the log is complete.
func (l *Log) Revision() order.Revision { return l.View().Revision }

// Apply takes a change in.
func (l *Log) Apply(now time.Time, c Change) Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.To <= l.revision {
		return Stale
	}
	if !c.Full && c.From > l.revision {
		return Gap
	}
	if c.Full {
		l.removeMissing(now, c)
	}
	for _, i := range c.Items {
		l.put(now, i)
	}
	l.revision = c.To
	l.rebuild()
	return Updated
}

// removeMissing deletes what a full change doesn't list and isn't newer than it.
func (l *Log) removeMissing(now time.Time, c Change) {
	listed := make(map[string]bool, len(c.Items))
	for _, i := range c.Items {
		listed[i.Key] = true
	}
	for key, i := range l.items {
		switch {
		case listed[key] || i.Revision > c.To:
		case i.Config != nil:
			i.Revision = c.To // without any, nothing would be served
			l.items[key] = i
		default:
			l.put(now, Item{Key: key, Revision: c.To, Gone: true})
		}
	}
	// Deletions before this one may be unknown here, so they can't be passed on.
	l.dropped = max(l.dropped, c.To)
	l.deleted = nil
}

func (l *Log) put(now time.Time, i Item) {
	before, known := l.items[i.Key]
	if known && before.Revision >= i.Revision {
		return
	}
	if !i.Gone {
		if i.Config != nil && before.Config != nil && i.Config.Version < before.Config.Version {
			i.Config = before.Config // never back, whatever was written
		}
		if i.Config == nil && i.Server == nil {
			i.Config = before.Config // unreadable: the last good one stays in force
		}
		if !l.outlast(before, &i) {
			return
		}
		l.items[i.Key] = i
		delete(l.absent, i.Key)
		return
	}
	delete(l.items, i.Key)
	l.depart(now, before, i)
	l.deleted = append(l.deleted, i)
	if len(l.deleted) > history {
		l.dropped = l.deleted[0].Revision
		l.deleted = slices.Delete(l.deleted, 0, 1)
	}
}

// Tick ends what only time ends. It says whether the view has changed.
func (l *Log) Tick(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	forget(now, l.left)
	ended := forget(now, l.absent)
	if ended {
		l.rebuild()
	}
	return ended
}

// rebuild makes a new snapshot. l.mu is held.
func (l *Log) rebuild() {
	c := content{Revision: l.revision, Servers: make([]Server, 0, len(l.items)+len(l.absent))}
	taken := map[netip.AddrPort]bool{}
	for _, i := range l.items {
		if i.Config != nil {
			c.Config = i.Config
		}
		if i.Server != nil {
			c.Servers = append(c.Servers, *i.Server)
			taken[i.Server.Addr] = true
		}
		if i.Evacuated != "" {
			c.Evacuated = append(c.Evacuated, i.Evacuated)
		}
	}
	for _, d := range l.absent {
		if !taken[d.Server.Addr] {
			c.Servers = append(c.Servers, *d.Server)
		}
	}
	l.view.Store(newView(c))
}

// Since returns what somebody who is complete up to a revision lacks.
func (l *Log) Since(revision order.Revision) Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := Change{From: revision, To: l.revision, Full: revision < l.dropped || revision == 0}
	if c.Full {
		c.Items = slices.Collect(maps.Values(l.items))
		return c
	}
	for _, i := range l.items {
		if i.Revision > revision {
			c.Items = append(c.Items, i)
		}
	}
	for _, i := range l.deleted {
		if i.Revision > revision {
			c.Items = append(c.Items, i)
		}
	}
	slices.SortFunc(c.Items, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return c
}
