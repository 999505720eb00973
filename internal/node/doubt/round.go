package doubt

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/load/detect"
)

const (
	// maxWitnesses is how many other agents are probed beside the suspects. On a link that drops 30% of the
	// packets in each direction, all of them answer one round in eight.
	maxWitnesses = 3
	// maxHelpers is how many other agents probe a suspect too. On such a link all four paths to a live
	// agent fail in one round of fifteen.
	maxHelpers = 3
	// drawsPerHelper bounds the search for a helper where most agents have failed.
	drawsPerHelper = 8
)

// NoRound is the round of probes whose answers are not used to judge a suspect.
const NoRound = 0

// roundTTL is how long answers to a round are accepted, which is longer than the detector waits for any
// probe (package detect).
const roundTTL = 2 * time.Second

// round is one round of probes. Witnesses are probed at the same time as the suspects. Their answers show
// the observer whether its own path was open, since their probes and answers used the same link and were
// exposed to the same loss.
type round struct {
	number     uint32
	at         time.Time
	witnesses  []netip.Addr
	unanswered []netip.Addr // the witnesses that haven't answered
}

// path returns the state of the observer's path, by the answers of the witnesses.
func (r *round) path() detect.Path {
	switch {
	case r == nil || len(r.unanswered) == len(r.witnesses):
		return detect.Blocked
	case len(r.unanswered) > 0:
		return detect.Partial
	default:
		return detect.Open
	}
}

// rounds holds an observer's rounds that may still be answered.
type rounds struct {
	rand    *rand.Rand
	last    uint32
	open    map[uint32]*round
	answers map[netip.Addr]time.Time // when an agent last answered a round
	misses  map[netip.Addr]time.Time // by witnesses that left a round unanswered: when the next round began
}

func newRounds(r *rand.Rand) *rounds {
	return &rounds{
		rand:    r,
		last:    rand.Uint32(), // answers to an earlier process at this address must not match
		open:    map[uint32]*round{},
		answers: map[netip.Addr]time.Time{},
		misses:  map[netip.Addr]time.Time{},
	}
}

// begin begins a round with the given witnesses.
func (q *rounds) begin(now time.Time, witnesses []netip.Addr) *round {
	if before := q.open[q.last]; before != nil {
		for _, a := range before.unanswered {
			q.misses[a] = now
		}
	}
	q.last++
	if q.last == NoRound {
		q.last++
	}
	r := &round{number: q.last, at: now, witnesses: witnesses, unanswered: slices.Clone(witnesses)}
	q.open[r.number] = r
	return r
}

// standing ranks an agent as a witness.
type standing int

const (
	unresponsive standing = iota // has left a probe unanswered recently
	untested                     // has neither answered nor missed a round recently
	responsive                   // has answered a round recently
)

// standing returns the standing of an agent.
func (w *Monitor) standing(a netip.Addr) standing {
	answer, miss := w.rounds.answers[a], w.rounds.misses[a]
	switch {
	case miss.After(answer):
		return unresponsive
	case !answer.IsZero():
		return responsive
	default:
		return untested
	}
}

// candidate is an agent that may be a witness.
type candidate struct {
	agent    netip.Addr
	standing standing
	lastSeen time.Time // zero: not recently
}

// pickWitnesses selects the agents that are probed beside the suspects: those of the best standing, most
// recently seen ones first, agents that were not seen recently in random order. Suspects are selected only
// if all agents are suspected.
func (w *Monitor) pickWitnesses(agents []netip.Addr) (picked []netip.Addr) {
	all := w.shuffled(agents)
	unsuspected := slices.DeleteFunc(slices.Clone(all), func(a netip.Addr) bool { return w.suspects[a] != nil })
	if len(unsuspected) == 0 {
		unsuspected = all
	}
	var list []candidate
	for _, a := range unsuspected {
		list = append(list, candidate{agent: a, standing: w.standing(a), lastSeen: w.lastSeen[a]})
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.standing, a.standing), b.lastSeen.Compare(a.lastSeen))
	})
	for _, c := range list[:min(maxWitnesses, len(list))] {
		picked = append(picked, c.agent)
	}
	return picked
}

// pickHelpers selects helpers at random from the agents other than the excepted one. It selects anew each
// time, because some helpers may not reach the suspect either. It examines only a few of the agents,
// because it is called for each suspect.
func (w *Monitor) pickHelpers(agents []netip.Addr, except netip.Addr) (picked []netip.Addr) {
	for range drawsPerHelper * maxHelpers {
		a := agents[w.rounds.rand.IntN(len(agents))]
		if a == except || a == w.self || w.Failed(a) || slices.Contains(picked, a) {
			continue
		}
		if picked = append(picked, a); len(picked) == maxHelpers {
			break
		}
	}
	return picked
}

// shuffled returns the other agents that haven't failed, in random order.
func (w *Monitor) shuffled(agents []netip.Addr) (list []netip.Addr) {
	for _, i := range w.rounds.rand.Perm(len(agents)) {
		if agents[i] != w.self && !w.Failed(agents[i]) {
			list = append(list, agents[i])
		}
	}
	return list
}

// answered records an answer.
func (q *rounds) answered(now time.Time, a netip.Addr, number uint32) {
	r := q.open[number]
	if r == nil {
		return
	}
	q.answers[a] = now
	r.unanswered = slices.DeleteFunc(r.unanswered, func(s netip.Addr) bool { return s == a })
}

// forget drops expired rounds, answers and misses.
func (q *rounds) forget(now time.Time) {
	maps.DeleteFunc(q.open, func(_ uint32, r *round) bool { return now.Sub(r.at) > roundTTL })
	dropExpired(now, q.answers, recentFor)
	dropExpired(now, q.misses, recentFor)
}
