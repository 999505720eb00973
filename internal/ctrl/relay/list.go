package relay

import (
	"context"
	"net/netip"
	"time"

	"mangowinch/internal/ctrl/fetch"
	"mangowinch/internal/ctrl/peers"
)

// Timings and sizes of reading the platform's list of instances.
const (
	listPeriod         = 2 * time.Second // while the list is small
	listPerByte        = time.Second / 2000
	instanceSize       = 110              // approximate bytes of one instance in the list
	newlyLeavingPeriod = 10 * time.Second // how long a change to leaving counts as new
)

// listInstances reads the platform's list of instances periodically: every 2 s while the list is small, and
// less often when it is large, so that reading it takes at most 2 KB a second.
func (n *Node) listInstances(ctx context.Context) {
	leavingSince := map[netip.AddrPort]time.Time{}
	wasLive := map[netip.AddrPort]bool{}
	failures := 0
	for ctx.Err() == nil {
		list, err := n.Platform.Instances(ctx)
		if err != nil {
			failures++
			sleep(ctx, listPeriod+n.backoff(failures))
			continue
		}
		failures = 0
		n.recordContact(time.Now())
		earlier, newly := n.leavingMembers(n.mergeList(list), wasLive, leavingSince)
		n.notifyLeaving(ctx, newly, true)
		n.notifyLeaving(ctx, earlier, false)
		interval := max(listPeriod, time.Duration(len(list.Instances)*instanceSize)*listPerByte)
		sleep(ctx, n.jitter(interval))
	}
}

// mergeList merges the platform's list of instances into the table and returns the list as members.
func (n *Node) mergeList(list fetch.Instances) []peers.Member {
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

// leavingMembers returns the members that are listed as leaving: newly those whose state changed within
// newlyLeavingPeriod, earlier the others.
func (n *Node) leavingMembers(list []peers.Member, wasLive map[netip.AddrPort]bool, leavingSince map[netip.AddrPort]time.Time) (earlier, newly []peers.Member) {
	for _, m := range list {
		if m.State != peers.Leaving {
			wasLive[m.Address] = true
			delete(leavingSince, m.Address)
			continue
		}
		if wasLive[m.Address] {
			delete(wasLive, m.Address)
			leavingSince[m.Address] = time.Now()
		}
		if at, ok := leavingSince[m.Address]; ok && time.Since(at) < newlyLeavingPeriod {
			newly = append(newly, m)
		} else {
			earlier = append(earlier, m)
		}
	}
	return earlier, newly
}
