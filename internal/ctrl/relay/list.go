package relay

import (
	"context"
	"net/netip"
	"time"

	"mangowinch/internal/ctrl/fetch"
	"mangowinch/internal/ctrl/peers"
)

// Bounds of reading the platform's list of instances.
const (
	listEvery    = 2 * time.Second // while it's small
	listPerByte  = time.Second / 2000
	instanceSize = 110              // bytes of one instance in the list, about
	turnedFor    = 10 * time.Second // a change of the list counts as just made
)

// listInstances reads the platform's list now and then: every 2 s while it's
// small, and seldom enough that it takes 2 KB a second when it's large.
func (n *Node) listInstances(ctx context.Context) {
	turned := map[netip.AddrPort]time.Time{}
	live := map[netip.AddrPort]bool{}
	failures := 0
	for ctx.Err() == nil {
		list, err := n.Platform.Instances(ctx)
		if err != nil {
			failures++
			sleep(ctx, listEvery+n.backoff(failures))
			continue
		}
		failures = 0
		n.heardPlatform(time.Now())
		old, fresh := n.leaving(n.takeList(list), live, turned)
		n.tellLeaving(ctx, fresh, true)
		n.tellLeaving(ctx, old, false)
		every := max(listEvery, time.Duration(len(list.Instances)*instanceSize)*listPerByte)
		sleep(ctx, n.jitter(every))
	}
}

// takeList puts the platform's list into the table, and returns it as members.
func (n *Node) takeList(list fetch.Instances) []peers.Member {
	var all, entries []peers.Member
	for _, i := range list.Instances {
		m := peers.Member{Name: i.Name, Role: peers.Role(i.Role), Domain: i.Domain, Address: i.Address, State: peers.State(i.State)}
		all = append(all, m)
		if m.Role == peers.Entry && m.Name != n.Self.Name {
			entries = append(entries, m)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.MergeList(time.Now(), entries)
	return all
}

// leaving returns who is listed as leaving, apart those that turned so just now.
func (n *Node) leaving(list []peers.Member, live map[netip.AddrPort]bool, turned map[netip.AddrPort]time.Time) (old, fresh []peers.Member) {
	for _, m := range list {
		if m.State != peers.Leaving {
			live[m.Address] = true
			delete(turned, m.Address)
			continue
		}
		if live[m.Address] {
			delete(live, m.Address)
			turned[m.Address] = time.Now()
		}
		if at, ok := turned[m.Address]; ok && time.Since(at) < turnedFor {
			fresh = append(fresh, m)
		} else {
			old = append(old, m)
		}
	}
	return old, fresh
}
