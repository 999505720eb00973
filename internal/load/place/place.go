// Package place chooses the backend server on which a request runs: the agent's
// own, or one of a peer agent's of the same service.
//
// The load patterns, and what goes wrong without it. A connection stays with the
// agent that it reached, and callers don't send equally much, so that one server is
// full while its neighbours idle. Balancers that all act on the same old report send
// everything to the server that was idle a second ago. A server that fails fast
// always looks idle and swallows the service's requests. A server that was just
// started gets a full share while its caches are empty. And if everything that
// looks sick is avoided, the few that are left drown.
//
// The rules, in order:
//
//   - The own server if it has an idle slot: a hop is paid only when it buys something.
//   - It buys something if the own server is full, leaving, ejected, cold, much
//     slower than its peers, or has lately worked more than they have.
//   - Then the better of two peers picked at random among those that seem to have an
//     idle slot. Two choices, and the agent's own count of what it sent since the
//     last report, keep agents with the same old report from choosing the same peer.
//   - Equal ones are told apart by failure domain: the near one.
//   - If nobody seems idle, the own server, unless a peer is expected to answer much earlier.
//
// Reports are hints: they fade with age, the agent's own count and measurement stand
// beside them and the worse of the two counts, and a refusal outweighs any report.
//
// Every request that is handed over costs a hop, so small differences count as equal. At most half of the servers are ejected:
// more, and the others couldn't carry the load. docs/design/tuning.md compares the thresholds with others.
//
// The package does not decide whether a server takes the request (package admit),
// nor whether a refused one is tried again (package retry). It is not safe for concurrent use.
//
// # Usage
//
//	placer := place.New(place.Self{ID: 3, Domain: "zg-a"}, random)
//	placer.SetServers(now, place.ServersOf(service))
//	choice := placer.Choose(now, own, nil)
//	placer.Sent(choice.Server)
//	placer.Ended(now, choice.Server, place.Answered, took)
//	placer.Report(now, peer, hint) // whenever a message from the peer carries one
package place

import (
	"math/rand/v2"
	"slices"
	"time"

	"mangowinch/internal/conf/docs"
)

// Server is what the document says of one server.
type Server struct {
	ID      uint32
	Domain  string
	Slots   int
	Leaving bool
}

// ServersOf lists the servers of a document.
func ServersOf(s *docs.Service) []Server {
	list := make([]Server, 0, len(s.Servers))
	for _, v := range s.Servers {
		list = append(list, Server{ID: v.ID, Domain: v.Domain, Slots: v.Slots, Leaving: v.State == docs.Leaving})
	}
	return list
}

// Hint is what an agent says of its server; a peer gets it late.
type Hint struct {
	Running     int           // requests in slots
	Waiting     int           // requests in the queue
	Utilization float64       // share of the slots' time used lately, 0 to 1
	Service     time.Duration // mean service time
	Leaving     bool          // takes no new work
}

// Self names the agent's own server.
type Self struct {
	ID     uint32
	Domain string
}

// Reason says what a choice was made for; each has a counter.
type Reason string

// The reasons of a choice.
const (
	Own      Reason = "own"      // the own server has an idle slot
	Full     Reason = "full"     // the own server is full, a peer has an idle slot
	Balance  Reason = "balance"  // the own server worked more than a peer lately
	Slow     Reason = "slow"     // the own server is much slower than a peer
	Avoid    Reason = "avoid"    // the own server is leaving, ejected or already tried
	Shorter  Reason = "shorter"  // all are full; a peer is expected to answer much earlier
	Stay     Reason = "stay"     // all are full, or no peer is better
	NoServer Reason = "noserver" // nothing may take the request
)

// Choice is where a request goes. Server is 0 if nothing may take it.
type Choice struct {
	Server uint32
	Reason Reason
}

// Placer holds what one agent knows of the servers of its service.
type Placer struct {
	rules  Rules
	self   Self
	random *rand.Rand
	states []*state // ordered by ID
}

// New returns a placer that knows of no server yet.
func New(self Self, random *rand.Rand) *Placer {
	return &Placer{rules: Default, self: self, random: random}
}

// SetRules replaces the default thresholds.
func (p *Placer) SetRules(r Rules) { p.rules = r }

// SetServers puts the servers of a new document in force. A server that is new
// starts cold, except with the first document: then nobody knows who is cold.
func (p *Placer) SetServers(now time.Time, servers []Server) {
	first := p.states == nil
	states := make([]*state, 0, len(servers))
	for _, v := range servers {
		s := p.state(v.ID)
		if s == nil {
			s = &state{}
			if !first {
				s.cold = now
			}
		}
		s.Server = v
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b *state) int { return int(a.ID) - int(b.ID) })
	p.states = states
}

