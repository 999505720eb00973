package faults

import (
	"time"

	"mangowinch/internal/flow/order"
)

// The platform comes back from a copy of some versions ago, and numbers are given out a second time; a second later the teams have written
// again what it lost.

// returnFor is how long a run goes on after the platform's return, until all that was lost is in force again.
const returnFor = 6 * time.Second

// platformCopy changes a document, and once more after the platform's return.
func platformCopy(r *run) error {
	service := r.largest()
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
	r.wait(returnFor)
	if err := r.touch(service); err != nil {
		return err
	}
	for _, n := range r.fleet.Entries() {
		r.expectRevision(n.Process.Name, service, order.At(1, 3))
	}
	return nil
}

// platformCopyDrain makes a server leave by document; then the platform comes back from a copy in which the server stays.
func platformCopyDrain(r *run) error {
	a := r.agent()
	r.leaves(a)
	if err := r.setLeaving(a); err != nil {
		return err
	}
	r.expectRevision(a.Process.Name, a.Agent.Service, 2)
	if err := r.post("platform", "/restore?back=1", ""); err != nil {
		return err
	}
	r.wait(returnFor)
	r.expectRevision(a.Process.Name, a.Agent.Service, order.At(1, 2))
	return nil
}

// agentReplacedPlatformCopy replaces an agent as planned while the platform has a copy's documents.
func agentReplacedPlatformCopy(r *run) error {
	a := r.agent()
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
