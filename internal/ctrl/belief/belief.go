// Package belief holds a process's local view of the configuration, the backend servers and the
// evacuated failure domains: a replicated set of items that any process can send to its peers.
//
// The platform orders its changes by revision (package order). A belief is a set of items, each
// with the revision of its last change, and the revision up to which the set is complete. Of two
// processes, the one whose belief is complete up to the higher revision is more up to date, no
// matter from where it received its changes, and the difference fits into a Change. An item is
// only ever replaced by one with a higher revision, so old messages have no effect. When the
// platform's store is restored from a backup, the belief follows the restored store, except
// for what a restore must not undo (restore.go).
//
// The package does not read the platform (package follow does), has no clock of its own, and
// depends on no names or formats of the platform.
//
// # Usage
//
//	log := belief.New()
//	if outcome := log.Apply(now, change); outcome == belief.Gap { fetchSince(log.Revision()) }
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

// State is the state of a server, which determines whether it takes new flows.
type State string

// The states. Unknown stands for any other value, written by a newer version; such a server gets
// no new flows.
const (
	Ready    State = "ready"
	Draining State = "draining"
	Unknown  State = "unknown"
)

// Server describes one process incarnation of a backend server, as its platform record states it.
type Server struct {
	ID      string
	Service string
	Addr    netip.AddrPort // its agent has the same IP address
	Domain  string         // failure domain
	State   State
	Slots   int
	Cold    time.Duration  // remaining warm-up time when the server wrote the record
	Born    int64          // start time in Unix milliseconds, 0 if not stated
	Seq     uint64         // number of records that the server has written since its start
	Created order.Revision // revision in which the record was created
}

// Share is the share of a route's new flows that goes to one service.
type Share struct {
	Service string
	Weight  int
}

// Route maps the flows to one called address to services.
type Route struct {
	Name     string
	Called   netip.AddrPort
	Shares   []Share
	Priority int // 0 is the highest
	Timeout  time.Duration
	Target   time.Duration // target response time of requests
}

// WarmUp describes the warm-up of a service's servers after their start.
type WarmUp struct {
	Service string
	Time    time.Duration // how long a server is cold after its start
	Rate    float64       // requests per second that a cold server can take; 0 means no limit
}

// Config is one version of the configuration.
type Config struct {
	Version int64
	Routes  []Route
	WarmUps []WarmUp      `json:",omitempty"` // of the services that limit their cold servers
	Idle    time.Duration // idle time after which the state of a flow may be dropped
}

// Item is one item with the revision of its last change: a server, the configuration or an
// evacuation. It has none of these if it was removed or can't be parsed.
type Item struct {
	Key       string
	Revision  order.Revision
	Gone      bool    `json:",omitempty"`
	Server    *Server `json:",omitempty"`
	Config    *Config `json:",omitempty"`
	Evacuated string  `json:",omitempty"` // failure domain whose servers get no new flows while the item exists
}

// Unreadable reports whether the item exists but this process can't parse it.
func (i *Item) Unreadable() bool {
	return !i.Gone && i.Server == nil && i.Config == nil && i.Evacuated == ""
}

// Change updates a belief that is complete up to From so that it is complete up to To. A Full
// change lists all items: From doesn't matter, and items that it doesn't list are removed.
type Change struct {
	From, To order.Revision
	Full     bool `json:",omitempty"`
	Items    []Item
}

// Outcome is the result of Apply.
type Outcome uint8

// The outcomes of Apply. Stale means that the belief already covers the change, Updated that the
// change was applied, and Gap that changes before it are missing, so that it was not applied.
const (
	Stale Outcome = iota
	Updated
	Gap
)

// maxDeletions bounds the deletions that are kept so that they can be sent to peers. A peer that
// is further behind gets a full change. 256 deletions correspond to ten replacements of all servers
// of current fleets.
const maxDeletions = 256

// absenceGrace is how long a server that wasn't draining still counts as present after its platform
// record was removed. Records expire while the platform is unavailable although the servers run,
// and are written again some 2 s after it recovers. Entries detect by themselves that a server is
// down, because it doesn't respond. The value must stay below 3 s, the shortest time after which a
// server that left must get no more flows.
const absenceGrace = 2 * time.Second

