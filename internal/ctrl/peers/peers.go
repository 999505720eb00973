// Package peers keeps what one process believes about the other processes.
//
// It exists because nobody knows for certain who is there: the platform's list
// lags, a partition makes the other half look dead, and a process that was
// replaced keeps its name. So every belief here is soft. A process itself is
// the authority on its state, and numbers its lives (incarnations); what others
// say about it counts only if it's about a life at least as new. That somebody
// does not answer is a suspicion of this process alone and is told to nobody:
// it makes the process rarely chosen, and no partition can make it forgotten
// while the platform lists it.
//
// It is not a failure detector for traffic, and sends nothing (package relay).
// It is pure: the time and the randomness are handed in. Callers lock.
//
// # Usage
//
//	table := peers.New(self, peers.MaxMembers)
//	table.List(now, fromPlatform)
//	table.Learn(now, member, true)   // heard from it
//	table.Failed(now, member.Name)   // it did not answer
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

// Role says which of the two kinds of process a member is.
type Role string

// The roles.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// State is what a member says of itself.
type State string

// The states.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Member is one life of a process.
type Member struct {
	Name        string
	Role        Role
	Domain      string // failure domain
	Address     netip.AddrPort
	Incarnation uint64 // 0 when only the platform's list names it
	State       State
}

// Bounds of a table.
const (
	MaxMembers     = 4096             // five times the entries of the planned size
	forget         = 10 * time.Minute // unlisted and unheard: longer than a regional partition usually lasts
	forgetFailures = 8                // in a row, which takes two minutes
	retryBase      = time.Second      // after the first failure
	retryCap       = time.Minute      // with half of the fleet cut off, most tries go to the other half
	newsSends      = 8                // times a change is passed on, about twice the rounds that a rumour needs
	maxNews        = 128
)

type record struct {
	Member
	listed   bool
	heard    time.Time // directly or from others
	failures int
	retry    time.Time // not chosen before
}

type news struct {
	name string
	left int
}

// Table is the belief of one process. It is not safe for concurrent use.
type Table struct {
	self    Member
	most    int
	records map[string]*record
	names   []string // of records, ordered
	news    []news
	refused int
}

// New returns the table of a process that knows only itself and will know most others.
func New(self Member, most int) *Table {
	return &Table{self: self, most: most, records: map[string]*record{}, news: []news{{self.Name, newsSends}}}
}

// Self returns what this process says of itself.
func (t *Table) Self() Member { return t.self }

// SetState changes what this process says of itself.
func (t *Table) SetState(s State) {
	if t.self.State != s {
		t.self.State = s
		t.spread(t.self.Name)
	}
}

// Len returns how many other processes are known.
func (t *Table) Len() int { return len(t.records) }

// Refused returns how many members were not taken in since the table was full.
func (t *Table) Refused() int { return t.refused }

// MergeList takes in the platform's list. It adds who is new and marks who is still
// listed. It lags, so it changes nothing about a process that was heard from.
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
				r.Member = m // known by the list alone: the newest list counts
			}
		}
	}
	for name, r := range t.records {
		if !r.listed && now.Sub(r.heard) > forget {
			t.remove(name)
		}
	}
}

