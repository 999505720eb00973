package belief

import (
	"cmp"
	"time"
)

// The platform's store may be restored from a backup that is some seconds old, which starts the next
// era. A listing of the new era replaces the belief, whatever the numbers of its revisions. It lacks
// what the operator and the servers wrote after the backup was made, until they write it again.
// A restore therefore doesn't undo changes that have an order of their own:
//
//   - A configuration is only replaced by a higher version.
//   - A server's record is only replaced by a later record of the same server, and a server that was
//     removed while draining stays removed.
//
// All other items follow the restored store. Servers that it lacks stay for absenceGrace, as after
// any expiry. An evacuation that it lacks is removed: it may have been revoked while the store was
// down, and callers would be refused for an evacuation that is no longer in force.

// departedTTL is how long a server that was removed while draining is remembered. No backup from which
// the store is restored is that old.
const departedTTL = time.Minute

// compareWrites orders the records that one server wrote: by its start, then by its sequence number.
func compareWrites(a, b *Server) int {
	return cmp.Or(cmp.Compare(a.Born, b.Born), cmp.Compare(a.Seq, b.Seq))
}

// mergeAcrossEras changes an item of a later era so that it keeps what a restore must not undo. It
// returns false if the item is the record of a server that has left. l.mu is held.
func (l *Log) mergeAcrossEras(before Item, i *Item) bool {
	known, hasLeft := before, false
	if d, ok := l.departed[i.Key]; ok && before.Server == nil {
		known, hasLeft = d.Item, d.deletedByPlatform
	}
	if i.Server == nil || known.Server == nil || i.Revision.Era() == known.Revision.Era() {
		return true
	}
	age := compareWrites(i.Server, known.Server)
	if hasLeft {
		return age > 0
	}
	if age < 0 {
		kept := *known.Server
		kept.Created = i.Server.Created
		i.Server = &kept
	}
	return true
}

// removedItem is the last content of an item that was removed, with the revision of its removal.
type removedItem struct {
	Item
	deletedByPlatform bool      // false: it may just be missing from a restored backup
	expires           time.Time // end of its retention
}

// recordRemoval keeps what an item held before its removal, if it was a server. l.mu is held.
func (l *Log) recordRemoval(now time.Time, before Item, removal Item) {
	d := removedItem{Item: before, deletedByPlatform: before.Revision.Era() == removal.Revision.Era()}
	d.Revision = removal.Revision
	switch {
	case before.Server != nil && before.Server.State == Ready:
		d.expires = now.Add(absenceGrace)
		l.absent[removal.Key] = d
	case before.Server != nil && before.Server.State == Draining:
		d.expires = now.Add(departedTTL)
		l.departed[removal.Key] = d
	}
}

// expire deletes the items whose retention time is over, and reports whether there were any.
func expire(now time.Time, items map[string]removedItem) (expired bool) {
	for key, d := range items {
		if now.After(d.expires) {
			delete(items, key)
			expired = true
		}
	}
	return expired
}
