package start

import (
	"context"
	"fmt"
	"time"

	"mangowinch/internal/conf/store"
)

// readyEvery is how often a process that is not ready checks its readiness.
const readyEvery = 50 * time.Millisecond

// watchReady updates the readiness condition for documents until it is met: a process is ready once it has
// a document in force and lacks none that it knows of. From then on some document is always in force.
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

// notReadyReason returns why a process is not ready, or "" if it is. A fetched document need not be in
// force: it may name a key or a server that the settings lack. An entry that has only some of its documents
// is not ready either, because it has no sockets for the other services and their datagrams would be lost.
func notReadyReason(v *store.View, inForce, missing int) string {
	switch {
	case inForce == 0 && len(v.Documents) > 0:
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
