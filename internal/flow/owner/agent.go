package owner

import (
	"net/netip"
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/load/parts"
)

// Flow is the state of a flow that an agent's server holds or is about to accept.
type Flow struct {
	Seq          uint32     // first sequence number of the server, or a later one that it sent
	Accepted     bool       // the server has accepted the flow
	Open         bool       // the caller has sent a matching packet since
	Established  bool       // the server has sent a packet after the handshake
	Origin       netip.Addr // entry that sent the last packet
	Created      time.Time
	LastUsed     time.Time     // last packet in either direction
	PendingSince time.Time     // arrival of the caller's data that is still unanswered; zero: none
	Home         netip.Addr    // agent at which the flow is registered
	Requested    bool          // a request has arrived on the flow
	Ahead        int           // requests that were in progress at the server when the last one arrived
	Service      time.Duration // time that the server spent on the last request; 0: unknown
	Ack          uint32        // the caller's last acknowledgement; 0 before its first packet after the opening ones
	acceptedAt   time.Time     // when the server answered the opening packet; zero: not observed
	dataEnd      uint32        // sequence number after the caller's last data
	dataEndKnown bool          // dataEnd is set
	callerOpen   bool          // no FIN or RST has closed the caller's end
	serverOpen   bool
	called       netip.AddrPort // address to which the last request was sent
	beganAt      time.Time      // when the server began with the request in progress, or last received data of it after that; zero: it waits
}

// Busy reports whether a request is in progress.
func (o *Flow) Busy() bool { return !o.PendingSince.IsZero() }

// Fits reports whether a caller's packet with the acknowledgement ack belongs to the server's flow.
func (o *Flow) Fits(ack uint32) bool { return o.Accepted && (o.Open || segs.IsFirstAck(ack, o.Seq)) }

// Idle reports whether the flow is open at both ends and has no request in progress.
func (o *Flow) Idle() bool {
	return o.Established && o.callerOpen && o.serverOpen && !o.Busy() && o.Ack != 0
}

// Closed reports whether both ends have closed the flow.
func (o *Flow) Closed() bool { return !o.callerOpen && !o.serverOpen }

// Agent is an agent's table of the flows of its own server. It also counts requests in progress (requests.go).
type Agent struct {
	limit     int
	flows     map[segs.Flow]*Flow
	requests  requests
	lastSweep time.Time
}

// NewAgent returns a table of at most limit flows.
func NewAgent(limit int, off parts.Off) *Agent {
	return &Agent{limit: limit, flows: map[segs.Flow]*Flow{}, requests: requests{off: off}}
}

// Get returns the state of a flow, or nil if the flow is unknown.
func (t *Agent) Get(f segs.Flow) *Flow { return t.flows[f] }

// Add returns the state of a flow and creates it if needed. It returns nil if the flow is new and the table
// is full.
func (t *Agent) Add(now time.Time, f segs.Flow) *Flow {
	if o := t.flows[f]; o != nil {
		return o
	}
	if len(t.flows) >= t.limit {
		return nil
	}
	o := &Flow{Created: now, LastUsed: now, callerOpen: true, serverOpen: true}
	t.flows[f] = o
	t.requests.opened(now, o)
	return o
}

// Delete removes a flow.
func (t *Agent) Delete(f segs.Flow) {
	if o := t.flows[f]; o != nil {
		o.PendingSince, o.Requested = time.Time{}, true
		delete(t.flows, f)
	}
}

// Len returns the number of flows.
func (t *Agent) Len() int { return len(t.flows) }

// All calls yield with each flow until it returns false.
func (t *Agent) All(yield func(segs.Flow, *Flow) bool) {
	for f, o := range t.flows {
		if !yield(f, o) {
			return
		}
	}
}

// Accept records that the server has answered a flow's opening packet with its first sequence number.
func (t *Agent) Accept(now time.Time, o *Flow, seq uint32) {
	o.Accepted, o.Seq, o.acceptedAt = true, seq, now
}

// Learn records that the server holds a flow whose opening was not observed. seq must not be greater than any
// sequence number that the caller may acknowledge.
func (t *Agent) Learn(o *Flow, seq uint32) {
	o.Accepted, o.Seq, o.Open, o.Requested = true, seq, true, true
}

// FromCaller records a packet that is sent to the server.
func (t *Agent) FromCaller(now time.Time, o *Flow, s *segs.Segment) {
	o.LastUsed, o.Ack = now, s.Ack
	if s.Len > 0 && !o.Requested {
		o.Requested = true
		if !o.acceptedAt.IsZero() {
			t.requests.addDelay(now.Sub(o.acceptedAt))
		}
	}
	if o.addData(s) {
		if o.PendingSince.IsZero() {
			_, o.Ahead, _ = t.requests.count(now)
			o.PendingSince, o.called = now, s.Flow.ServiceAddr()
			t.requests.arrived(now, o)
			t.requests.asked(now, o)
		}
		o.dataArrived(now)
	}
	if s.Flags&(segs.Fin|segs.Rst) != 0 {
		o.callerOpen = false
		o.PendingSince = time.Time{} // the caller no longer waits for an answer
	}
}

