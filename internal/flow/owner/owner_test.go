package owner

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/load/parts"
)

var (
	now  = time.Unix(1_700_000_000, 0)
	one  = netip.MustParseAddr("10.0.1.1")
	two  = netip.MustParseAddr("10.0.1.2")
	flow = segs.Flow{Caller: [4]byte{100, 64, 0, 7}, CallerPort: 40001, Service: [4]byte{198, 18, 0, 1}, Port: 443}
)

func data(seq uint32) *segs.Segment {
	return &segs.Segment{Flow: flow, Flags: segs.Ack, Seq: seq, Len: 100}
}

// Two servers accept a flow and the caller chooses one. If Fits allowed too wide a range of acknowledgements,
// the caller's would match the other server's sequence number by chance once in 64 flows: that server would
// return the packet, and the open flow would be reset.
func TestHalfOpenFlowFitsOnlyPacketsOfItsServer(t *testing.T) {
	table := NewAgent(10, parts.Off{})
	o := table.Add(now, flow)
	o.Accepted, o.Seq = true, 1000
	assert.Assert(t, o.Fits(1001))
	assert.Assert(t, o.Fits(1001+16*1200))
	assert.Assert(t, !o.Fits(1001+40<<20))
	assert.Assert(t, !o.Fits(1000))
}

// An entry sends an opening packet and its copy to two agents, and both servers accept.
func TestPacketGoesToTheServerThatItAcknowledges(t *testing.T) {
	p := &EntryFlow{Candidates: []Candidate{{Agent: one}, {Agent: two}}}
	p.MarkAccepted(one, 5000)
	p.MarkAccepted(two, 900_000)
	for ack, want := range map[uint32]netip.Addr{5001: one, 90_000: one, 900_001: two, 1_200_000: two} {
		got, ok := p.AgentFor(ack)
		assert.Assert(t, ok)
		assert.Equal(t, got, want, ack)
	}
	p.Remove(two)
	got, _ := p.AgentFor(1_200_000)
	assert.Equal(t, got, one)
}

func TestHomeKnowsBothServersThatAccepted(t *testing.T) {
	h := NewHome(10)
	h.Register(now, one, msgs.Location{Flow: flow, Seq: 5000})
	h.Register(now, two, msgs.Location{Flow: flow, Seq: 900_000})
	got, ok := h.Owner(flow, 5001)
	assert.Assert(t, ok)
	assert.Equal(t, got, one)
	got, _ = h.Owner(flow, 900_300)
	assert.Equal(t, got, two)
}

// A full table must not evict an open flow for a new one.
func TestFullTablesRefuseNewFlows(t *testing.T) {
	other := flow
	other.CallerPort++
	a, e := NewAgent(1, parts.Off{}), NewEntry(1)
	assert.Assert(t, a.Add(now, flow) != nil && e.Add(now, flow) != nil)
	assert.Assert(t, a.Add(now, other) == nil && e.Add(now, other) == nil)
	assert.Assert(t, a.Add(now, flow) != nil && e.Add(now, flow) != nil)
}

// A request that its caller gave up, or whose answer was never observed, must not use a slot of the server
// for the rest of the flow.
func TestRequestsWithoutAnAnswerAreOverdue(t *testing.T) {
	table := NewAgent(10, parts.Off{})
	o := table.Add(now, flow)
	assert.Equal(t, table.Expected(now), 1, "a flow is opened for a request")
	table.FromCaller(now, o, data(1))
	assert.Equal(t, table.Expected(now), 1)
	table.FromCaller(now, o, data(1))
	assert.Equal(t, table.Expected(now), 1, "retransmitted data is no new request")

	late := now.Add(minOverdueAge + time.Millisecond)
	assert.Equal(t, table.Expected(late), 0)
	assert.Equal(t, table.Overdue(late), 1)
	assert.Equal(t, table.Overdue(now.Add(overdueRetention)), 0)
}

