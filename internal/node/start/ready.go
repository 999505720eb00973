package start

import (
	"context"
	"fmt"
	"time"

	"mangowinch/internal/conf/store"
)

// readyEvery is how often a process that is not ready yet looks again.
const readyEvery = 50 * time.Millisecond

// watchReady keeps the condition document until it is met: a process is ready once it
// works by a document and lacks none that it knows of. From then on some document is
// always in force.
func (p *components) watchReady(ctx context.Context, r runner) {
	c := p.admin.Condition("document")
	t := time.NewTicker(readyEvery)
	defer t.Stop()
	for {
		reason := notReadyReason(p.store.View(), r.InForce(), p.missing())
		c.Set(reason == "", reason)
		if reason == "" {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// notReadyReason says why a process is not ready, "" if it is. A document that was fetched
// is not yet one that is worked by: it may name a key or a server that the settings
// do not have. And an entry that has some of its documents would lose the datagrams of
// the other services, for which it has opened no socket.
func notReadyReason(v *store.View, inForce, missing int) string {
	switch {
	case inForce == 0 && len(v.Entries) > 0:
		return "no document can be used here; the log says why"
	case inForce == 0 && len(v.Faults) > 0:
		return "no document is without fault; see section documents of /status"
	case inForce == 0:
		return "no document is in force yet"
	case missing > 0:
		return fmt.Sprintf("%d documents are still to come", missing)
	}
	return ""
}
