package belief

import (
	"cmp"
	"time"
)

// The platform's store may be brought back from a copy some seconds old, in the next era. A listing of that era replaces the belief, whatever the numbers
// of revisions. What the operator and the servers wrote since the copy was made is missing from it until they write it again, so
// it doesn't undo what has an order of its own:
//
//   - A configuration is replaced by a higher version only.
//   - A server's entry is replaced by a later one of its own writings, and a server that said that it leaves, and left, stays gone.
//
// What has no such order follows the copy: servers that are missing stay for a moment, as after any lapse, and an evacuation that is missing
// may have been taken back while the store was away, so that callers would be refused for it.

// leftKept is how long a server that has left is remembered: longer than any copy is old.
const leftKept = time.Minute

// compareWritings orders what the server of an entry wrote: by its start, then by its writings since.
func compareWritings(a, b *Server) int {
	return cmp.Or(cmp.Compare(a.Born, b.Born), cmp.Compare(a.Seq, b.Seq))
}

// outlast makes an item of a later era hold what the era can't undo. It returns false if the item is of a server that has
// left. l.mu is held.
func (l *Log) outlast(before Item, i *Item) bool {
	known, left := before, false
	if d, ok := l.left[i.Key]; ok && before.Server == nil {
		known, left = d.Item, d.deleted
	}
	if i.Server == nil || known.Server == nil || i.Revision.Era() == known.Revision.Era() {
		return true
	}
	age := compareWritings(i.Server, known.Server)
	if left {
		return age > 0
	}
	if age < 0 {
		kept := *known.Server
		kept.Created = i.Server.Created
		i.Server = &kept
	}
	return true
}

// departure is what an item held that is gone.
type departure struct {
	Item
	deleted bool      // by the platform; it may just be missing from a copy
	until   time.Time // when it is forgotten
}

// depart remembers what an item held that is gone as of another one. l.mu is held.
func (l *Log) depart(now time.Time, was Item, gone Item) {
	d := departure{Item: was, deleted: was.Revision.Era() == gone.Revision.Era()}
	d.Revision = gone.Revision
	switch {
	case was.Server != nil && was.Server.State == Ready:
		d.until = now.Add(absence)
		l.absent[gone.Key] = d
	case was.Server != nil && was.Server.State == Draining:
		d.until = now.Add(leftKept)
		l.left[gone.Key] = d
	}
}

// forget deletes the departures whose time is over, and says whether there were any.
func forget(now time.Time, departures map[string]departure) (ended bool) {
	for key, d := range departures {
		if now.After(d.until) {
			delete(departures, key)
			ended = true
		}
	}
	return ended
}
