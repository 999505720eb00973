// Package steer selects, at an entry, the agent that receives a new opaque flow.
//
// Requests inside an opaque flow cannot be read, queued or handed over, so the only placement decision is
// made at the opening packet, and a long-lived flow loads its server for as long as it is open. Entries
// that count only their own flows do not see what other entries placed. Entries that all act on the same
// outdated report send every flow to the server that was idle when the report was made. A hung server
// looks idle, and a server that has just started is slow. Servers of one service differ in speed.
//
// Among the servers that may take flows, the chooser picks the one that is expected to answer first: by its
// expected work per slot and the service time that its agent reports, relative to the mean of the candidates.
// Expected work is the load last reported by the server's agent, the flows the server holds, and the flows
// this entry has placed there since that report. A server in another failure domain is charged a fixed
// extra amount, so that equally loaded servers are used locally. Servers that refused an opening packet,
// did not answer one, or are draining come last, in that order, and are used only if there is no other.
//
// Package steer performs no I/O: the caller passes in the time and the source of randomness. A Chooser is
// not safe for concurrent use.
//
// # Usage
//
//	c := steer.New("zg-a", random, parts.Off{})
//	agent, ok := c.Choose(now, candidates, tried)
//	c.Placed(agent)
//	c.Report(now, agent, load, estimate)
//	c.Expect(now, agent, estimate)
//	c.NoReply(now, agent)
package steer

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/load/parts"
)

// Candidate is a server to which a route may send flows.
type Candidate struct {
	Agent    netip.Addr
	Domain   string
	Slots    int
	Draining bool
	Cold     bool // started recently and still slow
	Failed   bool // its agent is declared failed by the failure detector
}

const (
	// initialFlowWork is the work, in slots, attributed to an open flow before any reports arrive. It is
	// the value of a flow that is idle nearly all the time.
	initialFlowWork = 0.013
	// maxFlowWork bounds the learned work per flow: a flow with three requests of 30 ms per second.
	maxFlowWork = 0.09
	// flowWorkWindow is the number of reports over which the work per flow is averaged, which spans
	// several seconds.
	flowWorkWindow = 256
	// crossDomainWork is the extra work, in slots, charged to a server in another failure domain. Traffic
	// between domains is expensive, and the agent of a busy server offers the flow to other agents by itself.
	crossDomainWork = 8
	// coldFactor multiplies the work of a server that has just started, whose requests take 1.6 times as
	// long, until its agent has measured it.
	coldFactor = 1.6
	// jitter is the range of the random term that breaks ties, so that entries with the same report
	// choose differently.
	jitter = 0.1
	// reportDecay is the time over which the reported number of requests in progress loses its weight. A
	// request lasts about 40 ms, so later the average is the better estimate.
	reportDecay = 250 * time.Millisecond
	// noReplyFor is how long a server that did not answer an opening packet is placed last. The caller
	// retransmits the packet after 200 ms, so a hung server costs each entry one flow in this period.
	noReplyFor = 3 * time.Second
	// refusedFor is how long a server that refused an opening packet is placed last.
	refusedFor = time.Second
)

// state is what the chooser knows about one server.
type state struct {
	load         msgs.Load
	avgBusy      float64 // moving average of the requests in progress
	reportedAt   time.Time
	placed       float64 // flows placed since the last report
	report       serviceReport
	noReplyUntil time.Time
	refusedUntil time.Time
}

// Chooser selects servers for new flows from the loads that agents report.
type Chooser struct {
	domain     string
	off        parts.Off
	random     *rand.Rand
	states     map[netip.Addr]*state
	avgBusy    float64 // average number of requests in progress over all reports
	avgFlows   float64 // average number of open flows over all reports
	reason     Reason  // of the last choice
	sinceProbe int     // choices since the last probe
}

// New returns a Chooser for an entry in the given failure domain.
func New(domain string, random *rand.Rand, off parts.Off) *Chooser {
	return &Chooser{domain: domain, random: random, off: off, states: map[netip.Addr]*state{}, avgBusy: initialFlowWork, avgFlows: 1}
}

// Choose returns the agent that should receive a new flow, excluding the agents in tried. It reports
// false if no candidate is left.
func (c *Chooser) Choose(now time.Time, candidates []Candidate, tried []netip.Addr) (agent netip.Addr, ok bool) {
	c.forgetRestarted(candidates)
	mean := c.meanService(now, candidates)
	var best, leastWork score
	for _, k := range candidates {
		if slices.Contains(tried, k.Agent) {
			continue
		}
		s := c.score(now, k, mean)
		if !ok || s.cost < best.cost {
			best = s
		}
		if !ok || s.work < leastWork.work {
			leastWork = s
		}
		ok = true
	}
	c.reason = ByWork
	if best.agent != leastWork.agent {
		c.reason = ByRate
	}
	if slow, due := c.probe(now, candidates, tried, best); due {
		return slow, true
	}
	return best.agent, ok
}