// Joined says that a server was started anew: it gets a growing share.
func (p *Placer) Joined(now time.Time, id uint32) {
	if s := p.state(id); s != nil {
		*s = state{Server: s.Server, cold: now, inflight: s.inflight}
	}
}

// Choose returns the server for a request. own is the state of the agent's own
// server, tried the servers that already refused the request.
func (p *Placer) Choose(now time.Time, own Hint, tried []uint32) Choice {
	mine := p.state(p.self.ID)
	peers := p.candidates(now, tried)
	if mine == nil || own.Leaving || mine.Leaving || mine.ejected(now) || now.Before(mine.down) || slices.Contains(tried, p.self.ID) {
		return p.leave(now, peers)
	}
	mine.hint, mine.heard, mine.exact = own, now, true
	idle := p.idle(now, peers)
	if mine.load(now, p.rules) >= mine.open(now, p.rules) {
		return p.overflow(now, mine, peers, idle)
	}
	if best := p.pick(now, idle); best != nil {
		switch {
		case p.slower(now, mine, best):
			return Choice{best.ID, Slow}
		case p.busier(now, mine, best):
			return Choice{best.ID, Balance}
		}
	}
	return Choice{p.self.ID, Own}
}

// overflow places a request for which the own server has no idle slot.
func (p *Placer) overflow(now time.Time, mine *state, peers, idle []*state) Choice {
	if best := p.pick(now, idle); best != nil {
		return Choice{best.ID, Full}
	}
	if best := p.pick(now, peers); best != nil && best.expected(now, p.rules) < p.rules.ShorterFactor*mine.expected(now, p.rules) {
		return Choice{best.ID, Shorter}
	}
	return Choice{p.self.ID, Stay}
}

// leave places a request that must not run on the own server.
func (p *Placer) leave(now time.Time, peers []*state) Choice {
	best := p.pick(now, p.idle(now, peers))
	if best == nil {
		best = p.pick(now, peers)
	}
	if best == nil {
		return Choice{Reason: NoServer}
	}
	return Choice{best.ID, Avoid}
}

// candidates are the peers that may be given work.
func (p *Placer) candidates(now time.Time, tried []uint32) (list []*state) {
	for _, s := range p.states {
		if s.ID != p.self.ID && !s.out(now) && !slices.Contains(tried, s.ID) {
			list = append(list, s)
		}
	}
	return list
}

// idle keeps those that seem to have an idle slot.
func (p *Placer) idle(now time.Time, peers []*state) (list []*state) {
	for _, s := range peers {
		if !now.Before(s.full) && s.load(now, p.rules) < s.open(now, p.rules) {
			list = append(list, s)
		}
	}
	return list
}

// pick returns the better of two at random, nil of none.
func (p *Placer) pick(now time.Time, list []*state) *state {
	if len(list) < 2 {
		if len(list) == 0 {
			return nil
		}
		return list[0]
	}
	i := p.random.IntN(len(list))
	j := p.random.IntN(len(list) - 1)
	if j >= i {
		j++
	}
	a, b := list[i], list[j]
	if p.prefer(now, b, a) {
		return b
	}
	return a
}

// prefer reports whether a is better than b.
func (p *Placer) prefer(now time.Time, a, b *state) bool {
	ea, eb := a.expected(now, p.rules), b.expected(now, p.rules)
	if !alike(ea, eb, p.rules.SimilarMargin) {
		return ea < eb
	}
	ba, bb := a.busy(now, p.rules), b.busy(now, p.rules)
	if d := ba - bb; d < -p.rules.EvenMargin || d > p.rules.EvenMargin {
		return ba < bb
	}
	if (a.Domain == p.self.Domain) != (b.Domain == p.self.Domain) {
		return a.Domain == p.self.Domain
	}
	return ba < bb
}

// slower reports whether the own server is so slow that a hop is worth it.
func (p *Placer) slower(now time.Time, mine, best *state) bool {
	theirs := best.expected(now, p.rules)
	return theirs > 0 && mine.service(now, p.rules) > p.rules.SlowFactor*theirs
}

// busier reports whether the own server has lately worked more than its share.
func (p *Placer) busier(now time.Time, mine, best *state) bool {
	sum, n := mine.busy(now, p.rules), 1
	for _, s := range p.states {
		if s != mine && s.fresh(now, p.rules) {
			sum += s.hint.Utilization
			n++
		}
	}
	own := mine.busy(now, p.rules)
	return n > 1 && own > sum/float64(n)+p.rules.EvenMargin && best.fresh(now, p.rules) && best.busy(now, p.rules) < own-p.rules.EvenMargin
}

func alike(a, b, margin float64) bool {
	return max(a, b) <= min(a, b)*(1+margin)
}

func (p *Placer) state(id uint32) *state {
	for _, s := range p.states {
		if s.ID == id {
			return s
		}
	}
	return nil
}
