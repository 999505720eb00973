// Package relay distributes service documents and membership changes among the processes.
//
// It exists because there is no shared storage and no process may write to the platform: thousands of
// processes must learn of a change within seconds, although only a few of them read the platform and each
// may send only a few kilobytes a second. Entries hold all documents. An entry that receives a newer
// revision notifies a few other entries (gossip), which pull the text from it and notify others in turn.
// Once a second every entry compares its documents with another entry's by digest, which finds the changes
// whose gossip was lost. An agent holds the document of its own service only: a few entries notify it of
// changes, frames and heartbeats carry revisions, and it polls an entry every few seconds.
//
// Only revisions decide which document is kept, so messages may be lost, delayed, duplicated or reordered:
// package store keeps the highest revision. The decisions are made in packages store, digest, peers, duty
// and budget; this package contains the loops and calls around them. It doesn't carry requests or their
// outcomes (package hand).
//
// # Usage
//
//	node := relay.New(relay.Config{Self: self, Seeds: seeds, Store: s, Platform: fetch.New(url), Dial: dial, Meter: meter})
//	if err := node.Register(mux); err != nil { // a drpcmux.Mux that may have other handlers
//		return err
//	}
//	go node.Run(ctx)
//	node.Observe("tracing-core", 7, entryLink) // a frame carried a revision
package relay

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
	"storj.io/drpc/drpcmux"

	"mangowinch/internal/conf/store"
	"mangowinch/internal/ctrl/budget"
	"mangowinch/internal/ctrl/digest"
	"mangowinch/internal/ctrl/fetch"
	"mangowinch/internal/ctrl/peers"
	"mangowinch/internal/ctrl/wire"
	"mangowinch/internal/flow/order"
)

// Peer is another process. wire.DRPCRelayClient implements it.
type Peer interface {
	Exchange(ctx context.Context, in *wire.Summary) (*wire.Summary, error)
	Pull(ctx context.Context, in *wire.Wants) (*wire.Texts, error)
	Beat(ctx context.Context, in *wire.Pulse) (*wire.Pulse, error)
}

// Platform is the read access to the platform. fetch.Client implements it.
type Platform interface {
	Documents(ctx context.Context) (fetch.List, error)
	Watch(ctx context.Context, since order.Revision) (fetch.List, error)
	Document(ctx context.Context, name string) (fetch.Document, error)
	Instances(ctx context.Context) (fetch.Instances, error)
}

// Load is the load that an agent reports to the other agents of its service.
type Load struct {
	Busy     int  `json:"busy"`
	Slots    int  `json:"slots"`
	Queue    int  `json:"queue"`
	Draining bool `json:"draining"`
}

// Config configures a Node. Platform, Load and Leave may be nil.
type Config struct {
	Self     peers.Member
	Service  string // of an agent: the service whose document it holds
	Server   string // of an agent: the name of its server section
	Seeds    []netip.AddrPort
	Store    *store.Store
	Platform Platform
	Dial     func(netip.AddrPort) Peer
	Meter    *budget.Meter
	Load     func() Load
	Leave    func() // called, possibly repeatedly, when the platform lists this process as leaving
	Log      zerolog.Logger
	Rand     *rand.Rand // nil: seeded by the runtime
}

// Errors that a caller of Exchange, Pull or Beat receives.
var (
	ErrBusy    = errors.New("control traffic budget exceeded")
	ErrService = errors.New("heartbeat is for another service")
)

// answersPerSecond and answerBurst limit the calls that one process answers: at the planned size an entry
// receives two a second.
const (
	answersPerSecond = 50
	answerBurst      = 200
)

const refreshTries = 3

// pauseThreshold is how late a timer of one second must fire to show that the process was frozen. On a busy
// machine it fires some tenths of a second late.
const pauseThreshold = 5 * time.Second

// Node is the relay of one process.
type Node struct {
	Config
	answerLimiter *rate.Limiter
	started       time.Time

	mu          sync.Mutex
	table       *peers.Table
	lastContact time.Time // latest time at which this or any known process reached the platform; zero: never
	watching    bool      // holds a watch at the platform
	platformEra eraTracker
	stale       int            // documents of which the platform serves an older revision
	synced      bool           // an exchange with a peer has succeeded since the start or the last pause
	neighbours  []peers.Member // members to which connections are kept
	renewAt     time.Time      // when one of the neighbours is to be replaced
	digest      *digest.Digest
	view        *store.View // snapshot to which digest belongs
	recent      []change    // changes of the last seconds, newest last
	pull        puller
	peerAgents  map[uint32]*PeerAgent
	lastPolled  time.Time // of an agent: when an entry last answered a poll
}

