package owner

import (
	"net/netip"
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/load/parts"
)

// Flow is a flow that an agent's server holds, or is about to.
type Flow struct {
	Seq          uint32     // first sequence number of the server, or a later one that it was seen to send
	Accepted     bool       // the server has accepted it
	Open         bool       // a packet of the caller that fits has followed
	Established  bool       // the server has answered on it after the handshake
	Origin       netip.Addr // entry that sent the last packet
	Created      time.Time
	LastUsed     time.Time  // last packet in either direction
	PendingSince time.Time  // the caller's data that has no answer yet came then; zero: none
	Home         netip.Addr // where it is registered
	Requested    bool       // a request has come on it
	Ack          uint32     // what the caller acknowledged last, 0 before its first packet after the opening ones
	accepted     time.Time  // when the server answered the opening packet; zero: not seen
	end          uint32     // sequence number after the caller's last data
	started      bool       // end is known
	callerUp     bool       // the caller hasn't sent FIN
	serverUp     bool
}

// Busy says whether a request is under way.
func (o *Flow) Busy() bool { return !o.PendingSince.IsZero() }

// Fits says whether a caller's packet with this acknowledgement belongs to the server's flow.
func (o *Flow) Fits(ack uint32) bool {
	return o.Accepted && (o.Open || segs.IsFirstAck(ack, o.Seq))
}

// Idle says whether the flow is open, neither end has closed, and no request is under way.
func (o *Flow) Idle() bool {
	return o.Established && o.callerUp && o.serverUp && !o.Busy() && o.Ack != 0
}

// Closed says whether both ends have closed.
func (o *Flow) Closed() bool { return !o.callerUp && !o.serverUp }

// Agent is an agent's table of its own server's flows. It counts requests under way (work.go).
type Agent struct {
	limit int
	flows map[segs.Flow]*Flow
	work  requests
	sweep time.Time
}

// NewAgent returns a table of at most limit flows.
func NewAgent(limit int, off parts.Off) *Agent {
	return &Agent{limit: limit, flows: map[segs.Flow]*Flow{}, work: requests{off: off}}
}

// Get returns a flow, or nil.
func (t *Agent) Get(f segs.Flow) *Flow { return t.flows[f] }

// Add begins a flow; it returns nil if the table is full.
func (t *Agent) Add(now time.Time, f segs.Flow) *Flow {
	if o := t.flows[f]; o != nil {
		return o
	}
	if len(t.flows) >= t.limit {
		return nil
	}
	o := &Flow{Created: now, LastUsed: now, callerUp: true, serverUp: true}
	t.flows[f] = o
	t.work.opened(now, o)
	return o
}

// Delete forgets a flow.
func (t *Agent) Delete(f segs.Flow) {
	if o := t.flows[f]; o != nil {
		o.PendingSince, o.Requested = time.Time{}, true
		delete(t.flows, f)
	}
}

// Len is the number of flows.
func (t *Agent) Len() int { return len(t.flows) }

// All calls yield with each flow until it returns false.
func (t *Agent) All(yield func(segs.Flow, *Flow) bool) {
	for f, o := range t.flows {
		if !yield(f, o) {
			return
		}
	}
}

// Accept notes that the server has answered a flow's opening packet with its first sequence number.
func (t *Agent) Accept(now time.Time, o *Flow, seq uint32) {
	o.Accepted, o.Seq, o.accepted = true, seq, now
}

// Learn notes that the server holds a flow whose opening wasn't seen; seq is at or before all that
// the caller may acknowledge.
func (t *Agent) Learn(o *Flow, seq uint32) {
	o.Accepted, o.Seq, o.Open, o.Requested = true, seq, true, true
}

// FromCaller notes a packet that goes to the server.
func (t *Agent) FromCaller(now time.Time, o *Flow, s *segs.Segment) {
	o.LastUsed, o.Ack = now, s.Ack
	if s.Len > 0 && !o.Requested {
		o.Requested = true
		if !o.accepted.IsZero() {
			t.work.began(now.Sub(o.accepted))
		}
	}
	if o.fresh(s) && o.PendingSince.IsZero() {
		o.PendingSince = now
		t.work.asked(now, o)
	}
	if s.Flags&(segs.Fin|segs.Rst) != 0 {
		o.callerUp = false
		o.PendingSince = time.Time{} // it waits no more
	}
}

