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
	// mostWitnesses is how many others are asked beside the agents in doubt. On a link that drops three in ten packets each way, all
	// of them answer one round in eight.
	mostWitnesses = 3
	// mostHelpers is how many others ask an agent in doubt too. On such a link an agent that lives is silent by all four ways in one
	// round of fifteen.
	mostHelpers = 3
	// drawsPerHelper bounds the search for a helper where most agents are lost.
	drawsPerHelper = 8
)

// NoRound is the round of a question whose answer no doubt depends on.
const NoRound = 0

// keepFor is for how long answers to a round are waited for: longer than any question is (package detect).
const keepFor = 2 * time.Second

// round is one round of questions. Beside the agents in doubt witnesses are asked at the same time, by whose answers the observer knows
// that its way was open: they went out and came back by the same link, and with the same luck.
type round struct {
	number    uint32
	at        time.Time
	witnesses []netip.Addr
	silent    []netip.Addr // of the witnesses, those that haven't answered
}

// way says how the observer's way was, by the answers of witnesses.
func (r *round) way() detect.Path {
	switch {
	case r == nil || len(r.silent) == len(r.witnesses):
		return detect.Blocked
	case len(r.silent) > 0:
		return detect.Partial
	default:
		return detect.Open
	}
}

// rounds are the rounds of an observer that may still be answered.
type rounds struct {
	rand    *rand.Rand
	last    uint32
	open    map[uint32]*round
	answers map[netip.Addr]time.Time // the last answer to a round
	misses  map[netip.Addr]time.Time // when a round began without an answer to the one before
}

func newRounds(r *rand.Rand) *rounds {
	return &rounds{
		rand:    r,
		last:    rand.Uint32(), // answers to an observer that ran here before don't count
		open:    map[uint32]*round{},
		answers: map[netip.Addr]time.Time{},
		misses:  map[netip.Addr]time.Time{},
	}
}

// begin begins a round with witnesses.
func (q *rounds) begin(now time.Time, witnesses []netip.Addr) *round {
	if before := q.open[q.last]; before != nil {
		for _, a := range before.silent {
			q.misses[a] = now
		}
	}
	q.last++
	if q.last == NoRound {
		q.last++
	}
	r := &round{number: q.last, at: now, witnesses: witnesses, silent: slices.Clone(witnesses)}
	q.open[r.number] = r
	return r
}

// class is how an agent would do as a witness.
type class int

const (
	silent  class = iota // it has left something unanswered
	unasked              // nothing speaks against it
	proved               // it has answered a round lately
)

// class tells that of an agent.
func (w *Monitor) class(a netip.Addr) class {
	answer, miss := w.rounds.answers[a], w.rounds.misses[a]
	switch {
	case miss.After(answer):
		return silent
	case !answer.IsZero():
		return proved
	default:
		return unasked
	}
}

// candidate is an agent that may be a witness.
type candidate struct {
	agent netip.Addr
	class class
	heard time.Time // zero: not lately
}

// witnesses draws who is asked beside the agents in doubt: of the best class those that were heard last, at random who wasn't, and none that is
// in doubt itself unless all are.
func (w *Monitor) witnesses(agents []netip.Addr) (drawn []netip.Addr) {
	all := w.shuffled(agents)
	calm := slices.DeleteFunc(slices.Clone(all), func(a netip.Addr) bool { return w.agents[a] != nil })
	if len(calm) == 0 {
		calm = all
	}
	var list []candidate
	for _, a := range calm {
		list = append(list, candidate{agent: a, class: w.class(a), heard: w.heard[a]})
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.class, a.class), b.heard.Compare(a.heard))
	})
	for _, c := range list[:min(mostWitnesses, len(list))] {
		drawn = append(drawn, c.agent)
	}
	return drawn
}

// some draws helpers from the agents but one, anew each time: some of them may not reach it either. It looks at few of the agents, as it
// is called for each one in doubt.
func (w *Monitor) some(agents []netip.Addr, but netip.Addr) (drawn []netip.Addr) {
	for range drawsPerHelper * mostHelpers {
		a := agents[w.rounds.rand.IntN(len(agents))]
		if a == but || a == w.self || w.Failed(a) || slices.Contains(drawn, a) {
			continue
		}
		if drawn = append(drawn, a); len(drawn) == mostHelpers {
			break
		}
	}
	return drawn
}

// shuffled returns the other agents that aren't lost in any order.
func (w *Monitor) shuffled(agents []netip.Addr) (list []netip.Addr) {
	for _, i := range w.rounds.rand.Perm(len(agents)) {
		if agents[i] != w.self && !w.Failed(agents[i]) {
			list = append(list, agents[i])
		}
	}
	return list
}

// answered notes an answer.
func (q *rounds) answered(now time.Time, a netip.Addr, number uint32) {
	r := q.open[number]
	if r == nil {
		return
	}
	q.answers[a] = now
	r.silent = slices.DeleteFunc(r.silent, func(s netip.Addr) bool { return s == a })
}

// forget drops what is too old to tell anything.
func (q *rounds) forget(now time.Time) {
	maps.DeleteFunc(q.open, func(_ uint32, r *round) bool { return now.Sub(r.at) > keepFor })
	dropOld(now, q.answers, lately)
	dropOld(now, q.misses, lately)
}
