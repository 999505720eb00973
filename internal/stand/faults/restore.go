package faults

import (
	"time"

	"mangowinch/internal/flow/order"
)

// In the scenarios in this file, the platform is restored from a backup that lacks the last revisions, and
// assigns their numbers a second time. One second later, the service teams have written the lost changes again.

// restoreTime is how long a scenario waits after the restore, until the lost changes are in force again.
const restoreTime = 6 * time.Second

// platformRestored changes a document twice, restores the platform, and changes the document again.
func platformRestored(r *run) error {
	service := r.largestService()
	for range 2 {
		if err := r.touch(service); err != nil {
			return err
		}
		r.wait(200 * time.Millisecond) // the platform reads each change
	}
	for _, n := range r.fleet.Entries() {
		r.expectRevision(n.Process.Name, service, 3)
	}
	if err := r.post("platform", "/restore?back=2", ""); err != nil {
		return err
	}
	r.wait(restoreTime)
	if err := r.touch(service); err != nil {
		return err
	}
	for _, n := range r.fleet.Entries() {
		r.expectRevision(n.Process.Name, service, order.At(1, 3))
	}
	return nil
}

// platformRestoredDrain sets a server to leaving in its document. Then the platform is restored from a backup in which
// the server is not leaving.
func platformRestoredDrain(r *run) error {
	a := r.randomAgent()
	r.markLeaving(a)
	if err := r.setLeaving(a); err != nil {
		return err
	}
	r.expectRevision(a.Process.Name, a.Agent.Service, 2)
	if err := r.post("platform", "/restore?back=1", ""); err != nil {
		return err
	}
	r.wait(restoreTime)
	r.expectRevision(a.Process.Name, a.Agent.Service, order.At(1, 2))
	return nil
}

// agentReplacedPlatformRestored replaces an agent while the platform serves the documents of a backup.
func agentReplacedPlatformRestored(r *run) error {
	a := r.randomAgent()
	if err := r.touch(a.Agent.Service); err != nil {
		return err
	}
	r.expectRevision(a.Process.Name, a.Agent.Service, 2)
	if err := r.post("platform", "/restore?back=1", ""); err != nil {
		return err
	}
	if err := agentReplaced(r); err != nil {
		return err
	}
	r.expectRevision(a.Process.Name, a.Agent.Service, 2)
	return nil
}
