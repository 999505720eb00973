// Package follow keeps a process's belief up to date: a few processes, the readers, read the
// platform, and all others receive its changes from their peers.
//
// It exists because every call to the platform has a cost, and because a process may lose its
// connection to the platform while its peers keep theirs. Each process tracks the age of its belief:
// the time since any process saw the platform confirm it. Processes send each other their revision
// and its age in beacons, and a process with a lower revision fetches the missing changes from one
// with a higher revision. A process reads the platform itself once its belief is so old that changes
// might not take effect in time, and stops once it knows of enough other readers. So there is no
// leader election, and each side of a network partition that reaches the platform gets its own
// reader.
//
// The package depends on no names or formats of the platform, which a Source translates, and it
// makes no decisions about flows.
//
// # Usage
//
//	node := follow.New(follow.Config{Self: self, Role: msgs.Entry, Log: log, Source: source, Send: send, Events: events, PropagationBound: bound})
//	go node.Run(ctx)
//	node.HandleBeacon(now, from, beacon) // from the goroutine that reads the socket
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
	// List returns all items, as a full change.
	List(ctx context.Context) (belief.Change, error)
	// Watch waits for changes after a revision. It returns ErrHistory if the platform no longer has all of them.
	Watch(ctx context.Context, after order.Revision, wait time.Duration) (belief.Change, error)
}

// Config configures a Node.
type Config struct {
	Self   netip.Addr
	Role   msgs.Role
	Domain string // failure domain
	Seeds  []netip.Addr
	Log    *belief.Log
	Source Source
	Send   func(to netip.Addr, message []byte)
	// Fetch requests the changes after a revision from a peer.
	Fetch            func(ctx context.Context, peer netip.Addr, since order.Revision) (belief.Change, error)
	Events           *event.Log
	PropagationBound time.Duration // maximum time from the acceptance of a change until it is in force everywhere
	// Changed is called after the view has changed. It must not block.
	Changed func()
}

const (
	// TickInterval is the interval of the periodic work in Node.Run.
	TickInterval = 100 * time.Millisecond
	// wantedReaders is how many processes read the platform at a time. The second reader covers the
	// second or two that the first one loses when a response is lost.
	wantedReaders = 2
	// wantedProbers is how many processes keep calling a platform that doesn't respond.
	wantedProbers = 4
	// gossipInterval is how often a process sends its beacon to a random peer. Gossip repairs the effects
	// of lost datagrams and spreads the addresses of entries.
	gossipInterval = time.Second
	// maxGreetings is how many times a started process sends its beacon to all processes that it knows.
	// After four rounds of helloInterval it knows all but a few of a hundred processes.
	maxGreetings = 4
	// helloInterval is how often a process without a belief sends its beacon to seeds and agents.
	helloInterval = 200 * time.Millisecond
	// agentStartDelay is how long a starting agent waits for updates from peers before it may read the
	// platform itself. It can wait because an agent forwards packets without a belief.
	agentStartDelay = 700 * time.Millisecond
	// peerTTL is how long a peer is kept after the last sign of it. Gossip among 100 processes reaches
	// each of them within seconds.
	peerTTL = 10 * time.Second
)

// Node keeps one process's belief up to date.
type Node struct {
	Config
	start         time.Time
	startReading  chan struct{} // wakes readLoop
	startFetching chan struct{} // wakes fetchLoop

	// mu guards the fields below.
	mu               sync.Mutex
	asOf             time.Time // when the belief was last confirmed as complete; zero if never
	peers            map[netip.Addr]*peer
	firstFetchPeerAt time.Time // when this process, without a belief, first received a message of a peer that has one
	fetchFrom        fetchPeer // the source of the next fetch
	reading          bool
	leaving          bool
	lastGossip       time.Time
	gossipCount      int  // number of beacons to random peers
	platformLost     bool // the platform doesn't respond to this process
	greetingsSent    int  // number of beacons to all known processes after the start
}

// New returns a node without a belief.
func New(c Config) *Node {
	if c.Changed == nil {
		c.Changed = func() {}
	}
	return &Node{Config: c, start: time.Now(), startReading: make(chan struct{}, 1), startFetching: make(chan struct{}, 1), peers: map[netip.Addr]*peer{}}
}

// watchWait returns how long a reader's watch waits for a change: a third of the propagation bound, so
// that a lost response is detected, and the change is read again, within the bound.
func (n *Node) watchWait() time.Duration { return n.PropagationBound / 3 }

