// Package steer decides at an entry which agent gets a new opaque flow.
//
// The load patterns, and what goes wrong without it. Nobody can read, queue or hand over a
// request of an opaque flow, so the only decision is at its opening packet, and a long flow keeps
// loading its server as long as it lives. Entries that count only their own flows don't see
// what others placed, and entries that all trust the same old report send everything to the server that was
// idle a moment ago. A server that hangs looks idle. A server that was just started is slow.
//
// The rules: of the servers that may take flows the one with the least expected work
// for each slot, where the expected work is what its agent reported last, the flows that it
// holds, and what this entry placed there since. Another failure domain costs a bit more, so that equal
// servers are used near by. Servers that didn't answer an opening packet, refused one, or are
// leaving come last, in that order, and are used only when there is nothing else.
//
// It is pure: time and randomness are handed in. It is not safe for concurrent use.
//
// # Usage
//
//	c := steer.New("zg-a", random, parts.Off{})
//	agent, ok := c.Choose(now, candidates, tried)
//	c.Placed(agent)
//	c.Report(now, agent, load)
//	c.Silent(now, agent)
package steer

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/load/parts"
)

// Candidate is a server that a route sends flows to.
type Candidate struct {
	Agent    netip.Addr
	Domain   string
	Slots    int
	Draining bool
	Cold     bool // started a moment ago and slow
	Failed   bool // its agent is taken for lost
}

const (
	// initialFlowWork is the work in slots that an open flow stands for until reports tell: that of a flow which
	// rests nearly all the time.
	initialFlowWork = 0.013
	// maxFlowWork bounds it: a flow with three requests of 30 ms a second.
	maxFlowWork = 0.09
	// flowWorkWindow is how many reports it is learned over, some seconds' worth.
	flowWorkWindow = 256
	// crossDomainWork is the work in slots that another failure domain costs. Bytes between domains are dear, and an agent
	// whose server is busy passes a flow on by itself.
	crossDomainWork = 8
	// coldFactor multiplies the work of a server that has just started: it takes 1.6 times as long.
	coldFactor = 1.6
	// jitter tells equal servers apart so that entries with the same report differ.
	jitter = 0.1
	// reportDecay is how fast a report's requests under way lose their weight: they last some 40 ms,
	// and what is under way later is expected to be the average.
	reportDecay = 250 * time.Millisecond
	// noReplyFor is how long a server that didn't answer an opening packet comes last. A copy comes
	// after 200 ms, so a hung server costs one flow in this time at each entry.
	noReplyFor = 3 * time.Second
	// refusedFor is how long a server that refused an opening packet comes last.
	refusedFor = time.Second
)

// state is what is known of an agent's server.
type state struct {
	load         msgs.Load
	avgBusy      float64 // of requests under way
	reportedAt   time.Time
	placed       float64 // flows placed since the report
	noReplyUntil time.Time
	refusedUntil time.Time
}

// Chooser remembers what agents reported.
type Chooser struct {
	domain   string
	off      parts.Off
	random   *rand.Rand
	states   map[netip.Addr]*state
	avgBusy  float64 // average of reported requests under way
	avgFlows float64 // average of reported flows
}

// New returns a chooser for an entry in a failure domain.
func New(domain string, random *rand.Rand, off parts.Off) *Chooser {
	return &Chooser{domain: domain, random: random, off: off, states: map[netip.Addr]*state{}, avgBusy: initialFlowWork, avgFlows: 1}
}

// Choose returns the agent for a new flow, none of those tried. ok is false if there
// is none left.
func (c *Chooser) Choose(now time.Time, candidates []Candidate, tried []netip.Addr) (agent netip.Addr, ok bool) {
	least := 0.0
	for _, k := range candidates {
		if slices.Contains(tried, k.Agent) {
			continue
		}
		if w := c.score(now, k); !ok || w < least {
			agent, least, ok = k.Agent, w, true
		}
	}
	return agent, ok
}

// Ranks that put servers last. They are far over any work in slots.
const (
	penaltyRefused  = 1e3
	penaltyNoReply  = 1e4
	penaltyDraining = 1e5
)

// score is what a candidate is expected to have under way for each slot, plus its rank.
func (c *Chooser) score(now time.Time, k Candidate) float64 {
	slots := float64(max(k.Slots, 1))
	w := c.random.Float64() * jitter
	if s := c.states[k.Agent]; s != nil {
		fresh := 1 - min(1, float64(now.Sub(s.reportedAt))/float64(reportDecay))
		busy := fresh*float64(s.load.Busy) + (1-fresh)*s.avgBusy
		w += s.placed
		if !c.off.Reports {
			w += busy + c.flowWork()*float64(s.load.Flows)
		}
		if !c.off.Avoid && now.Before(s.refusedUntil) {
			w += penaltyRefused * slots
		}
		if !c.off.Avoid && now.Before(s.noReplyUntil) {
			w += penaltyNoReply * slots
		}
	}
	if k.Cold && !c.off.Cold {
		w = (w + 1) * coldFactor
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
	return w / slots
}

func (c *Chooser) state(agent netip.Addr) *state {
	s := c.states[agent]
	if s == nil {
		s = &state{}
		c.states[agent] = s
	}
	return s
}

// Placed counts a flow that was sent to an agent.
func (c *Chooser) Placed(agent netip.Addr) { c.state(agent).placed++ }

// busyWindow is how many reports the average of requests under way goes over.
const busyWindow = 8

// Report takes in how busy an agent's server is.
func (c *Chooser) Report(now time.Time, agent netip.Addr, l msgs.Load) {
	s := c.state(agent)
	s.load, s.reportedAt, s.placed = l, now, 0
	s.avgBusy += (float64(l.Busy) - s.avgBusy) / busyWindow
	c.avgBusy += (float64(l.Busy) - c.avgBusy) / flowWorkWindow
	c.avgFlows += (float64(l.Flows) - c.avgFlows) / flowWorkWindow
}

// flowWork is the work in slots that an open flow stands for besides the requests under way, as
// all reports show it. Too high a figure makes flows that rest look like work: new flows then went to far servers
// that had just been started, for as long as those had fewer flows than the near ones.
func (c *Chooser) flowWork() float64 { return min(maxFlowWork, c.avgBusy/c.avgFlows) }

// Accepted says that an agent's server took a flow.
func (c *Chooser) Accepted(agent netip.Addr) {
	s := c.state(agent)
	s.noReplyUntil, s.refusedUntil = time.Time{}, time.Time{}
}

// NoReply says that an agent's server didn't answer an opening packet in time.
func (c *Chooser) NoReply(now time.Time, a netip.Addr) { c.state(a).noReplyUntil = now.Add(noReplyFor) }

// Refused says that an agent handed an opening packet back.
func (c *Chooser) Refused(now time.Time, agent netip.Addr) {
	c.state(agent).refusedUntil = now.Add(refusedFor)
}

// Retain forgets all agents but those listed.
func (c *Chooser) Retain(agents []netip.Addr) {
	for a := range c.states {
		if !slices.Contains(agents, a) {
			delete(c.states, a)
		}
	}
}