// Log is one process's belief. Its methods may be called from any goroutine.
type Log struct {
	mu          sync.Mutex
	revision    order.Revision
	items       map[string]Item
	deletions   []Item                 // removed items, oldest first
	truncatedAt order.Revision         // revision of the newest deletion that is no longer kept
	absent      map[string]removedItem // by key; servers that still count as present
	departed    map[string]removedItem // by key; servers that were removed while draining
	view        atomic.Pointer[View]
}

// New returns an empty log.
func New() *Log {
	l := &Log{items: map[string]Item{}, absent: map[string]removedItem{}, departed: map[string]removedItem{}}
	l.view.Store(newView(viewData{}))
	return l
}

// View returns the current snapshot.
func (l *Log) View() *View { return l.view.Load() }

// Revision is the revision up to which the log is complete.
func (l *Log) Revision() order.Revision { return l.View().Revision }

// Apply applies a change that was received from the platform or a peer.
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

// removeMissing removes the items that a full change doesn't list, except for those that are newer
// than the change. l.mu is held.
func (l *Log) removeMissing(now time.Time, c Change) {
	listed := make(map[string]bool, len(c.Items))
	for _, i := range c.Items {
		listed[i.Key] = true
	}
	for key, i := range l.items {
		switch {
		case listed[key] || i.Revision > c.To:
		case i.Config != nil:
			i.Revision = c.To // kept: no flow could be routed without a configuration
			l.items[key] = i
		default:
			l.put(now, Item{Key: key, Revision: c.To, Gone: true})
		}
	}
	// Earlier deletions may have been missed, so they can't be sent to peers.
	l.truncatedAt = max(l.truncatedAt, c.To)
	l.deletions = nil
}

// put stores or removes an item, unless the belief has the same or a later revision of it. l.mu is
// held.
func (l *Log) put(now time.Time, i Item) {
	before, known := l.items[i.Key]
	if known && before.Revision >= i.Revision {
		return
	}
	if !i.Gone {
		if i.Config != nil && before.Config != nil && i.Config.Version < before.Config.Version {
			i.Config = before.Config // a lower version never replaces a higher one
		}
		if i.Config == nil && i.Server == nil {
			i.Config = before.Config // can't be parsed: the last valid configuration stays in force
		}
		if !l.mergeAcrossEras(before, &i) {
			return
		}
		l.items[i.Key] = i
		delete(l.absent, i.Key)
		return
	}
	delete(l.items, i.Key)
	l.recordRemoval(now, before, i)
	l.deletions = append(l.deletions, i)
	if len(l.deletions) > maxDeletions {
		l.truncatedAt = l.deletions[0].Revision
		l.deletions = slices.Delete(l.deletions, 0, 1)
	}
}

// Tick drops the removed servers whose retention time is over. It reports whether the view has
// changed.
func (l *Log) Tick(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	expire(now, l.departed)
	expired := expire(now, l.absent)
	if expired {
		l.rebuild()
	}
	return expired
}

// rebuild replaces the snapshot. l.mu is held.
func (l *Log) rebuild() {
	c := viewData{Revision: l.revision, Servers: make([]Server, 0, len(l.items)+len(l.absent))}
	used := map[netip.AddrPort]bool{}
	for _, i := range l.items {
		if i.Config != nil {
			c.Config = i.Config
		}
		if i.Server != nil {
			c.Servers = append(c.Servers, *i.Server)
			used[i.Server.Addr] = true
		}
		if i.Evacuated != "" {
			c.Evacuated = append(c.Evacuated, i.Evacuated)
		}
	}
	for _, d := range l.absent {
		if !used[d.Server.Addr] {
			c.Servers = append(c.Servers, *d.Server)
		}
	}
	l.view.Store(newView(c))
}

// Since returns the change for a belief that is complete up to a revision.
func (l *Log) Since(revision order.Revision) Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := Change{From: revision, To: l.revision, Full: revision < l.truncatedAt || revision == 0}
	if c.Full {
		c.Items = slices.Collect(maps.Values(l.items))
		return c
	}
	for _, i := range l.items {
		if i.Revision > revision {
			c.Items = append(c.Items, i)
		}
	}
	for _, i := range l.deletions {
		if i.Revision > revision {
			c.Items = append(c.Items, i)
		}
	}
	slices.SortFunc(c.Items, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return c
}
