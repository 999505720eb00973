// Package relay spreads documents and changes of state among the processes.
//
// It exists because nothing is shared and nobody may write: thousands of
// processes learn a change within seconds although a few only read the platform
// and each may spend a few kilobytes a second. Entries hold all documents. Who
// learns of a newer one tells a few others (rumours), which pull the text from
// the teller and tell others; once a second every entry compares with one other
// by digest, so that what was lost is found. Agents hold the document of their own
// service: a few entries tell them of a change, frames and heartbeats carry
// revisions, and each asks some entry every few seconds.
//
// Revisions decide everything, so the order of messages doesn't matter and a
// message may be lost, late or doubled: package store keeps the highest one. The
// decisions are in packages store, digest, peers, duty and budget; this package is the
// loops around them. It doesn't carry requests or their outcomes (package hand).
//
// # Usage
//
//	node := relay.New(relay.Config{Self: self, Seeds: seeds, Store: s, Platform: fetch.New(url), Dial: dial, Meter: meter})
//	if err := node.Register(mux); err != nil { // a drpcmux.Mux that others share
//		return err
//	}
//	go node.Run(ctx)
//	node.Heard("tracing-core", 7, entryLink) // a frame carried a revision
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

// Peer is another process, as wire.DRPCRelayClient reaches it.
type Peer interface {
	Exchange(ctx context.Context, in *wire.Summary) (*wire.Summary, error)
	Pull(ctx context.Context, in *wire.Wants) (*wire.Texts, error)
	Beat(ctx context.Context, in *wire.Pulse) (*wire.Pulse, error)
}

// Platform is what is read of the platform, as fetch.Client reads it.
type Platform interface {
	Documents(ctx context.Context) (fetch.List, error)
	Watch(ctx context.Context, since order.Revision) (fetch.List, error)
	Document(ctx context.Context, name string) (fetch.Document, error)
	Instances(ctx context.Context) (fetch.Instances, error)
}

// Load is what an agent tells the other agents of its service.
type Load struct {
	Busy     int  `json:"busy"`
	Slots    int  `json:"slots"`
	Queue    int  `json:"queue"`
	Draining bool `json:"draining"`
}

// Config is what a Node is made of. Platform, Load and Leave may be nil.
type Config struct {
	Self     peers.Member
	Service  string // of an agent: the only document that it holds
	Server   string // of an agent: its own server section
	Seeds    []netip.AddrPort
	Store    *store.Store
	Platform Platform
	Dial     func(netip.AddrPort) Peer
	Meter    *budget.Meter
	Load     func() Load
	Leave    func() // the platform's list says that this process is to leave; may be called again
	Log      zerolog.Logger
	Rand     *rand.Rand // nil: seeded by the runtime
}

// Errors that a peer gets.
var (
	ErrBusy    = errors.New("over the budget of control")
	ErrService = errors.New("not of this service")
)

// answers bounds the calls that one process answers: at the planned size an
// entry gets two a second.
const (
	answersPerSecond = 50
	answersBurst     = 200
)

const refreshTries = 3

// pause is how late a timer of a second must be to show that the process was
// frozen; a busy machine makes it late by tenths.
const pause = 5 * time.Second

// Node is the relay of one process.
type Node struct {
	Config
	answers *rate.Limiter
	start   time.Time

	mu       sync.Mutex
	table    *peers.Table
	contact  time.Time // when anybody known last heard the platform
	watching bool      // holds a watch at the platform
	returns  returns
	stale    int            // documents of which the platform serves an older revision
	met      bool           // an exchange with a peer succeeded
	near     []peers.Member // neighbours: whom connections are kept to
	renew    time.Time      // when one of them is to be replaced
	digest   *digest.Digest
	view     *store.View // what digest stands for
	recent   []change    // what changed in the last seconds, newest last
	pull     puller
	mates    map[uint32]*PeerAgent
	polled   time.Time // agent: when an entry last answered
}