// fresh says whether the caller's packet has data that it hasn't sent before. A caller repeats data
// whose acknowledgement was lost, also after the answer; counted as a request it would have
// no answer, and the server would seem busy for good.
func (o *Flow) fresh(s *segs.Segment) bool {
	if s.Len == 0 {
		return false
	}
	end := s.Seq + uint32(s.Len)
	if o.started && int32(end-o.end) <= 0 {
		return false
	}
	o.end, o.started = end, true
	return true
}

// FromServer notes a packet that the server sent. Took is how long the request took that
// it answers, 0 if it answers none.
func (t *Agent) FromServer(now time.Time, o *Flow, s *segs.Segment) (took time.Duration) {
	o.LastUsed = now
	if s.Len > 0 {
		o.Requested = true
	}
	if !s.Accepting() {
		o.Established = true
	}
	if s.Has(segs.Ack) && (!o.started || int32(s.Ack-o.end) > 0) {
		o.end, o.started = s.Ack, true // what the server has is nothing new if it comes again
	}
	if o.Busy() && answers(s) {
		took = now.Sub(o.PendingSince)
		t.work.answered(took)
		o.PendingSince = time.Time{}
	}
	if s.Flags&(segs.Fin|segs.Rst) != 0 {
		o.serverUp = false
		o.PendingSince = time.Time{}
	}
	if s.Has(segs.Rst) {
		o.callerUp = false
	}
	return took
}

// answers says whether a server's packet is an answer's first to come. On a flow for one request the packet that closes it may
// overtake the data before it; not counted as an answer, a server of such flows would seem never to answer any.
func answers(s *segs.Segment) bool { return s.Len > 0 || s.Has(segs.Fin) && !s.Has(segs.Rst) }

// Lifetimes bound how long flows are remembered.
type Lifetimes struct {
	Idle    time.Duration // without a packet
	MaxAge  time.Duration // since the flow began
	Closed  time.Duration // after both ends have closed
	Opening time.Duration // without an answer of the server
}

// Expire forgets flows that have ended or were left.
func (t *Agent) Expire(now time.Time, l Lifetimes) {
	if now.Sub(t.sweep) < sweepEvery {
		return
	}
	t.sweep = now
	for f, o := range t.flows {
		unused := now.Sub(o.LastUsed)
		if unused > l.Idle || now.Sub(o.Created) > l.MaxAge ||
			o.Closed() && unused > l.Closed || !o.Accepted && unused > l.Opening {
			t.Delete(f)
		}
	}
}

// registration is a flow that another agent owns.
type registration struct {
	agent netip.Addr
	seq   uint32
	at    time.Time
	next  *registration // an earlier one, of another agent
}

// Home is what an agent remembers as the home of flows.
type Home struct {
	limit int
	flows map[segs.Flow]registration
	sweep time.Time
}

// NewHome returns a memory of at most limit flows.
func NewHome(limit int) *Home {
	return &Home{limit: limit, flows: map[segs.Flow]registration{}}
}

// Len is the number of flows.
func (h *Home) Len() int { return len(h.flows) }

// Register remembers that an agent owns a flow. When two servers accepted, both are
// kept; two is as many as copies of an opening packet reach, but for one in a thousand.
func (h *Home) Register(now time.Time, agent netip.Addr, p msgs.Location) {
	before, known := h.flows[p.Flow]
	if !known && len(h.flows) >= h.limit {
		return // found by asking all
	}
	r := registration{agent: agent, seq: p.Seq, at: now}
	switch {
	case known && before.agent != agent:
		before.next = nil
		r.next = &before
	case known:
		r.next = before.next
	}
	h.flows[p.Flow] = r
}

// Owner returns the owner for a packet with an acknowledgement.
func (h *Home) Owner(f segs.Flow, ack uint32) (agent netip.Addr, ok bool) {
	r, ok := h.flows[f]
	if !ok {
		return netip.Addr{}, false
	}
	if r.next != nil && segs.Distance(ack, r.next.seq) < segs.Distance(ack, r.seq) {
		return r.next.agent, true
	}
	return r.agent, true
}

// Delete forgets a flow if the agent is the one registered.
func (h *Home) Delete(f segs.Flow, agent netip.Addr) {
	if r, ok := h.flows[f]; ok && r.agent == agent {
		delete(h.flows, f)
	}
}

// Expire forgets registrations older than life.
func (h *Home) Expire(now time.Time, life time.Duration) {
	if now.Sub(h.sweep) < sweepEvery {
		return
	}
	h.sweep = now
	for f, r := range h.flows {
		if now.Sub(r.at) > life {
			delete(h.flows, f)
		}
	}
}
