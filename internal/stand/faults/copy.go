package faults

import (
	"time"

	"mangowinch/internal/flow/order"
)

// The platform comes back from a copy of some versions ago, and numbers are given out a second time; a second later the teams have written
// again what it lost.

// restoreTime is how long a run goes on after the platform's return, until all that was lost is in force again.
const restoreTime = 6 * time.Second

// platformRestored changes a document, and once more after the platform's return.
func platformRestored(r *run) error {
	service := r.largestService()
	for range 2 {
		if err := r.touch(service); err != nil {
			return err
		}
		r.wait(200 * time.Millisecond) // the platform sees each change
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

// platformRestoredDrain makes a server leave by document; then the platform comes back from a copy in which the server stays.
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

// agentReplacedPlatformRestored replaces an agent as planned while the platform has a copy's documents.
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
