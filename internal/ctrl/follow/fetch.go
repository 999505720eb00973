package follow

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcserver"

	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/order"
)

const (
	// method is the only RPC method between processes.
	method = "/follow/Since"
	// fetchTimeout bounds a fetch from a peer. A peer that takes longer is slow or down, and the next beacon of
	// another peer starts a new fetch.
	fetchTimeout = 600 * time.Millisecond
	// fetchPause is the pause after each fetch, so that several changes in quick succession are fetched together.
	fetchPause = 20 * time.Millisecond
	// nearDelay is how long a process waits for an update in transit before it fetches the change from a peer of its
	// own failure domain, within which an update takes a few milliseconds. farDelay is how long it waits for a peer of
	// its own domain before it fetches from another domain.
	nearDelay = 20 * time.Millisecond
	farDelay  = 100 * time.Millisecond
	// maxServed bounds the fetches that a process serves at a time. After a restart of the whole fleet, hundreds of
	// peers fetch from the first process that has a belief, and without the bound none of them gets its response in time.
	maxServed = 16
)

// sinceRequest requests the changes after a revision.
type sinceRequest struct{ Revision order.Revision }

// Dial returns a function for Config.Fetch, which calls peers that run Serve at the given port.
func Dial(port uint16) func(ctx context.Context, peer netip.Addr, revision order.Revision) (belief.Change, error) {
	return func(ctx context.Context, peer netip.Addr, revision order.Revision) (c belief.Change, err error) {
		defer func() { err = errors.Wrapf(err, "fetch changes from %s", peer) }()
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", netip.AddrPortFrom(peer, port).String())
		if err != nil {
			return belief.Change{}, err
		}
		call := drpcconn.New(conn)
		defer func() { err = errors.CombineErrors(err, call.Close()) }()
		err = call.Invoke(ctx, method, encoding{}, &sinceRequest{Revision: revision}, &c)
		return c, err
	}
}

// Serve serves fetches of peers until ctx ends.
func Serve(ctx context.Context, l net.Listener, log *belief.Log) error {
	return drpcserver.New(handler{log, make(chan struct{}, maxServed)}).Serve(ctx, l)
}

type handler struct {
	log      *belief.Log
	inFlight chan struct{} // one element for each fetch in progress
}

// errBusy is returned when maxServed fetches are in progress. By the time of a retry, other peers have the changes too.
var errBusy = errors.New("too many concurrent fetches")

// HandleRPC serves one call.
func (h handler) HandleRPC(s drpc.Stream, rpc string) error {
	if rpc != method {
		return errors.Newf("unknown RPC method %q", rpc)
	}
	var in sinceRequest
	if err := s.MsgRecv(&in, encoding{}); err != nil {
		return err
	}
	select {
	case h.inFlight <- struct{}{}:
		defer func() { <-h.inFlight }()
	default:
		return errBusy
	}
	out := h.log.Since(in.Revision)
	return s.MsgSend(&out, countingEncoding{})
}

// fetchPeer is a peer whose belief has a higher revision than this process's.
type fetchPeer struct {
	addr       netip.Addr
	revision   order.Revision // 0: no peer
	asOf       time.Time      // when the peer's belief was last confirmed as complete; zero if unknown
	sameDomain bool           // the peer is in this process's failure domain
	candidates int            // number of equally good peers among which it was drawn
}

// ObserveRevision records that a peer's belief is complete up to a revision, which every message states.
func (n *Node) ObserveRevision(from netip.Addr, revision order.Revision) {
	n.observe(fetchPeer{addr: from, revision: revision})
}

// observe considers a peer as a source for the next fetch if its revision is higher than this process's.
func (n *Node) observe(a fetchPeer) {
	known := n.Log.Revision()
	if a.revision <= known {
		return
	}
	n.mu.Lock()
	if known == 0 && n.firstFetchPeerAt.IsZero() {
		n.firstFetchPeerAt = time.Now()
	}
	a.sameDomain = n.sameDomain(a.addr)
	n.fetchFrom.consider(a)
	n.mu.Unlock()
	wake(n.startFetching)
}

// consider replaces the chosen peer by another one if that is preferred: a peer of the same failure domain is preferred
// to others, and among equal ones the choice is random. When the whole fleet starts, all processes receive beacons from
// the same few peers first, which would otherwise have to serve everyone.
func (a *fetchPeer) consider(other fetchPeer) {
	switch {
	case a.revision == 0 || other.sameDomain && !a.sameDomain:
		*a = other
		a.candidates = 1
	case other.sameDomain == a.sameDomain:
		a.candidates++
		if rand.IntN(a.candidates) == 0 {
			other.candidates = a.candidates
			*a = other
		}
	}
}

// fetchLoop fetches changes from peers with higher revisions, one peer at a time.
func (n *Node) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.startFetching:
			sleep(ctx, n.fetchDelay())
			if from, ok := n.takeFetchPeer(); ok {
				n.fetch(ctx, from)
				sleep(ctx, fetchPause)
			}
		}
	}
}

// fetchDelay returns how long to wait for an update in transit before fetching. An entry without a belief fetches at
// once. An agent forwards packets without a belief; while it waits, it receives beacons from more peers to choose from.
func (n *Node) fetchDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.Log.Revision() == 0 && n.Role == msgs.Entry:
		return 0
	case n.fetchFrom.sameDomain || n.Log.Revision() == 0:
		return nearDelay
	default:
		return farDelay
	}
}

// takeFetchPeer returns the peer to fetch from, if its revision is still higher than this process's, and resets it.
func (n *Node) takeFetchPeer() (a fetchPeer, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a, n.fetchFrom = n.fetchFrom, fetchPeer{}
	return a, a.revision > n.Log.Revision()
}

// fetch fetches the missing changes from a peer and applies them.
func (n *Node) fetch(ctx context.Context, from fetchPeer) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	revision := n.Log.Revision()
	c, err := n.Fetch(ctx, from.addr, revision)
	if err != nil {
		metrics.GetOrCreateCounter(`mangowinch_fetches_total{result="failed"}`).Inc()
		n.Events.State("fetch-failed").Stringer("peer", from.addr).Stringer("revision", revision).Err(err).Send()
		return
	}
	metrics.GetOrCreateCounter(`mangowinch_fetches_total{result="ok"}`).Inc()
	n.HandleChange(time.Now(), from.addr, c)
	n.confirmFetched(from)
}

// confirmFetched takes over the confirmation time of a peer from which the belief was fetched.
func (n *Node) confirmFetched(from fetchPeer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if covers(n.Log.Revision(), from.revision) && from.asOf.After(n.asOf) {
		n.asOf = from.asOf
	}
}