// Penalties that place a server last. They are far above any possible amount of work in slots.
const (
	penaltyRefused  = 1e3
	penaltyNoReply  = 1e4
	penaltyDraining = 1e5
)

// score ranks a candidate for a new flow. Lower is better.
type score struct {
	agent   netip.Addr
	service time.Duration // as last reported; 0: unknown
	work    float64       // per slot, with penalties
	cost    float64       // by expectedTime, with penalties
}

// score returns the score of a candidate among candidates with the given mean service time.
func (c *Chooser) score(now time.Time, k Candidate, mean time.Duration) score {
	slots := float64(max(k.Slots, 1))
	work, service := c.work(now, k), c.Service(k.Agent)
	if k.Cold && !c.off.Cold && service == 0 {
		work = (work + 1) * coldFactor
	}
	penalty := c.penalty(now, k)
	return score{
		agent:   k.Agent,
		service: service,
		work:    (work + penalty) / slots,
		cost:    expectedTime(work/slots, c.ratio(now, k, mean)) + penalty/slots,
	}
}

// work returns the expected work of a candidate in slots.
func (c *Chooser) work(now time.Time, k Candidate) float64 {
	w := c.random.Float64() * jitter
	if s := c.states[k.Agent]; s != nil {
		fresh := 1 - min(1, float64(now.Sub(s.reportedAt))/float64(reportDecay))
		busy := fresh*float64(s.load.Busy) + (1-fresh)*s.avgBusy
		w += s.placed
		if !c.off.Reports {
			w += busy + c.flowWork()*float64(s.load.Flows)
		}
	}
	return w
}

// penalty returns the work, in slots, that a candidate is charged for its failure domain and its state.
func (c *Chooser) penalty(now time.Time, k Candidate) (w float64) {
	slots := float64(max(k.Slots, 1))
	if s := c.states[k.Agent]; s != nil && !c.off.Avoid {
		if now.Before(s.refusedUntil) {
			w += penaltyRefused * slots
		}
		if now.Before(s.noReplyUntil) {
			w += penaltyNoReply * slots
		}
	}
	if k.Domain != c.domain && !c.off.Distance {
		w += crossDomainWork
	}
	if k.Failed {
		w += penaltyNoReply * slots
	}
	if k.Draining {
		w += penaltyDraining * slots
	}
	return w
}

func (c *Chooser) state(agent netip.Addr) *state {
	s := c.states[agent]
	if s == nil {
		s = &state{}
		c.states[agent] = s
	}
	return s
}

// Placed records that a flow was sent to an agent.
func (c *Chooser) Placed(agent netip.Addr) { c.state(agent).placed++ }

// busyWindow is the number of reports over which the requests in progress are averaged.
const busyWindow = 8

// Report records the load and the estimate that an agent reports for its server. Without an estimate the server's
// speed is unknown: its agent has measured nothing since a restart, or measures nothing.
func (c *Chooser) Report(now time.Time, agent netip.Addr, l msgs.Load, e msgs.Estimate) {
	c.state(agent).report.record(now, e)
	c.ReportLoad(now, agent, l)
}

// ReportLoad records the load that an agent reports in a message that has no room for an estimate.
func (c *Chooser) ReportLoad(now time.Time, agent netip.Addr, l msgs.Load) {
	s := c.state(agent)
	s.load, s.reportedAt, s.placed = l, now, 0
	s.avgBusy += (float64(l.Busy) - s.avgBusy) / busyWindow
	c.avgBusy += (float64(l.Busy) - c.avgBusy) / flowWorkWindow
	c.avgFlows += (float64(l.Flows) - c.avgFlows) / flowWorkWindow
}

// flowWork returns the work, in slots, that an open flow stands for in addition to the requests in
// progress, learned from all reports. If the value is too high, idle flows count as work, and new flows go
// to recently started servers in other domains for as long as those hold fewer flows than the local servers.
func (c *Chooser) flowWork() float64 { return min(maxFlowWork, c.avgBusy/c.avgFlows) }

// Accepted records that an agent's server accepted a flow.
func (c *Chooser) Accepted(agent netip.Addr) {
	s := c.state(agent)
	s.noReplyUntil, s.refusedUntil = time.Time{}, time.Time{}
}

// NoReply records that an agent's server did not answer an opening packet in time.
func (c *Chooser) NoReply(now time.Time, a netip.Addr) { c.state(a).noReplyUntil = now.Add(noReplyFor) }

// Refused records that an agent returned an opening packet.
func (c *Chooser) Refused(now time.Time, agent netip.Addr) {
	c.state(agent).refusedUntil = now.Add(refusedFor)
}

// Retain removes the state of all agents that are not listed.
func (c *Chooser) Retain(agents []netip.Addr) {
	for a := range c.states {
		if !slices.Contains(agents, a) {
			delete(c.states, a)
		}
	}
}
