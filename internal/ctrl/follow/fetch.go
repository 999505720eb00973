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
	// fetchTime bounds a fetch from a peer; a peer that needs longer is slow or gone, and another tells.
	fetchTime = 600 * time.Millisecond
	// fetchPause spaces fetches, so that a row of changes is fetched together.
	fetchPause = 20 * time.Millisecond
	// nearPause is how long a process waits for news under way before it fetches a change: within a failure domain they
	// take a few milliseconds. farPause is how long it leaves that to its domain before it asks a peer of another one.
	nearPause = 20 * time.Millisecond
	farPause  = 100 * time.Millisecond
	// mostGiven is how many peers a process gives changes to at a time. After a restart of all, the first to know
	// anything was asked by hundreds at once, and none of them got an answer in time.
	mostGiven = 16
)

// since asks for what is newer than a revision.
type since struct{ Revision order.Revision }

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
		err = call.Invoke(ctx, method, encoding{}, &since{Revision: revision}, &c)
		return c, err
	}
}

// Serve answers peers' fetches until ctx ends.
func Serve(ctx context.Context, l net.Listener, log *belief.Log) error {
	return drpcserver.New(handler{log, make(chan struct{}, mostGiven)}).Serve(ctx, l)
}

type handler struct {
	log   *belief.Log
	given chan struct{} // holds one for each fetch under way
}

// errBusy says that enough peers are being given changes. Others know them too by the time that this one is asked again.
var errBusy = errors.New("enough fetches under way")

// HandleRPC answers one call.
func (h handler) HandleRPC(s drpc.Stream, rpc string) error {
	if rpc != method {
		return errors.Newf("unknown call %q", rpc)
	}
	var in since
	if err := s.MsgRecv(&in, encoding{}); err != nil {
		return err
	}
	select {
	case h.given <- struct{}{}:
		defer func() { <-h.given }()
	default:
		return errBusy
	}
	out := h.log.Since(in.Revision)
	return s.MsgSend(&out, counting{})
}

// ahead is a peer that knows more than this process.
type ahead struct {
	peer     netip.Addr
	revision order.Revision // 0: nobody
	asOf     time.Time      // its belief is known to be complete as of then; zero: not known
	near     bool           // it is in this process's failure domain
	of       int            // peers among which it was drawn
}

// ObserveRevision says that a peer is complete up to a revision, as every message tells.
func (n *Node) ObserveRevision(from netip.Addr, revision order.Revision) {
	n.noticed(ahead{peer: from, revision: revision})
}

// noticed takes a peer into account that may be ahead.
func (n *Node) noticed(a ahead) {
	known := n.Log.Revision()
	if a.revision <= known {
		return
	}
	n.mu.Lock()
	if known == 0 && n.offered.IsZero() {
		n.offered = time.Now()
	}
	a.near = n.near(a.peer)
	n.ahead.consider(a)
	n.mu.Unlock()
	wake(n.behind)
}

// consider takes a peer that is ahead into account: near ones go before others, and of equals one is drawn. The first to be
// heard are the same for all when all start at once, and would have to give everything to everybody.
func (a *ahead) consider(other ahead) {
	switch {
	case a.revision == 0 || other.near && !a.near:
		*a = other
		a.of = 1
	case other.near == a.near:
		a.of++
		if rand.IntN(a.of) == 0 {
			other.of = a.of
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
		case <-n.behind:
			sleep(ctx, n.pause())
			if from, ok := n.takeAhead(); ok {
				n.fetch(ctx, from)
				sleep(ctx, fetchPause)
			}
		}
	}
}

// pause is how long news are waited for. An entry that knows nothing waits for nobody; an agent carries packets without
// knowing anything, and hears of more peers to choose from meanwhile.
func (n *Node) pause() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.Log.Revision() == 0 && n.Role == msgs.Entry:
		return 0
	case n.ahead.near || n.Log.Revision() == 0:
		return nearPause
	default:
		return farPause
	}
}

// takeAhead returns whom to ask, if anybody still knows more.
func (n *Node) takeAhead() (a ahead, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a, n.ahead = n.ahead, ahead{}
	return a, a.revision > n.Log.Revision()
}

func (n *Node) fetch(ctx context.Context, from ahead) {
	ctx, cancel := context.WithTimeout(ctx, fetchTime)
	defer cancel()
	revision := n.Log.Revision()
	c, err := n.Fetch(ctx, from.peer, revision)
	if err != nil {
		metrics.GetOrCreateCounter(`mangowinch_fetches_total{result="failed"}`).Inc()
		n.Events.State("fetch-failed").Stringer("peer", from.peer).Stringer("revision", revision).Err(err).Send()
		return
	}
	metrics.GetOrCreateCounter(`mangowinch_fetches_total{result="ok"}`).Inc()
	n.HandleChange(time.Now(), from.peer, c)
	n.fresh(from)
}

// fresh makes the belief as fresh as that of a peer from which it was fetched.
func (n *Node) fresh(from ahead) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if covers(n.Log.Revision(), from.revision) && from.asOf.After(n.asOf) {
		n.asOf = from.asOf
	}
}