// An answer ends a request, and so does the caller's closing of the flow.
func TestAnswersEndRequests(t *testing.T) {
	table := NewAgent(10, parts.Off{})
	o := table.Add(now, flow)
	table.FromCaller(now, o, data(1))
	took := table.FromServer(now.Add(30*time.Millisecond), o, &segs.Segment{Flow: flow, FromServer: true, Flags: segs.Ack, Ack: 101, Len: 200})
	assert.Equal(t, took, 30*time.Millisecond)
	assert.Equal(t, table.Expected(now), 0)

	table.FromCaller(now, o, data(101))
	assert.Equal(t, table.Expected(now), 1)
	table.FromCaller(now, o, &segs.Segment{Flow: flow, Flags: segs.Fin | segs.Ack, Seq: 201})
	assert.Equal(t, table.Expected(now), 0)
}

// The packet that closes a flow may overtake the answer's data. If it did not count as an answer, the server
// would seem never to answer.
func TestClosingPacketBeforeItsDataIsAnAnswer(t *testing.T) {
	table := NewAgent(10, parts.Off{})
	o := table.Add(now, flow)
	table.FromCaller(now, o, data(1))
	after := now.Add(30 * time.Millisecond)
	took := table.FromServer(after, o, &segs.Segment{Flow: flow, FromServer: true, Flags: segs.Ack | segs.Fin, Seq: 201, Ack: 101})
	assert.Equal(t, took, 30*time.Millisecond)
	took = table.FromServer(after, o, &segs.Segment{Flow: flow, FromServer: true, Flags: segs.Ack, Seq: 1, Ack: 101, Len: 200})
	assert.Equal(t, took, time.Duration(0), "counted once")
}

// A restarted agent learns a flow from its server's acknowledgement, while the caller retransmits a request
// that the server already has. The retransmission must not count as a request.
func TestAcknowledgedDataIsNoRequest(t *testing.T) {
	table := NewAgent(10, parts.Off{})
	o := table.Add(now, flow)
	o.Requested = true
	table.FromServer(now, o, &segs.Segment{Flow: flow, FromServer: true, Flags: segs.Ack, Ack: 101, Len: 200})
	table.FromCaller(now, o, data(1))
	assert.Equal(t, table.Expected(now), 0)
	table.FromCaller(now, o, data(101))
	assert.Equal(t, table.Expected(now), 1)
}

// After a power loss, callers have waited for a second, and many flows are accepted after their caller gave
// up. If each of them reserved a slot for 300 ms, servers would be idle while flows of waiting callers are
// refused.
func TestFlowsWithoutARequestFreeTheirSlotsSoon(t *testing.T) {
	table := NewAgent(100, parts.Off{})
	ask := &segs.Segment{Flags: segs.Ack, Seq: 1, Len: 100}
	for port := range uint16(5) {
		o := table.Add(now, segs.Flow{CallerPort: port})
		table.Accept(now, o, 1000)
		table.FromCaller(now.Add(4*time.Millisecond), o, ask)
		table.FromServer(now.Add(20*time.Millisecond), o, &segs.Segment{Flags: segs.Ack, Seq: 1000, Ack: 101, Len: 10})
	}
	o := table.Add(now, segs.Flow{CallerPort: 99})
	assert.Equal(t, table.Expected(now.Add(50*time.Millisecond)), 1, "the server has not accepted the flow yet")
	table.Accept(now.Add(50*time.Millisecond), o, 1000)
	assert.Equal(t, table.Expected(now.Add(60*time.Millisecond)), 1, "its request may still arrive")
	assert.Equal(t, table.Expected(now.Add(70*time.Millisecond)), 0)
}

func TestExpireKeepsUsedFlows(t *testing.T) {
	table := NewAgent(10, parts.Off{})
	o := table.Add(now, flow)
	o.Accepted = true
	l := Lifetimes{Idle: 15 * time.Second, MaxAge: time.Minute, Closed: 3 * time.Second, Opening: 2 * time.Second}
	table.Expire(now.Add(10*time.Second), l)
	assert.Assert(t, table.Get(flow) != nil)
	table.Expire(now.Add(16*time.Second), l)
	assert.Assert(t, table.Get(flow) == nil)
}