// staleAfter returns the age of a belief from which a process reads the platform itself. It leaves half
// of the propagation bound for detecting, reading and distributing a change.
func (n *Node) staleAfter() time.Duration { return n.PropagationBound / 2 }

// Run keeps the belief up to date until ctx ends.
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

// Leave marks the process as leaving in its beacons, and sends one to its peers.
func (n *Node) Leave() {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.announce(time.Now(), nil, false)
}

// SetSeeds replaces the addresses that a process without peers contacts.
func (n *Node) SetSeeds(seeds []netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Seeds = seeds
}

// Age returns the time since the belief was last confirmed as complete, and false if it never was.
func (n *Node) Age(now time.Time) (age time.Duration, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.asOf.IsZero() {
		return 0, false
	}
	return now.Sub(n.asOf), true
}

// Reading reports whether the process reads the platform itself.
func (n *Node) Reading() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reading
}

// tick does the periodic work: it expires peers, starts reading if necessary, and sends beacons.
func (n *Node) tick(now time.Time) {
	if n.Log.Tick(now) {
		n.Changed()
	}
	n.mu.Lock()
	for a, p := range n.peers {
		if now.Sub(p.lastSeen) > peerTTL {
			delete(n.peers, a)
		}
	}
	starts := !n.reading && n.shouldRead(now)
	if starts {
		n.reading = true
		n.Events.State("reading-begins").Dur("age", now.Sub(n.asOf)).Stringer("revision", n.Log.Revision()).Send()
		wake(n.startReading)
	}
	interval := gossipInterval
	if n.asOf.IsZero() {
		interval = helloInterval
	}
	var to []netip.Addr
	reply := n.asOf.IsZero()
	switch {
	case n.greetingsSent < maxGreetings && !n.asOf.IsZero() && now.Sub(n.lastGossip) >= helloInterval:
		// The previous process at this address announced that it was leaving, and peers send an agent no new
		// flows until they receive a beacon that says otherwise, which takes seconds by gossip alone. The replies
		// name more processes. Seeds are included because an entry that has just listed the platform may not
		// know any other process.
		n.greetingsSent++
		reply = true
		n.lastGossip = now
		to = n.sample(append(n.knownProcesses(), n.Seeds...), maxDirect)
	case now.Sub(n.lastGossip) >= interval:
		n.lastGossip = now
		to = n.gossipTo()
	}
	if starts && n.probing(now) {
		to = n.sample(n.knownProcesses(), maxDirect) // so that they don't start calling the platform too
	}
	message := n.beacon(now, reply)
	n.mu.Unlock()
	for _, a := range to {
		n.Send(a, message)
	}
}

// HandleChange applies a change that was received from a peer, and sends it on.
func (n *Node) HandleChange(now time.Time, from netip.Addr, c belief.Change) {
	before := n.Log.View()
	switch n.Log.Apply(now, c) {
	case belief.Gap:
		n.ObserveRevision(from, c.To)
	case belief.Updated:
		n.logEraChange(before.Revision)
		n.logChange(now, "peer", c)
		n.logEvacuations(before)
		n.announce(now, &c, false)
		n.Changed()
	case belief.Stale:
	}
}

// unreadableItems counts items that can't be parsed, such as those of a writer with another format. When it is the
// configuration, the last valid one stays in force.
var unreadableItems = metrics.NewCounter(`mangowinch_unreadable_items_total`)

// logChange logs and counts an applied change. by names its source: "peer" or "platform".
func (n *Node) logChange(now time.Time, by string, c belief.Change) {
	for _, i := range c.Items {
		if i.Unreadable() {
			unreadableItems.Inc()
			n.Events.State("unreadable").Str("key", i.Key).Stringer("revision", i.Revision).Int64("version", n.Log.View().Version()).Send()
		}
	}
	v := n.Log.View()
	metrics.GetOrCreateCounter(`mangowinch_beliefs_changed_total{by="` + by + `"}`).Inc()
	n.Events.State("belief").Str("by", by).Stringer("from", c.From).Stringer("revision", c.To).Bool("full", c.Full).
		Int("items", len(c.Items)).Int64("version", v.Version()).Int("agents", len(v.Homes.Agents())).
		Dur("age", now.Sub(n.start)).Send()
}

// wake signals a goroutine that waits on c, unless a signal is already pending.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
