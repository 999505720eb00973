package follow

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcserver"

	"mangowinch/internal/ctrl/belief"
)

const (
	// method is the one call between processes.
	method = "/follow/Since"
	// fetchTime bounds a fetch from a peer; a peer that needs longer is slow or gone, and another tells.
	fetchTime = 600 * time.Millisecond
	// fetchPause spaces fetches, so that a row of changes is fetched together.
	fetchPause = 20 * time.Millisecond
)

// since asks for what is newer than a revision.
type since struct{ Revision uint64 }

// Dial is the Fetch of a Config: it calls a peer that runs Serve at the given port.
func Dial(port uint16) func(ctx context.Context, peer netip.Addr, revision uint64) (belief.Change, error) {
	return func(ctx context.Context, peer netip.Addr, revision uint64) (c belief.Change, err error) {
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
	return drpcserver.New(handler{log}).Serve(ctx, l)
}

type handler struct{ log *belief.Log }

// HandleRPC answers one call.
func (h handler) HandleRPC(s drpc.Stream, rpc string) error {
	if rpc != method {
		return errors.Newf("unknown call %q", rpc)
	}
	var in since
	if err := s.MsgRecv(&in, encoding{}); err != nil {
		return err
	}
	out := h.log.Since(in.Revision)
	return s.MsgSend(&out, counting{})
}

// fetchLoop asks peers that know more, one at a time.
func (n *Node) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-n.behind:
			n.fetch(ctx, from)
			sleep(ctx, fetchPause)
		}
	}
}

func (n *Node) fetch(ctx context.Context, from netip.Addr) {
	ctx, cancel := context.WithTimeout(ctx, fetchTime)
	defer cancel()
	revision := n.Log.Revision()
	c, err := n.Fetch(ctx, from, revision)
	if err != nil {
		metrics.GetOrCreateCounter(`mangowinch_fetches_total{result="failed"}`).Inc()
		n.Events.State("fetch-failed").Stringer("peer", from).Uint64("revision", revision).Err(err).Send()
		return
	}
	metrics.GetOrCreateCounter(`mangowinch_fetches_total{result="ok"}`).Inc()
	n.Learn(time.Now(), from, c)
}
