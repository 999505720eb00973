// Package place selects the backend server on which a request runs: the agent's own server, or that of a
// peer agent of the same service.
//
// A connection stays with the agent that it reached, and callers do not send equal load, so that one server
// is full while others are idle. Load balancers that act on the same outdated report send every request to
// the server that was idle a second ago. A server that fails fast always looks idle and attracts the
// requests of the whole service. A server that was just started receives a full share while its caches are
// empty. And if every server that appears unhealthy is avoided, the few that remain are overloaded.
//
// The rules, in order:
//
//   - The own server is used if it has an idle slot, because handing over a request costs a hop.
//   - A request is handed over if the own server is full, leaving, ejected, cold, much slower than its
//     peers, or has recently been busier than they are.
//   - It goes to the better of two peers selected at random among those that appear to have an idle slot.
//     The random choice, and the agent's own count of requests sent since the last report, prevent agents
//     with the same outdated report from selecting the same peer.
//   - Among equal peers, one in the same failure domain is preferred.
//   - If no peer appears idle, the own server is used, unless a peer is expected to answer much earlier.
//
// Reports are hints: their weight decreases with age, the agent compares them with its own counts and
// latencies and uses the worse of the two, and a refusal overrides any report.
//
// Since each hand-over costs a hop, small differences count as equal. At most half of the servers are
// ejected, because the remaining ones could not carry the load otherwise. docs/design/tuning.md compares
// the thresholds with alternatives.
//
// Package place does not decide whether a server accepts the request (see package admit) or whether a
// refused request is retried (see package retry). A Placer is not safe for concurrent use.
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

// Server is a server as configured in the document.
type Server struct {
	ID      uint32
	Domain  string
	Slots   int
	Leaving bool
}

// ServersOf returns the servers of a document.
func ServersOf(s *docs.Service) []Server {
	list := make([]Server, 0, len(s.Servers))
	for _, v := range s.Servers {
		list = append(list, Server{ID: v.ID, Domain: v.Domain, Slots: v.Slots, Leaving: v.State == docs.Leaving})
	}
	return list
}

// Hint is the load that an agent reports for its server. Peers receive it with a delay.
type Hint struct {
	Running     int           // requests that hold slots
	Waiting     int           // requests in the queue
	Utilization float64       // recently used share of the slots' time, 0 to 1
	Service     time.Duration // mean service time
	Leaving     bool          // accepts no new requests
}

// Self identifies the agent's own server.
type Self struct {
	ID     uint32
	Domain string
}

// Reason is the reason for a choice. Each has a counter.
type Reason string

// The reasons for a choice.
const (
	Own      Reason = "own"      // the own server has an idle slot
	Full     Reason = "full"     // the own server is full and a peer has an idle slot
	Balance  Reason = "balance"  // the own server has recently been busier than a peer
	Slow     Reason = "slow"     // the own server is much slower than a peer
	Avoid    Reason = "avoid"    // the own server is leaving, ejected or already tried
	Shorter  Reason = "shorter"  // all servers are full, and a peer is expected to answer much earlier
	Stay     Reason = "stay"     // all servers are full, or no peer is better
	NoServer Reason = "noserver" // no server may take the request
)

// Choice is the server selected for a request. Server is 0 if no server may take it.
type Choice struct {
	Server uint32
	Reason Reason
}

// Placer holds the state of the servers of a service as one agent knows it.
type Placer struct {
	rules  Rules
	self   Self
	random *rand.Rand
	states []*state // ordered by ID
}

// New returns a Placer without servers.
func New(self Self, random *rand.Rand) *Placer {
	return &Placer{rules: Default, self: self, random: random}
}

// SetRules replaces the default thresholds.
func (p *Placer) SetRules(r Rules) { p.rules = r }

// SetServers applies the servers of a new document. A new server starts cold, except with the first
// document, when it is unknown which servers are cold.
func (p *Placer) SetServers(now time.Time, servers []Server) {
	first := p.states == nil
	states := make([]*state, 0, len(servers))
	for _, v := range servers {
		s := p.state(v.ID)
		if s == nil {
			s = &state{}
			if !first {
				s.coldSince = now
			}
		}
		s.Server = v
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b *state) int { return int(a.ID) - int(b.ID) })
	p.states = states
}

