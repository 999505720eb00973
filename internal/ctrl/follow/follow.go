// Package follow keeps a process's belief up to date: a few processes read the
// platform, all others hear from them.
//
// It exists because every call to the platform has a price, and because a process may
// lose the platform while its peers don't. Each process knows how old its belief is:
// the time at which somebody last saw the platform confirm it. Processes tell
// each other their revision and its age in beacons, and the one that is behind fetches what it lacks from
// the one that is ahead. Whoever finds its belief older than the time in which a change must be
// in force allows reads the platform itself, whoever hears enough other readers stops.
// So nobody is elected, and any part of a partition that reaches the platform gets a reader by itself.
//
// The package knows no names and no format of the platform (Source translates), and it
// decides nothing about flows.
//
// # Usage
//
//	node := follow.New(follow.Config{Self: self, Role: msgs.Entry, Log: log, Source: source, Send: send, Events: events, Bound: bound})
//	go node.Run(ctx)
//	node.Heard(from, beacon) // from the socket's goroutine
package follow

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/order"
	"mangowinch/internal/oper/event"
)

// Source reads the platform.
type Source interface {
	// List returns everything, as a full change.
	List(ctx context.Context) (belief.Change, error)
	// Watch waits for changes after a revision; it returns ErrHistory if the platform has forgotten some of them.
	Watch(ctx context.Context, after order.Revision, wait time.Duration) (belief.Change, error)
}

// Config is what a Node is made of.
type Config struct {
	Self   netip.Addr
	Role   msgs.Role
	Domain string // failure domain
	Seeds  []netip.Addr
	Log    *belief.Log
	Source Source
	Send   func(to netip.Addr, message []byte)
	// Fetch asks a peer for what is newer than a revision.
	Fetch            func(ctx context.Context, peer netip.Addr, since order.Revision) (belief.Change, error)
	Events           *event.Log
	PropagationBound time.Duration // a change is in force everywhere within this time of its acceptance
	// Changed is called after the view has changed. It must not block.
	Changed func()
}

const (
	// TickInterval is how often Node.Run looks at its clocks.
	TickInterval = 100 * time.Millisecond
	// wantedReaders is how many processes read at a time: a second one bridges the
	// second or two that a lost answer costs the first.
	wantedReaders = 2
	// wantedTriers is how many processes call a platform that doesn't answer.
	wantedTriers = 4
	// gossipEvery is how often a process tells a random peer what it knows. It heals
	// what lost datagrams left behind and spreads who is there.
	gossipEvery = time.Second
	// greetings is how often a process that has started tells all processes that it knows by then. After four hellos it
	// has heard of all but a few of a hundred.
	greetings = 4
	// helloEvery is how often a process that knows nothing asks seeds and agents.
	helloEvery = 200 * time.Millisecond
	// agentPatience is how long a starting agent waits for others to tell it before it may read
	// itself: an agent carries packets without any belief.
	agentPatience = 700 * time.Millisecond
	// peerLife is how long a peer that isn't heard of is kept in mind: gossip among 100
	// processes reaches each within seconds.
	peerLife = 10 * time.Second
)

// Node keeps one process's belief up to date.
type Node struct {
	Config
	start  time.Time
	kick   chan struct{} // wakes the reading goroutine
	behind chan struct{} // wakes the fetching goroutine

	// mu guards what follows.
	mu       sync.Mutex
	asOf     time.Time // the belief is known to be complete as of then
	peers    map[netip.Addr]*peer
	offered  time.Time // when a peer that knew something was first heard by this process, which knew nothing
	ahead    ahead     // whom to ask for what this process lacks
	reading  bool
	leaving  bool
	gossiped time.Time
	gossips  int  // how often a random peer was told
	lost     bool // the platform doesn't answer
	greeted  int  // how often all known processes were told that this one is there
}

// New returns a node that knows nothing.
func New(c Config) *Node {
	if c.Changed == nil {
		c.Changed = func() {}
	}
	return &Node{Config: c, start: time.Now(), kick: make(chan struct{}, 1), behind: make(chan struct{}, 1), peers: map[netip.Addr]*peer{}}
}

// wait is how long a reader's call waits for a change: a third of the bound, so that a lost
// answer is noticed, and the change read anew, within the bound.
func (n *Node) wait() time.Duration { return n.PropagationBound / 3 }