// New returns a relay that is not running yet.
func New(c Config) *Node {
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	c.Seeds = without(c.Seeds, c.Self.Address) // all processes may have the same settings
	most := peers.MaxMembers
	if c.Self.Role == peers.Agent {
		most = entriesOfAgent
	}
	return &Node{
		Config:  c,
		answers: rate.NewLimiter(answersPerSecond, answersBurst),
		start:   time.Now(),
		table:   peers.New(c.Self, most),
		pull:    newPuller(),
		mates:   map[uint32]*PeerAgent{},
	}
}

// Register adds the relay's handlers to a mux.
func (n *Node) Register(mux *drpcmux.Mux) error {
	return errors.Wrap(mux.Register(n, wire.DRPCRelayDescription{}), "register relay")
}

// Run relays until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { n.pulls(ctx) })
	running.Go(func() { n.sample(ctx) })
	if n.Self.Role == peers.Entry {
		running.Go(func() { n.compare(ctx) })
		running.Go(func() { n.seek(ctx) })
		running.Go(func() { n.tell(ctx) })
	} else {
		running.Go(func() { n.poll(ctx) })
		running.Go(func() { n.beat(ctx) })
	}
	if n.Platform != nil {
		running.Go(func() { n.attend(ctx) })
	}
	running.Wait()
}

// SetState tells the others that this process is live or leaving.
func (n *Node) SetState(s peers.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.SetState(s)
}

// Observe notes that a process which is reached at link has a revision of a
// document; a frame carried it. It is cheap when the revision is no news.
func (n *Node) Observe(name string, revision order.Revision, link netip.AddrPort) {
	if revision <= n.Store.View().Revision(name) || !n.holds(name) {
		return
	}
	n.want(digest.Item{Name: name, Revision: revision, Newest: revision}, link)
}

// Entries returns the links of the entries that are believed live.
func (n *Node) Entries() []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	var links []netip.AddrPort
	for _, m := range n.table.Live(peers.Entries) {
		links = append(links, m.Address)
	}
	return links
}

// holds says whether this process holds a document.
func (n *Node) holds(name string) bool { return n.Service == "" || n.Service == name }

// current returns the digest of what the store holds now. The lock is held.
func (n *Node) current() (*digest.Digest, *store.View) {
	if v := n.Store.View(); v != n.view {
		n.digest, n.view = digest.Of(v), v
	}
	return n.digest, n.view
}

// heardPlatform notes that somebody heard the platform at a time.
func (n *Node) heardPlatform(at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if at.After(n.contact) {
		n.contact = at
	}
}

// Fresh says whether this process has talked to another one since it started or
// woke up. Until then what it believes may be old.
func (n *Node) Fresh() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.met
}

// Refresh asks somebody for news, and returns when what is lacking came, when
// nobody answered, or with ctx. It is for a process that woke up late.
func (n *Node) Refresh(ctx context.Context) {
	for range refreshTries {
		if n.askAnybody(ctx) {
			break
		}
	}
	for ctx.Err() == nil && n.lacking() {
		sleep(ctx, pullRetry/10)
	}
}

func (n *Node) askAnybody(ctx context.Context) bool {
	if n.Self.Role == peers.Agent {
		m, ok := n.anyEntry()
		return ok && n.pollOne(ctx, m)
	}
	m, ok := n.partner(0)
	return ok && n.meet(ctx, m)
}

// lacking says whether a peer is known to have something newer.
func (n *Node) lacking() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.pull.wants) > 0
}

// sample lets the meter look once a second, and notices a pause of the process: it
// was frozen, and wakes with beliefs of before. They count as those of a start
// until it has talked to somebody.
func (n *Node) sample(ctx context.Context) {
	for last := time.Now(); sleep(ctx, time.Second); last = time.Now() {
		n.Meter.Sample(time.Now())
		if time.Since(last) < pause {
			continue
		}
		refused("pause")
		n.mu.Lock()
		n.met, n.near = false, nil
		n.mu.Unlock()
		n.Log.Warn().Dur("for", time.Since(last)).Msg("woken after a pause")
	}
}

// jitter returns d, a fifth more or less, so that processes started together don't stay in step.
func (n *Node) jitter(d time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return d*4/5 + time.Duration(n.Rand.Int64N(int64(d)*2/5+1))
}

// sleep waits for d and reports whether ctx goes on.
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