// Merge takes in what is said about a member: by itself (direct) or by others.
// It reports whether anything was new.
func (t *Table) Merge(now time.Time, m Member, direct bool) (changed bool) {
	if m.Name == t.self.Name {
		return t.contradict(m)
	}
	if m.Name == "" || !m.Address.IsValid() {
		return false
	}
	r := t.records[m.Name]
	if r == nil {
		if len(t.records) >= t.most && !t.evict(now) {
			t.refused++
			return false
		}
		r = &record{Member: m, heard: now}
		t.add(r)
		t.spread(m.Name)
		return true
	}
	if m.Incarnation < r.Incarnation {
		// A rumour about an earlier life, as after a partition. To believe it would
		// send traffic to an address that the process left.
		return false
	}
	if direct {
		r.heard, r.failures, r.retry = now, 0, time.Time{}
	}
	switch {
	case m.Incarnation > r.Incarnation:
		r.heard, r.failures, r.retry = now, 0, time.Time{}
	case m.State == Leaving && r.State != Leaving:
		// Within one life nobody comes back from leaving.
	default:
		return false
	}
	r.Member = m
	t.spread(m.Name)
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

// contradict answers a rumour about this process itself that isn't true of this
// life: after a restart with a clock that is behind, others hold the former life
// for newer and would ignore this one. So it takes a newer number than theirs.
func (t *Table) contradict(m Member) bool {
	if m.Incarnation < t.self.Incarnation || m == t.self {
		return false
	}
	t.self.Incarnation = m.Incarnation + 1
	t.spread(t.self.Name)
	return true
}

// evict makes room by forgetting somebody who is neither listed nor answers.
func (t *Table) evict(now time.Time) bool {
	for name, r := range t.records {
		if !r.listed && r.failures > 0 && now.Sub(r.heard) > retryCap {
			t.remove(name)
			return true
		}
	}
	return false
}

// CallFailed notes that a member did not answer. One that never does any more, and that
// the platform doesn't list as far as is known here, is forgotten in the end.
func (t *Table) CallFailed(now time.Time, name string) {
	r := t.records[name]
	if r == nil {
		return
	}
	r.failures++
	r.retry = now.Add(min(retryCap, retryBase<<min(r.failures-1, 10)))
	if !r.listed && r.failures >= forgetFailures && now.Sub(r.heard) > forget {
		t.remove(name)
	}
}

// Suspected says whether a member did not answer lately.
func (t *Table) Suspected(name string) bool {
	r := t.records[name]
	return r != nil && r.failures > 0
}

// Filter says which members are meant.
type Filter func(Member) bool

// Entries accepts the members of role entry.
func Entries(m Member) bool { return m.Role == Entry }

// Members returns all others for which only says true (nil: all), whether they
// answer or not, ordered by name.
func (t *Table) Members(only Filter) []Member {
	var members []Member
	for _, name := range t.names {
		if r := t.records[name]; only == nil || only(r.Member) {
			members = append(members, r.Member)
		}
	}
	return members
}

// Live returns this process and the others that answer as far as is known, ordered by name.
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

// Pick chooses up to n others at random. Who did not answer is left out until its
// retry is due, and then chosen like anybody else.
func (t *Table) Pick(now time.Time, r *rand.Rand, n int, only Filter) []Member {
	members := t.Members(func(m Member) bool {
		return !now.Before(t.records[m.Name].retry) && (only == nil || only(m))
	})
	r.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(n, len(members))]
}

// RandomSuspect chooses one at random of those that did not answer, whether its retry is due or not.
func (t *Table) RandomSuspect(r *rand.Rand) (Member, bool) {
	members := t.Members(func(m Member) bool { return t.records[m.Name].failures > 0 })
	if len(members) == 0 {
		return Member{}, false
	}
	return members[r.IntN(len(members))], true
}

// Gossip returns up to n members to tell somebody about: first those about whom
// something changed lately, then any, so that in time everybody knows all.
func (t *Table) Gossip(r *rand.Rand, n int, only Filter) []Member {
	var members []Member
	var left []news
	for _, w := range t.news {
		m, ok := t.member(w.name)
		if !ok || only != nil && !only(m) {
			continue
		}
		if len(members) < n {
			members = append(members, m)
			w.left--
		}
		if w.left > 0 {
			left = append(left, w)
		}
	}
	t.news = left
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

// spread remembers a change to be passed on, newest first.
func (t *Table) spread(name string) {
	t.news = slices.DeleteFunc(t.news, func(w news) bool { return w.name == name })
	t.news = slices.Insert(t.news, 0, news{name, newsSends})
	t.news = t.news[:min(len(t.news), maxNews)]
}