// New returns a Node that is not running yet.
func New(c Config) *Node {
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	c.Seeds = without(c.Seeds, c.Self.Address) // all processes may be given the same seeds
	maxMembers := peers.MaxMembers
	if c.Self.Role == peers.Agent {
		maxMembers = maxAgentEntries
	}
	return &Node{
		Config:        c,
		answerLimiter: rate.NewLimiter(answersPerSecond, answerBurst),
		started:       time.Now(),
		table:         peers.New(c.Self, maxMembers),
		pull:          newPuller(),
		peerAgents:    map[uint32]*PeerAgent{},
	}
}

// Register adds the relay's handlers to a mux.
func (n *Node) Register(mux *drpcmux.Mux) error {
	return errors.Wrap(mux.Register(n, wire.DRPCRelayDescription{}), "register relay")
}

// Run runs the relay until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { n.pullLoop(ctx) })
	running.Go(func() { n.sampleLoop(ctx) })
	if n.Self.Role == peers.Entry {
		running.Go(func() { n.reconcileLoop(ctx) })
		running.Go(func() { n.suspectLoop(ctx) })
		running.Go(func() { n.notifyLoop(ctx) })
	} else {
		running.Go(func() { n.pollLoop(ctx) })
		running.Go(func() { n.heartbeatLoop(ctx) })
	}
	if n.Platform != nil {
		running.Go(func() { n.platformLoop(ctx) })
	}
	running.Wait()
}

// SetState makes this process known to the others as live or leaving.
func (n *Node) SetState(s peers.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.SetState(s)
}

// Observe records that the process at link has a revision of a document, as carried by a frame. It
// is cheap if the revision is not newer than the known one.
func (n *Node) Observe(name string, revision order.Revision, link netip.AddrPort) {
	if revision <= n.Store.View().Revision(name) || !n.holds(name) {
		return
	}
	n.queuePull(digest.Item{Name: name, Revision: revision, Newest: revision}, link)
}

// Entries returns the addresses of the entries that are believed live.
func (n *Node) Entries() []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	var links []netip.AddrPort
	for _, m := range n.table.Live(peers.Entries) {
		links = append(links, m.Address)
	}
	return links
}

// holds reports whether this process holds a document.
func (n *Node) holds(name string) bool { return n.Service == "" || n.Service == name }

// currentDigest returns the store's current snapshot and its digest. The lock must be held.
func (n *Node) currentDigest() (*digest.Digest, *store.View) {
	if v := n.Store.View(); v != n.view {
		n.digest, n.view = digest.Of(v), v
	}
	return n.digest, n.view
}

// recordContact records that this process reached the platform at a time.
func (n *Node) recordContact(at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if at.After(n.lastContact) {
		n.lastContact = at
	}
}

// Fresh reports whether this process has had an exchange with another one since it started or resumed after
// a pause. Until then its configuration and members may be outdated.
func (n *Node) Fresh() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.synced
}

// Refresh compares the documents of this process with a peer's and waits for the pulls that follow. It
// returns early if no peer answers or ctx ends. It is called after a process was frozen.
func (n *Node) Refresh(ctx context.Context) {
	for range refreshTries {
		if n.queryAnyPeer(ctx) {
			break
		}
	}
	for ctx.Err() == nil && n.pullsPending() {
		sleep(ctx, pullRetry/10)
	}
}

func (n *Node) queryAnyPeer(ctx context.Context) bool {
	if n.Self.Role == peers.Agent {
		m, ok := n.pickEntry()
		return ok && n.pollEntry(ctx, m)
	}
	m, ok := n.pickPartner(0)
	return ok && n.reconcile(ctx, m)
}

// pullsPending reports whether a peer is known to have a newer document.
func (n *Node) pullsPending() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.pull.wants) > 0
}

// sampleLoop lets the meter sample once a second and detects that the process was frozen. After that its
// state is outdated, and it counts as just started until an exchange succeeds.
func (n *Node) sampleLoop(ctx context.Context) {
	for last := time.Now(); sleep(ctx, time.Second); last = time.Now() {
		n.Meter.Sample(time.Now())
		if time.Since(last) < pauseThreshold {
			continue
		}
		countRefused("pause")
		n.mu.Lock()
		n.synced, n.neighbours = false, nil
		n.mu.Unlock()
		n.Log.Warn().Dur("for", time.Since(last)).Msg("process resumed after a pause; treating configuration and members as outdated until the next exchange")
	}
}

// jitter returns a random duration within 20 % of d, so that processes started together don't stay
// synchronized.
func (n *Node) jitter(d time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return d*4/5 + time.Duration(n.Rand.Int64N(int64(d)*2/5+1))
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
