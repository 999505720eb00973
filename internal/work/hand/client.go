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

// Client hands requests over to other agents of one service.
type Client struct {
	service string
	ring    func() *token.Ring
	dial    Dial
	report  Report

	mu    sync.Mutex
	peers map[netip.AddrPort]*peer
}

// Report receives the load hint that an agent sends for its server.
type Report func(agent netip.AddrPort, h place.Hint)

// NewClient returns a client of one service. Ring returns the key ring of the document in force.
// Report receives the load hint of an agent with each of the agent's replies; it may be nil.
func NewClient(service string, ring func() *token.Ring, dial Dial, report Report) *Client {
	return &Client{service: service, ring: ring, dial: dial, report: report, peers: map[netip.AddrPort]*peer{}}
}

// Retain closes the idle links to all agents other than the given ones. It is called with each new
// document, so that the state held per address is bounded by the document.
func (c *Client) Retain(agents []netip.AddrPort) {
	known := make(map[netip.AddrPort]bool, len(agents))
	for _, a := range agents {
		known[a] = true
	}
	c.mu.Lock()
	var removed []*peer
	for a, p := range c.peers {
		if !known[a] {
			removed = append(removed, p)
			delete(c.peers, a)
		}
	}
	c.mu.Unlock()
	for _, p := range removed {
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

// HandOver hands a request over to the agent at an address and delivers its answer to a. It returns
// by the deadline or when ctx ends, even if the other agent does not respond.
//
// NotRun means that the request has not run at that agent and never will. It may be placed
// elsewhere if its body can be read again. For a request with a key it means that nothing has run
// under the key. After Unknown, only an idempotent request may be placed elsewhere. The answer may
// have been started whatever the outcome; it is complete only after Ran without a reason. Writes to
// a must fail once ctx has ended.
func (c *Client) HandOver(ctx context.Context, to netip.AddrPort, r *Request, a Answer) (end result.Result) {
	defer func() { count("ends", c.service, "near", end) }()
	if r.Hops >= MaxHops {
		return r.notSent(result.TooManyHops)
	}
	if ctx.Err() != nil {
		return r.notSent(result.CallerGone)
	}
	p := c.peer(to)
	dialing, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	l, err := p.acquire(dialing)
	if err != nil {
		event("unreached", c.service)
		return r.notSent(result.PeerUnreachable)
	}
	// The process may have been paused since the request arrived, so the time left is computed
	// here. Nothing of the request has been sent yet.
	now := time.Now()
	left := r.Deadline.Sub(now) - HopMargin
	if left <= 0 {
		l.release()
		return r.notSent(result.Expired)
	}
	copied := *r
	if copied.ID == "" {
		copied.ID = newID()
	}
	x := &exchange{client: c, link: l, request: &copied, answer: &resumableAnswer{answer: a}, credits: make(chan struct{}, 2*window)}
	return x.run(ctx, now, left)
}

// notSent returns the result of a request that has not been sent. The result of a request with a
// key also covers earlier attempts, which are not known to this agent, so it is unknown.
func (r *Request) notSent(reason result.Reason) result.Result {
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
