package hand

import (
	"context"
	"crypto/rand"
	"net/netip"
	"sync"
	"time"

	"mangowinch/internal/load/place"
	"mangowinch/internal/work/result"
	"mangowinch/internal/work/token"
)

// Client hands requests to other agents of one service.
type Client struct {
	service string
	ring    func() *token.Ring
	dial    Dial
	report  Report

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
}

// Report takes what an agent says of its server.
type Report func(agent netip.AddrPort, h place.Hint)

// NewClient gives a client of one service. Ring gives the keys of the document in force.
// Report gets what agents say of themselves whenever they answer; it may be nil.
func NewClient(service string, ring func() *token.Ring, dial Dial, report Report) *Client {
	return &Client{service: service, ring: ring, dial: dial, report: report, peers: map[netip.AddrPort]*peer{}}
}

// Retain closes the idle links to all agents but the given ones. It is called with each
// new document, so that what is held for addresses is bounded by the document.
func (c *Client) Retain(agents []netip.AddrPort) {
	known := make(map[netip.AddrPort]bool, len(agents))
	for _, a := range agents {
		known[a] = true
	}
	c.mu.Lock()
	var gone []*peer
	for a, p := range c.peers {
		if !known[a] {
			gone = append(gone, p)
			delete(c.peers, a)
		}
	}
	c.mu.Unlock()
	for _, p := range gone {
		p.closeIdle()
	}
}

func (c *Client) peer(a netip.AddrPort) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[a]
	if !ok {
		p = &peer{service: c.service, address: a, dial: c.dial, report: c.report}
		c.peers[a] = p
	}
	return p
}

// HandOver gives a request to the agent at an address and its answer to a. It returns at
// the deadline or when ctx ends, whatever the other agent does.
//
// NotRun means that the request did not run at that agent and never will; it may be
// placed elsewhere if its body can be read again. With a key it means that nothing ran
// under the key. After Unknown only an idempotent
// request may. An answer may have been started whatever the outcome; it is whole only
// after Ran without a reason. Writes of a must fail once ctx has ended.
func (c *Client) HandOver(ctx context.Context, to netip.AddrPort, r *Request, a Answer) (end result.Result) {
	defer func() { count("ends", c.service, "near", end) }()
	if r.Hops >= MaxHops {
		return r.unsent(result.TooManyHops)
	}
	if ctx.Err() != nil {
		return r.unsent(result.CallerGone)
	}
	p := c.peer(to)
	dialing, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	l, err := p.take(dialing)
	if err != nil {
		event("unreached", c.service)
		return r.unsent(result.PeerUnreachable)
	}
	// The time is taken here once more: the process may have been paused since. Up to
	// this point nothing of the request has left.
	now := time.Now()
	left := r.Deadline.Sub(now) - HopMargin
	if left <= 0 {
		l.giveBack()
		return r.unsent(result.Expired)
	}
	copied := *r
	if copied.ID == "" {
		copied.ID = newID()
	}
	x := &exchange{client: c, link: l, request: &copied, answer: &resume{answer: a}, credits: make(chan struct{}, 2*window)}
	return x.run(ctx, now, left)
}

// unsent is the end of a request that has not left. A request with a key asks about
// earlier tries too, of which this agent knows nothing.
func (r *Request) unsent(reason result.Reason) result.Result {
	if r.Key != "" {
		return unknown(reason)
	}
	return notRun(reason)
}

func newID() string {
	b := make([]byte, idSize)
	_, _ = rand.Read(b) // never fails, see crypto/rand
	return string(b)
}