// addData records the data of a caller's packet and reports whether it is new. A caller retransmits data
// whose acknowledgement was lost, even after the answer. Counted as a request, such data would never be
// answered, and the server would seem permanently busy.
func (o *Flow) addData(s *segs.Segment) bool {
	if s.Len == 0 {
		return false
	}
	end := s.Seq + uint32(s.Len)
	if o.dataEndKnown && int32(end-o.dataEnd) <= 0 {
		return false
	}
	o.dataEnd, o.dataEndKnown = end, true
	return true
}

// FromServer records a packet that the server sent. It returns the duration of the request that the
// packet answers, or 0 if it answers none.
func (t *Agent) FromServer(now time.Time, o *Flow, s *segs.Segment) (took time.Duration) {
	o.LastUsed = now
	if s.Len > 0 {
		o.Requested = true
	}
	if !s.Accepting() {
		o.Established = true
	}
	if s.Has(segs.Ack) && (!o.dataEndKnown || int32(s.Ack-o.dataEnd) > 0) {
		o.dataEnd, o.dataEndKnown = s.Ack, true // a retransmission of what the server has acknowledged is not new data
	}
	if o.Busy() && answers(s) {
		took = now.Sub(o.PendingSince)
		t.requests.answered(took)
		o.Service = t.requests.served(now, o)
		o.PendingSince = time.Time{}
	}
	if s.Flags&(segs.Fin|segs.Rst) != 0 {
		o.serverOpen = false
		o.PendingSince = time.Time{}
	}
	if s.Has(segs.Rst) {
		o.callerOpen = false
	}
	return took
}

// answers reports whether a server's packet counts as the first of an answer. On a flow for one request, the
// closing packet may overtake the data before it. If it did not count, a server of such flows would seem
// never to answer.
func answers(s *segs.Segment) bool { return s.Len > 0 || s.Has(segs.Fin) && !s.Has(segs.Rst) }

// Lifetimes bounds how long flows are kept.
type Lifetimes struct {
	Idle    time.Duration // without a packet
	MaxAge  time.Duration // since the flow was created
	Closed  time.Duration // after both ends have closed
	Opening time.Duration // without the server's answer to the opening packet
}

// Expire removes flows that have ended or exceed one of the lifetimes.
func (t *Agent) Expire(now time.Time, l Lifetimes) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	for f, o := range t.flows {
		unused := now.Sub(o.LastUsed)
		if unused > l.Idle || now.Sub(o.Created) > l.MaxAge ||
			o.Closed() && unused > l.Closed || !o.Accepted && unused > l.Opening {
			t.Delete(f)
		}
	}
}

// registration records that an agent owns a flow.
type registration struct {
	agent        netip.Addr
	seq          uint32
	registeredAt time.Time
	previous     *registration // an earlier registration by another agent, or nil
}

// Home holds the location records of the flows that an agent is the home of.
type Home struct {
	limit     int
	flows     map[segs.Flow]registration
	lastSweep time.Time
}

// NewHome returns a table of at most limit flows.
func NewHome(limit int) *Home { return &Home{limit: limit, flows: map[segs.Flow]registration{}} }

// Len returns the number of flows.
func (h *Home) Len() int { return len(h.flows) }

// Register records that an agent owns a flow. If two servers accepted the flow, both are kept: the copies of
// an opening packet reach more than two servers only once in a thousand flows.
func (h *Home) Register(now time.Time, agent netip.Addr, p msgs.Location) {
	prev, known := h.flows[p.Flow]
	if !known && len(h.flows) >= h.limit {
		return // a lookup at all agents finds the flow
	}
	r := registration{agent: agent, seq: p.Seq, registeredAt: now}
	switch {
	case known && prev.agent != agent:
		prev.previous = nil
		r.previous = &prev
	case known:
		r.previous = prev.previous
	}
	h.flows[p.Flow] = r
}

// Owner returns the owner of a flow for a packet with the acknowledgement ack.
func (h *Home) Owner(f segs.Flow, ack uint32) (agent netip.Addr, ok bool) {
	r, ok := h.flows[f]
	if !ok {
		return netip.Addr{}, false
	}
	if r.previous != nil && segs.Distance(ack, r.previous.seq) < segs.Distance(ack, r.seq) {
		return r.previous.agent, true
	}
	return r.agent, true
}

// Delete removes a flow if the agent is its latest registered owner.
func (h *Home) Delete(f segs.Flow, agent netip.Addr) {
	if r, ok := h.flows[f]; ok && r.agent == agent {
		delete(h.flows, f)
	}
}

// Expire removes registrations older than maxAge.
func (h *Home) Expire(now time.Time, maxAge time.Duration) {
	if now.Sub(h.lastSweep) < sweepInterval {
		return
	}
	h.lastSweep = now
	for f, r := range h.flows {
		if now.Sub(r.registeredAt) > maxAge {
			delete(h.flows, f)
		}
	}
}
