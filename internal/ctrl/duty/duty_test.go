package duty_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/ctrl/duty"
	"mangowinch/internal/ctrl/peers"
)

func fleet(entries, domains int) []peers.Member {
	var members []peers.Member
	for n := range entries {
		members = append(members, peers.Member{
			Name: fmt.Sprint("e", n), Role: peers.Entry, Domain: fmt.Sprint("d", n%domains), State: peers.Live,
		})
	}
	return members
}

// Watches waits count as calls at the platform, whose rate grows more slowly than the
// fleet. Whatever the fleet's size and whoever is believed dead, there are three
// for each failure domain, or all where there are fewer: never none.
func TestFewWatchEachDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 7).Draw(t, "domains")
		all := fleet(rapid.IntRange(1, 900).Draw(t, "entries"), domains)
		watchers, sizes := map[string]int{}, map[string]int{}
		for _, m := range all {
			sizes[m.Domain]++
			if duty.IsWatcher(m, all) {
				watchers[m.Domain]++
			}
		}
		for domain, size := range sizes {
			assert.Equal(t, watchers[domain], min(size, duty.WatchersPerDomain))
		}
	})
}

// An hour's outage ends the patience of all entries at once. If each probed, the
// platform would be brought down as it comes back: the fleet makes two a second.
func TestProbesOfTheFleetAreFew(t *testing.T) {
	for _, members := range []int{1, 20, 800, 8000} {
		r := rand.New(rand.NewPCG(7, uint64(members)))
		probes := 0
		for range 100 * members {
			if duty.ShouldProbe(time.Hour, members, r) {
				probes++
			}
		}
		mean := float64(probes) / 100
		assert.Assert(t, mean <= 22 && mean >= min(18, float64(members)), "%d members make %.1f probes in a tick", members, mean)
	}
	assert.Assert(t, !duty.ShouldProbe(duty.StaleAge-time.Second, 1, rand.New(rand.NewPCG(1, 1))))
}

// When an entry goes, the entries that tell the agents of a service change by that one only.
func TestContactsMoveLittle(t *testing.T) {
	all := fleet(50, 7)
	for s := range 100 {
		service := fmt.Sprint("service-", s)
		before := duty.Contacts(service, all, 3)
		after := duty.Contacts(service, all[1:], 3)
		kept := 0
		for _, m := range before {
			for _, o := range after {
				if m == o {
					kept++
				}
			}
		}
		if before[0] != all[0] && before[1] != all[0] && before[2] != all[0] {
			assert.Equal(t, kept, 3)
		} else {
			assert.Equal(t, kept, 2)
		}
	}
}
