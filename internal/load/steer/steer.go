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
	// flowWorkFirst is the work in slots that an open flow stands for until reports tell: that of a flow which
	// rests nearly all the time.
	flowWorkFirst = 0.013
	// flowWorkMost bounds it: a flow with three requests of 30 ms a second.
	flowWorkMost = 0.09
	// flowWorkOver is how many reports it is learned over, some seconds' worth.
	flowWorkOver = 256
	// distance is the work in slots that another failure domain costs. Bytes between domains are dear, and an agent
	// whose server is busy passes a flow on by itself.
	distance = 8
	// coldWork multiplies the work of a server that has just started: it takes 1.6 times as long.
	coldWork = 1.6
	// noise tells equal servers apart so that entries with the same report differ.
	noise = 0.1
	// reportLife is how fast a report's requests under way lose their weight: they last some 40 ms,
	// and what is under way later is expected to be the average.
	reportLife = 250 * time.Millisecond
	// silentFor is how long a server that didn't answer an opening packet comes last. A copy comes
	// after 200 ms, so a hung server costs one flow in this time at each entry.
	silentFor = 3 * time.Second
	// refusedFor is how long a server that refused an opening packet comes last.
	refusedFor = time.Second
)

// state is what is known of an agent's server.
type state struct {
	load    msgs.Load
	average float64 // of requests under way
	at      time.Time
	placed  float64 // flows placed since the report
	silent  time.Time
	refused time.Time
}

// Chooser remembers what agents reported.
type Chooser struct {
	domain string
	off    parts.Off
	random *rand.Rand
	states map[netip.Addr]*state
	busy   float64 // average of reported requests under way
	flows  float64 // average of reported flows
}

// New returns a chooser for an entry in a failure domain.
func New(domain string, random *rand.Rand, off parts.Off) *Chooser {
	return &Chooser{domain: domain, random: random, off: off, states: map[netip.Addr]*state{}, busy: flowWorkFirst, flows: 1}
}

// Choose returns the agent for a new flow, none of those tried. ok is false if there
// is none left.
func (c *Chooser) Choose(now time.Time, candidates []Candidate, tried []netip.Addr) (agent netip.Addr, ok bool) {
	least := 0.0
	for _, k := range candidates {
		if slices.Contains(tried, k.Agent) {
			continue
		}
		if w := c.work(now, k); !ok || w < least {
			agent, least, ok = k.Agent, w, true
		}
	}
	return agent, ok
}

// Ranks that put servers last. They are far over any work in slots.
const (
	rankRefused  = 1e3
	rankSilent   = 1e4
	rankDraining = 1e5
)

// work is what a candidate is expected to have under way for each slot, plus its rank.
func (c *Chooser) work(now time.Time, k Candidate) float64 {
	slots := float64(max(k.Slots, 1))
	w := c.random.Float64() * noise
	if s := c.states[k.Agent]; s != nil {
		fresh := 1 - min(1, float64(now.Sub(s.at))/float64(reportLife))
		busy := fresh*float64(s.load.Busy) + (1-fresh)*s.average
		w += s.placed
		if !c.off.Reports {
			w += busy + c.flowWork()*float64(s.load.Flows)
		}
		if !c.off.Avoid && now.Before(s.refused) {
			w += rankRefused * slots
		}
		if !c.off.Avoid && now.Before(s.silent) {
			w += rankSilent * slots
		}
	}
	if k.Cold && !c.off.Cold {
		w = (w + 1) * coldWork
	}
	if k.Domain != c.domain && !c.off.Distance {
		w += distance
	}
	if k.Failed {
		w += rankSilent * slots
	}
	if k.Draining {
		w += rankDraining * slots
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

// averageOver is how many reports the average of requests under way goes over.
const averageOver = 8

// Report takes in how busy an agent's server is.
func (c *Chooser) Report(now time.Time, agent netip.Addr, l msgs.Load) {
	s := c.state(agent)
	s.load, s.at, s.placed = l, now, 0
	s.average += (float64(l.Busy) - s.average) / averageOver
	c.busy += (float64(l.Busy) - c.busy) / flowWorkOver
	c.flows += (float64(l.Flows) - c.flows) / flowWorkOver
}

// flowWork is the work in slots that an open flow stands for besides the requests under way, as
// all reports show it. Too high a figure makes flows that rest look like work: new flows then went to far servers
// that had just been started, for as long as those had fewer flows than the near ones.
func (c *Chooser) flowWork() float64 { return min(flowWorkMost, c.busy/c.flows) }

// Accepted says that an agent's server took a flow.
func (c *Chooser) Accepted(agent netip.Addr) {
	s := c.state(agent)
	s.silent, s.refused = time.Time{}, time.Time{}
}

// NoReply says that an agent's server didn't answer an opening packet in time.
func (c *Chooser) NoReply(now time.Time, agent netip.Addr) {
	c.state(agent).silent = now.Add(silentFor)
}

// Refused says that an agent handed an opening packet back.
func (c *Chooser) Refused(now time.Time, agent netip.Addr) {
	c.state(agent).refused = now.Add(refusedFor)
}

// Retain forgets all agents but those listed.
func (c *Chooser) Retain(agents []netip.Addr) {
	for a := range c.states {
		if !slices.Contains(agents, a) {
			delete(c.states, a)
		}
	}
}
