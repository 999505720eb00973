package local

import (
	"net/netip"
	"slices"
	"time"

	"mangowinch/internal/flow/segs"
)

// Agents that are lost while flows are looked for.
//
// The failure: a failure domain loses power, or an instance is cut off. Its agents answer no question, so that no search ends, of
// whatever flow, and callers of flows that nobody holds wait until their deadlines: those of the lost servers, whose
// packets now come by entries that don't know them.
//
// The guard: an agent that has left a lead's questions unanswered, or that is a flow's owner and whose caller repeats the data that was passed on
// to it, is in doubt (package doubt). When it is lost, rounds don't wait for it, and its flows are looked for: another server may hold
// them.
//
// Why it holds: nothing that a lost agent's server sends reaches a caller, since it goes by the agent. If half of all agents or more are
// lost, it may be the lead that is cut off, with some others: then nobody is left out.

// present returns the agents whose answers a lead waits for.
func (a *Agent) present() []netip.Addr {
	all := a.Log.View().Homes.Agents()
	if a.doubted.None() {
		return all
	}
	present := slices.DeleteFunc(slices.Clone(all), a.doubted.Lost)
	if 2*len(present) <= len(all) {
		return all
	}
	return present
}

const (
	// passedFor is how long passed-on data is remembered: callers repeat it after 0.2, 0.6 and 1.4 s.
	passedFor = 2 * time.Second
	// mostPassed bounds the memory for it, some 40 bytes each.
	mostPassed = 4096
)

// notePassed remembers what was passed on to a flow's owner. The same data again puts the owner in doubt.
func (a *Agent) notePassed(now time.Time, owner netip.Addr, s *segs.Segment) {
	if now.Sub(a.forget) > passedFor {
		a.forget = now
		clear(a.passed)
	}
	if s.Len == 0 {
		return
	}
	end := s.Seq + uint32(s.Len)
	if before, known := a.passed[s.Flow]; known && before == end {
		a.doubtAll(now, []netip.Addr{owner})
		return
	}
	if len(a.passed) < mostPassed {
		a.passed[s.Flow] = end
	}
}

// doubtAll notes that agents have left a question unanswered.
func (a *Agent) doubtAll(now time.Time, agents []netip.Addr) {
	if a.Off.Lost {
		return
	}
	for _, other := range agents {
		if other != a.Self && !a.Ctrl.Leaving(other) {
			a.doubted.Doubt(now, other)
		}
	}
}

// watchDoubted asks the agents in doubt, and notes who is lost.
func (a *Agent) watchDoubted(now time.Time) {
	v := a.Log.View()
	for _, other := range a.doubted.Tick(now, v.Homes.Agents(), a.Ctrl.Leaving) {
		a.Events.State("agent-lost").Stringer("agent", other).Uint64("revision", v.Revision).Send()
	}
}

// Heard notes that another process is alive: a message has come from it, or from one that has heard it.
func (a *Agent) Heard(from netip.Addr) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.doubted.Heard(from) {
		a.Events.State("agent-back").Stringer("agent", from).Send()
	}
}

// Answered notes that another process has answered something that this agent sent.
func (a *Agent) Answered(netip.Addr) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.doubted.Answered()
}
