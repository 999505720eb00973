// Package peers keeps the membership table of one process: what it believes about the other processes.
//
// It exists because no process has certain knowledge of the others: the platform's list lags, a partition
// makes the other half look failed, and a process that is replaced keeps its name. So the table contains
// beliefs only. Each process is the authority on its own state and numbers its incarnations; a claim by
// another process counts only if it is about the known incarnation or a later one. That a process does not
// answer makes it suspected by this process alone and is not gossiped: a suspected process is chosen
// rarely, and no partition can make it forgotten while the platform lists it.
//
// It is not a failure detector for traffic, and it sends nothing (package relay). It is pure: time and
// randomness are parameters. Callers synchronize access.
//
// # Usage
//
//	table := peers.New(self, peers.MaxMembers)
//	table.MergeList(now, fromPlatform)
//	table.Merge(now, member, true)     // received from the member itself
//	table.CallFailed(now, member.Name) // the member did not answer
//	for _, m := range table.Pick(now, r, 4, peers.Entries) {
//		send(m)
//	}
package peers

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Role is the kind of process that a member is.
type Role string

// The roles.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// State is a member's state as the member itself reports it.
type State string

// The states.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Member is one incarnation of a process.
type Member struct {
	Name        string
	Role        Role
	Domain      string // failure domain
	Address     netip.AddrPort
	Incarnation uint64 // 0 if it is known from the platform's list only
	State       State
}

// Timings and limits of a table.
const (
	MaxMembers     = 4096             // five times the number of entries at the planned size
	forgetAfter    = 10 * time.Minute // without being listed and without a message; longer than a regional partition usually lasts
	forgetFailures = 8                // consecutive failed calls, which take two minutes
	retryBase      = time.Second      // after the first failure
	retryCap       = time.Minute      // when half of the fleet is partitioned off, most calls still go to the reachable half
	gossipSends    = 8                // sends of one change, about twice the rounds that gossip needs
	maxGossip      = 128
)

// record is what the table holds about another process.
type record struct {
	Member
	listed       bool
	lastReceived time.Time // directly or from other processes
	failures     int
	retryAt      time.Time // Pick doesn't return the member before
}

// gossipItem is a changed member that is still to be gossiped sendsLeft times.
type gossipItem struct {
	name      string
	sendsLeft int
}

// Table is the membership table of one process. It is not safe for concurrent use.
type Table struct {
	self    Member
	limit   int
	records map[string]*record
	names   []string // of records, sorted
	gossip  []gossipItem
	refused int
}

// New returns a table that contains only the process itself and holds up to limit others.
func New(self Member, limit int) *Table {
	return &Table{self: self, limit: limit, records: map[string]*record{}, gossip: []gossipItem{{self.Name, gossipSends}}}
}

// Self returns this process as it reports itself.
func (t *Table) Self() Member { return t.self }

// SetState changes the state that this process reports.
func (t *Table) SetState(s State) {
	if t.self.State != s {
		t.self.State = s
		t.enqueueGossip(t.self.Name)
	}
}

// Len returns the number of other processes in the table.
func (t *Table) Len() int { return len(t.records) }

// Refused returns how many members were not added because the table was full.
func (t *Table) Refused() int { return t.refused }

// MergeList merges the platform's list. It adds new members and records which ones are still listed. Since
// the list lags, it changes nothing else about a process that is known from messages.
func (t *Table) MergeList(now time.Time, list []Member) {
	for _, r := range t.records {
		r.listed = false
	}
	for _, m := range list {
		m.Incarnation = 0
		t.Merge(now, m, false)
		if r := t.records[m.Name]; r != nil {
			r.listed = true
			if r.Incarnation == 0 {
				r.Member = m // known from the list only: the newest list counts
			}
		}
	}
	for name, r := range t.records {
		if !r.listed && now.Sub(r.lastReceived) > forgetAfter {
			t.remove(name)
		}
	}
}

// Merge merges a claim about a member, made by the member itself (direct) or by another process. It reports
// whether the claim changed the table.
func (t *Table) Merge(now time.Time, m Member, direct bool) (changed bool) {
	if m.Name == t.self.Name {
		return t.refute(m)
	}
	if m.Name == "" || !m.Address.IsValid() {
		return false
	}
	r := t.records[m.Name]
	if r == nil {
		if len(t.records) >= t.limit && !t.evict(now) {
			t.refused++
			return false
		}
		r = &record{Member: m, lastReceived: now}
		t.add(r)
		t.enqueueGossip(m.Name)
		return true
	}
	if m.Incarnation < r.Incarnation {
		// The claim is about an earlier incarnation, as after a partition. Accepting it would send traffic
		// to an address that the process no longer has.
		return false
	}
	if direct {
		r.lastReceived, r.failures, r.retryAt = now, 0, time.Time{}
	}
	switch {
	case m.Incarnation > r.Incarnation:
		r.lastReceived, r.failures, r.retryAt = now, 0, time.Time{}
	case m.State == Leaving && r.State != Leaving:
		// Within one incarnation, leaving is final.
	default:
		return false
	}
	r.Member = m
	t.enqueueGossip(m.Name)
	return true
}

