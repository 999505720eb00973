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
	// method is the one call between processes.
	method = "/follow/Since"
	// fetchTimeout bounds a fetch from a peer; a peer that needs longer is slow or gone, and another tells.
	fetchTimeout = 600 * time.Millisecond
	// fetchPause spaces fetches, so that a row of changes is fetched together.
	fetchPause = 20 * time.Millisecond
	// nearDelay is how long a process waits for news under way before it fetches a change: within a failure domain they
	// take a few milliseconds. farPause is how long it leaves that to its domain before it asks a peer of another one.
	nearDelay = 20 * time.Millisecond
	farDelay  = 100 * time.Millisecond
	// maxServed is how many peers a process gives changes to at a time. After a restart of all, the first to know
	// anything was asked by hundreds at once, and none of them got an answer in time.
	maxServed = 16
)

// sinceRequest asks for what is newer than a revision.
type sinceRequest struct{ Revision order.Revision }

// Dial is the Fetch of a Config: it calls a peer that runs Serve at the given port.
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

// Serve answers peers' fetches until ctx ends.
func Serve(ctx context.Context, l net.Listener, log *belief.Log) error {
	return drpcserver.New(handler{log, make(chan struct{}, maxServed)}).Serve(ctx, l)
}

type handler struct {
	log      *belief.Log
	inFlight chan struct{} // holds one for each fetch under way
}

// errBusy says that enough peers are being given changes. Others know them too by the time that this one is asked again.
var errBusy = errors.New("enough fetches under way")

// HandleRPC answers one call.
func (h handler) HandleRPC(s drpc.Stream, rpc string) error {
	if rpc != method {
		return errors.Newf("unknown call %q", rpc)
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

// fetchPeer is a peer that knows more than this process.
type fetchPeer struct {
	addr       netip.Addr
	revision   order.Revision // 0: nobody
	asOf       time.Time      // its belief is known to be complete as of then; zero: not known
	sameDomain bool           // it is in this process's failure domain
	candidates int            // peers among which it was drawn
}

// ObserveRevision says that a peer is complete up to a revision, as every message tells.
func (n *Node) ObserveRevision(from netip.Addr, revision order.Revision) {
	n.observe(fetchPeer{addr: from, revision: revision})
}

// observe takes a peer into account that may be ahead.
func (n *Node) observe(a fetchPeer) {
	known := n.Log.Revision()
	if a.revision <= known {
		return
	}
	n.mu.Lock()
	if known == 0 && n.firstOffer.IsZero() {
		n.firstOffer = time.Now()
	}
	a.sameDomain = n.sameDomain(a.addr)
	n.fetchFrom.consider(a)
	n.mu.Unlock()
	wake(n.startFetching)
}

// consider takes a peer that is ahead into account: near ones go before others, and of equals one is drawn. The first to be
// heard are the same for all when all start at once, and would have to give everything to everybody.
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

// fetchLoop asks peers that know more, one at a time.
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

// fetchDelay is how long news are waited for. An entry that knows nothing waits for nobody; an agent carries packets without
// knowing anything, and hears of more peers to choose from meanwhile.
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

// takeFetchPeer returns whom to ask, if anybody still knows more.
func (n *Node) takeFetchPeer() (a fetchPeer, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a, n.fetchFrom = n.fetchFrom, fetchPeer{}
	return a, a.revision > n.Log.Revision()
}

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

// confirmFetched makes the belief as fresh as that of a peer from which it was fetched.
func (n *Node) confirmFetched(from fetchPeer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if covers(n.Log.Revision(), from.revision) && from.asOf.After(n.asOf) {
		n.asOf = from.asOf
	}
}