// Joined records that a server has been restarted. Its share grows over the slow start.
func (p *Placer) Joined(now time.Time, id uint32) {
	if s := p.state(id); s != nil {
		*s = state{Server: s.Server, coldSince: now, inflight: s.inflight}
	}
}

// Choose returns the server for a request. own is the current state of the agent's own server, and tried
// lists the servers that have already refused the request.
func (p *Placer) Choose(now time.Time, own Hint, tried []uint32) Choice {
	mine := p.state(p.self.ID)
	peers := p.candidates(now, tried)
	if mine == nil || own.Leaving || mine.Leaving || mine.ejected(now) || now.Before(mine.downUntil) || slices.Contains(tried, p.self.ID) {
		return p.avoidOwn(now, peers)
	}
	mine.hint, mine.reportedAt, mine.own = own, now, true
	idle := p.withIdleSlot(now, peers)
	if mine.load(now, p.rules) >= mine.usableSlots(now, p.rules) {
		return p.overflow(now, mine, peers, idle)
	}
	if best := p.pickOfTwo(now, idle); best != nil {
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
	if best := p.pickOfTwo(now, idle); best != nil {
		return Choice{best.ID, Full}
	}
	if best := p.pickOfTwo(now, peers); best != nil && best.expected(now, p.rules) < p.rules.ShorterFactor*mine.expected(now, p.rules) {
		return Choice{best.ID, Shorter}
	}
	return Choice{p.self.ID, Stay}
}

// avoidOwn places a request that must not run on the own server.
func (p *Placer) avoidOwn(now time.Time, peers []*state) Choice {
	best := p.pickOfTwo(now, p.withIdleSlot(now, peers))
	if best == nil {
		best = p.pickOfTwo(now, peers)
	}
	if best == nil {
		return Choice{Reason: NoServer}
	}
	return Choice{best.ID, Avoid}
}

// candidates returns the peers that may receive requests.
func (p *Placer) candidates(now time.Time, tried []uint32) (list []*state) {
	for _, s := range p.states {
		if s.ID != p.self.ID && !s.unavailable(now) && !slices.Contains(tried, s.ID) {
			list = append(list, s)
		}
	}
	return list
}

// withIdleSlot returns the peers that appear to have an idle slot.
func (p *Placer) withIdleSlot(now time.Time, peers []*state) (list []*state) {
	for _, s := range peers {
		if !now.Before(s.fullUntil) && s.load(now, p.rules) < s.usableSlots(now, p.rules) {
			list = append(list, s)
		}
	}
	return list
}

// pickOfTwo returns the better of two servers selected at random, or nil if the list is empty.
func (p *Placer) pickOfTwo(now time.Time, list []*state) *state {
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
	if p.better(now, b, a) {
		return b
	}
	return a
}

// better reports whether a is a better choice than b.
func (p *Placer) better(now time.Time, a, b *state) bool {
	ea, eb := a.expected(now, p.rules), b.expected(now, p.rules)
	if !similar(ea, eb, p.rules.SimilarMargin) {
		return ea < eb
	}
	ba, bb := a.utilization(now, p.rules), b.utilization(now, p.rules)
	if d := ba - bb; d < -p.rules.EvenMargin || d > p.rules.EvenMargin {
		return ba < bb
	}
	if (a.Domain == p.self.Domain) != (b.Domain == p.self.Domain) {
		return a.Domain == p.self.Domain
	}
	return ba < bb
}

// slower reports whether the own server is so slow that handing over a request is worth the hop.
func (p *Placer) slower(now time.Time, mine, best *state) bool {
	theirs := best.expected(now, p.rules)
	return theirs > 0 && mine.service(now, p.rules) > p.rules.SlowFactor*theirs
}

// busier reports whether the own server has recently used more than its share of slot time and more than
// best.
func (p *Placer) busier(now time.Time, mine, best *state) bool {
	sum, n := mine.utilization(now, p.rules), 1
	for _, s := range p.states {
		if s != mine && s.fresh(now, p.rules) {
			sum += s.hint.Utilization
			n++
		}
	}
	own := mine.utilization(now, p.rules)
	return n > 1 && own > sum/float64(n)+p.rules.EvenMargin && best.fresh(now, p.rules) && best.utilization(now, p.rules) < own-p.rules.EvenMargin
}

func similar(a, b, margin float64) bool {
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