func (t *Table) add(r *record) {
	t.records[r.Name] = r
	at, _ := slices.BinarySearch(t.names, r.Name)
	t.names = slices.Insert(t.names, at, r.Name)
}

func (t *Table) remove(name string) {
	delete(t.records, name)
	at, _ := slices.BinarySearch(t.names, name)
	t.names = slices.Delete(t.names, at, at+1)
}

// refute handles a claim about this process that isn't true of this incarnation: if the clock was behind at
// a restart, other processes consider the previous incarnation newer and would ignore this one. So this
// process takes an incarnation number above theirs.
func (t *Table) refute(m Member) bool {
	if m.Incarnation < t.self.Incarnation || m == t.self {
		return false
	}
	t.self.Incarnation = m.Incarnation + 1
	t.enqueueGossip(t.self.Name)
	return true
}

// evict makes room by removing a member that is not listed and does not answer.
func (t *Table) evict(now time.Time) bool {
	for name, r := range t.records {
		if !r.listed && r.failures > 0 && now.Sub(r.lastReceived) > retryCap {
			t.remove(name)
			return true
		}
	}
	return false
}

// CallFailed records that a member did not answer. A member that keeps failing and is not listed by the
// platform is removed eventually.
func (t *Table) CallFailed(now time.Time, name string) {
	r := t.records[name]
	if r == nil {
		return
	}
	r.failures++
	r.retryAt = now.Add(min(retryCap, retryBase<<min(r.failures-1, 10)))
	if !r.listed && r.failures >= forgetFailures && now.Sub(r.lastReceived) > forgetAfter {
		t.remove(name)
	}
}

// Suspected reports whether a call to a member has failed since a message of it was last received.
func (t *Table) Suspected(name string) bool {
	r := t.records[name]
	return r != nil && r.failures > 0
}

// Filter reports whether a member is selected.
type Filter func(Member) bool

// Entries selects the members of role entry.
func Entries(m Member) bool { return m.Role == Entry }

// Members returns the other members that only selects (nil: all), suspected or not, sorted by name.
func (t *Table) Members(only Filter) []Member {
	var members []Member
	for _, name := range t.names {
		if r := t.records[name]; only == nil || only(r.Member) {
			members = append(members, r.Member)
		}
	}
	return members
}

// Live returns this process and the others that are neither suspected nor leaving, sorted by name.
func (t *Table) Live(only Filter) []Member {
	members := t.Members(func(m Member) bool {
		return t.records[m.Name].failures == 0 && m.State != Leaving && (only == nil || only(m))
	})
	if only == nil || only(t.self) {
		members = append(members, t.self)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// Pick chooses up to n other members at random. A suspected member is left out until its retry is due, and
// then has the same chance as any other.
func (t *Table) Pick(now time.Time, r *rand.Rand, n int, only Filter) []Member {
	members := t.Members(func(m Member) bool {
		return !now.Before(t.records[m.Name].retryAt) && (only == nil || only(m))
	})
	r.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(n, len(members))]
}

// RandomSuspect chooses one of the suspected members at random, whether its retry is due or not.
func (t *Table) RandomSuspect(r *rand.Rand) (Member, bool) {
	members := t.Members(func(m Member) bool { return t.records[m.Name].failures > 0 })
	if len(members) == 0 {
		return Member{}, false
	}
	return members[r.IntN(len(members))], true
}

// Gossip returns up to n members for a message: first those that changed recently, then random ones, so
// that every process eventually knows all members.
func (t *Table) Gossip(r *rand.Rand, n int, only Filter) []Member {
	var members []Member
	var left []gossipItem
	for _, w := range t.gossip {
		m, ok := t.member(w.name)
		if !ok || only != nil && !only(m) {
			continue
		}
		if len(members) < n {
			members = append(members, m)
			w.sendsLeft--
		}
		if w.sendsLeft > 0 {
			left = append(left, w)
		}
	}
	t.gossip = left
	for range min(n-len(members), len(t.names)) {
		m := t.records[t.names[r.IntN(len(t.names))]]
		if m.failures == 0 && (only == nil || only(m.Member)) {
			members = append(members, m.Member)
		}
	}
	return members
}

func (t *Table) member(name string) (Member, bool) {
	if name == t.self.Name {
		return t.self, true
	}
	if r := t.records[name]; r != nil {
		return r.Member, true
	}
	return Member{}, false
}

// enqueueGossip queues a changed member for gossip, ahead of earlier changes.
func (t *Table) enqueueGossip(name string) {
	t.gossip = slices.DeleteFunc(t.gossip, func(w gossipItem) bool { return w.name == name })
	t.gossip = slices.Insert(t.gossip, 0, gossipItem{name, gossipSends})
	t.gossip = t.gossip[:min(len(t.gossip), maxGossip)]
}
