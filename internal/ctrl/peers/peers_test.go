package peers_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/ctrl/peers"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func member(name string, incarnation uint64, port uint16) peers.Member {
	return peers.Member{
		Name: name, Role: peers.Entry, Domain: "d1", Incarnation: incarnation, State: peers.Live,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port),
	}
}

// An entry is replaced at another address while a partition lasts. When it ends, the
// other side still tells of the former life. Believing that would send traffic to
// an address where nobody is, or somebody else: in any order the newest life counts.
func TestNewestLifeCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := peers.New(member("self", 1, 1), peers.MaxMembers)
		var newest uint64
		for _, life := range rapid.SliceOfN(rapid.Uint64Range(0, 5), 1, 20).Draw(t, "lives") {
			table.Merge(start, member("e1", life, uint16(7000+life)), rapid.Bool().Draw(t, "direct"))
			newest = max(newest, life)
			got := table.Members(nil)[0]
			assert.Equal(t, got, member("e1", newest, uint16(7000+newest)))
		}
	})
}

// A process restarts on a machine whose clock is behind, so that its new life has a
// lower number than the one that others remember. They would ignore it for good.
func TestContradictsRumoursAboutItself(t *testing.T) {
	table := peers.New(member("self", 10, 1), peers.MaxMembers)
	assert.Assert(t, table.Merge(start, member("self", 50, 2), false))
	assert.Equal(t, table.Self(), member("self", 51, 1))
	assert.Assert(t, !table.Merge(start, member("self", 51, 1), false)) // its own word, come back
	assert.Equal(t, table.Self().Incarnation, uint64(51))
}

// The platform's list is late and names an address that an entry has left, and
// calls it live although it has said that it leaves.
func TestListChangesNothingThatWasHeard(t *testing.T) {
	table := peers.New(member("self", 1, 1), peers.MaxMembers)
	heard := member("e1", 7, 7001)
	heard.State = peers.Leaving
	table.Merge(start, heard, true)
	table.MergeList(start, []peers.Member{member("e1", 0, 7000), member("e2", 0, 7002)})
	assert.Assert(t, slices.Equal(table.Members(nil), []peers.Member{heard, member("e2", 0, 7002)}))
	table.MergeList(start, []peers.Member{member("e2", 0, 7003)}) // known by the list alone
	assert.Equal(t, table.Members(nil)[1], member("e2", 0, 7003))
}

// Half of the fleet is cut off for an hour. It looks dead, and is still listed; it
// must be tried again within a minute of the end, and be no news meanwhile.
func TestSuspectsAreTriedAgain(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	table := peers.New(member("self", 1, 1), peers.MaxMembers)
	table.MergeList(start, []peers.Member{member("e1", 0, 7001)})
	now := start
	for now.Before(start.Add(time.Hour)) {
		picked := table.Pick(now, r, 1, peers.Entries)
		if len(picked) > 0 {
			table.CallFailed(now, "e1")
		}
		now = now.Add(time.Second)
	}
	assert.Assert(t, table.Suspected("e1"))
	suspect, ok := table.RandomSuspect(r)
	assert.Assert(t, ok && suspect.Name == "e1")
	assert.Equal(t, len(table.Live(nil)), 1)
	tried := false
	for range 60 {
		now = now.Add(time.Second)
		tried = tried || len(table.Pick(now, r, 1, nil)) > 0
	}
	assert.Assert(t, tried)
	table.Merge(now, member("e1", 3, 7001), true)
	assert.Equal(t, len(table.Live(nil)), 2)
	_, ok = table.RandomSuspect(r)
	assert.Assert(t, !ok)
}

// Processes come and go for months. The table stays bounded, makes room by those who
// neither answer nor are listed, and forgets them in the end.
func TestBounded(t *testing.T) {
	table := peers.New(member("self", 1, 1), 10)
	for n := range 20 {
		table.Merge(start, member(fmt.Sprint("e", n), 1, uint16(7000+n)), false)
	}
	assert.Equal(t, table.Len(), 10)
	assert.Equal(t, table.Refused(), 10)
	later := start.Add(2 * time.Minute)
	table.CallFailed(later, "e3")
	assert.Assert(t, table.Merge(later, member("new", 1, 9000), true))
	assert.Equal(t, table.Len(), 10)
	for range 8 {
		table.CallFailed(start.Add(time.Hour), "e4")
	}
	assert.Equal(t, table.Len(), 9)
}