// tooOld is the age of a belief from which a process reads the platform itself. It leaves half
// of the bound for noticing, reading and spreading.
func (n *Node) tooOld() time.Duration { return n.PropagationBound / 2 }

// Run works until ctx ends.
func (n *Node) Run(ctx context.Context) {
	go n.readLoop(ctx)
	go n.fetchLoop(ctx)
	t := time.NewTicker(TickInterval)
	defer t.Stop()
	n.tick(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			n.tick(now)
		}
	}
}

// Leave makes beacons say that the process is being stopped, and tells all peers.
func (n *Node) Leave() {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.tell(time.Now(), nil, false)
}

// SetSeeds replaces the addresses that a process without peers asks.
func (n *Node) SetSeeds(seeds []netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Seeds = seeds
}

// Age returns how long ago the belief is known to have been complete.
func (n *Node) Age(now time.Time) (age time.Duration, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.asOf.IsZero() {
		return 0, false
	}
	return now.Sub(n.asOf), true
}

// Reading says whether the process reads the platform itself.
func (n *Node) Reading() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reading
}

// tick does what time asks for.
func (n *Node) tick(now time.Time) {
	if n.Log.Tick(now) {
		n.Changed()
	}
	n.mu.Lock()
	for a, p := range n.peers {
		if now.Sub(p.heard) > peerLife {
			delete(n.peers, a)
		}
	}
	begins := !n.reading && n.shouldRead(now)
	if begins {
		n.reading = true
		n.Events.State("reading-begins").Dur("age", now.Sub(n.asOf)).Stringer("revision", n.Log.Revision()).Send()
		wake(n.kick)
	}
	every := gossipEvery
	if n.asOf.IsZero() {
		every = helloEvery
	}
	var to []netip.Addr
	reply := n.asOf.IsZero()
	switch {
	case n.greeted < greetings && !n.asOf.IsZero() && now.Sub(n.gossiped) >= helloEvery:
		// Its predecessor at this address said that it was leaving, and until others hear otherwise
		// they give an agent no new flows; gossip takes seconds. The replies name further processes. Seeds are greeted since
		// an entry that has listed everything at once may have heard of nobody.
		n.greeted++
		reply = true
		n.gossiped = now
		to = n.without(append(n.known(), n.Seeds...), widest)
	case now.Sub(n.gossiped) >= every:
		n.gossiped = now
		to = n.gossipTo()
	}
	if begins && n.trying(now) {
		to = n.without(n.known(), widest) // before they begin too
	}
	message := n.beacon(now, reply)
	n.mu.Unlock()
	for _, a := range to {
		n.Send(a, message)
	}
}

// HandleChange takes a change in that came from a peer, and passes it on.
func (n *Node) HandleChange(now time.Time, from netip.Addr, c belief.Change) {
	before := n.Log.View()
	switch n.Log.Apply(now, c) {
	case belief.Gap:
		n.ObserveRevision(from, c.To)
	case belief.Updated:
		n.noteEra(before.Revision)
		n.note(now, "peer", c)
		n.noteEvacuations(before)
		n.tell(now, &c, false)
		n.Changed()
	case belief.Stale:
	}
}

// unreadable counts items of another writer, and configurations that can't be read; the last good one stays.
var unreadable = metrics.NewCounter(`mangowinch_unreadable_items_total`)

// note logs and counts news.
func (n *Node) note(now time.Time, by string, c belief.Change) {
	for _, i := range c.Items {
		if i.Unreadable() {
			unreadable.Inc()
			n.Events.State("unreadable").Str("key", i.Key).Stringer("revision", i.Revision).Int64("version", n.Log.View().Version()).Send()
		}
	}
	v := n.Log.View()
	metrics.GetOrCreateCounter(`mangowinch_beliefs_changed_total{by="` + by + `"}`).Inc()
	n.Events.State("belief").Str("by", by).Stringer("from", c.From).Stringer("revision", c.To).Bool("full", c.Full).
		Int("items", len(c.Items)).Int64("version", v.Version()).Int("agents", len(v.Homes.Agents())).
		Dur("age", now.Sub(n.start)).Send()
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