// Guards against a service time that includes the request's time in the server's queue.
func TestServiceTimeExcludesTheServersQueue(t *testing.T) {
	table := NewAgent(10, parts.Off{})
	table.SetSlots(2)
	answer := func(at time.Time, o *Flow) time.Duration {
		table.FromServer(at, o, &segs.Segment{Flow: flow, FromServer: true, Flags: segs.Ack, Ack: 101, Len: 200})
		return o.Service
	}
	var flows []*Flow
	for i := range 4 {
		f := flow
		f.CallerPort += uint16(i)
		o := table.Add(now, f)
		s := data(1)
		s.Flow = f
		table.FromCaller(now, o, s)
		flows = append(flows, o)
	}
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	assert.Equal(t, table.Oldest(at(10), flow.ServiceAddr()), 10*time.Millisecond)
	assert.Equal(t, answer(at(5), flows[3]), time.Duration(0), "answered out of turn")
	assert.Equal(t, answer(at(40), flows[0]), 40*time.Millisecond)
	assert.Equal(t, answer(at(50), flows[1]), 50*time.Millisecond)
	assert.Equal(t, answer(at(75), flows[2]), 35*time.Millisecond, "began when the first was answered")
	assert.Equal(t, table.Oldest(at(80), flow.ServiceAddr()), time.Duration(0))
}

// Guards against a service time that includes the time in which the request's data arrives over the caller's link.
func TestServiceTimeBeginsWithTheLastData(t *testing.T) {
	table := NewAgent(10, parts.Off{})
	o := table.Add(now, flow)
	table.FromCaller(now, o, data(1))
	later := now.Add(300 * time.Millisecond)
	table.FromCaller(later, o, data(101))
	table.FromCaller(later.Add(time.Millisecond), o, data(101))
	took := table.FromServer(later.Add(20*time.Millisecond), o, &segs.Segment{Flow: flow, FromServer: true, Flags: segs.Ack, Ack: 201, Len: 200})
	assert.Equal(t, took, 320*time.Millisecond)
	assert.Equal(t, o.Service, 20*time.Millisecond)
}

// Guards against requests on an open flow that aren't counted, and further packets or copies of one request that are, also
// if they arrive in another order.
func TestRequestsAreCountedOnce(t *testing.T) {
	p := &EntryFlow{}
	for i, c := range []struct {
		seq, ack uint32
		want     int
	}{{1000, 50, 1}, {1000, 50, 1}, {1100, 50, 1}, {1200, 50, 1}, {1300, 90, 2}, {1300, 90, 2}, {1200, 50, 2}, {1300, 90, 2}, {1400, 120, 3}} {
		s := data(c.seq)
		s.Ack = c.ack
		p.Observe(s)
		assert.Equal(t, p.Requests, c.want, i)
	}
	p.Observe(&segs.Segment{Flow: flow, Flags: segs.Ack, Seq: 1500, Ack: 150})
	assert.Equal(t, p.Requests, 3, "an acknowledgement is no request")
}

// Guards against a full server that is taken for a failing one: an answer within a millisecond means failure only if
// the server had a free slot when the request came, so the requests in progress then are counted.
func TestRequestsInProgressAreCountedOnArrival(t *testing.T) {
	table := NewAgent(10, parts.Off{})
	for port := range 3 {
		o := table.Add(now, segs.Flow{CallerPort: uint16(port)})
		table.FromCaller(now, o, data(1))
		assert.Equal(t, o.Ahead, port)
		table.FromCaller(now, o, data(1))
		assert.Equal(t, o.Ahead, port, "a retransmission is no new request")
	}
}

// Guards against a server that is never measured again after its callers have given up: requests that waited behind
// those of such callers are answered out of turn, and must not keep the ones behind them from their turn.
func TestServiceTimeIsKnownAgainAfterCallersGaveUp(t *testing.T) {
	table := NewAgent(100, parts.Off{})
	table.SetSlots(2)
	at, port := now, flow.CallerPort
	var queue []*Flow
	request := func() {
		f := flow
		port++
		f.CallerPort = port
		o, s := table.Add(at, f), data(1)
		s.Flow = f
		table.FromCaller(at, o, s)
		queue = append(queue, o)
	}
	for range 4 {
		request()
	}
	for _, o := range queue[:2] {
		table.FromCaller(at, o, &segs.Segment{Flow: flow, Flags: segs.Rst})
	}
	queue = queue[2:]
	for i := range 10 {
		at = at.Add(20 * time.Millisecond)
		request()
		o := queue[0]
		queue = queue[1:]
		table.FromServer(at, o, &segs.Segment{Flow: flow, FromServer: true, Flags: segs.Ack, Ack: 101, Len: 200})
		assert.Equal(t, o.Service > 0, i > 0, "answer %d", i)
	}
}
