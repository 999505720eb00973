package faults

import (
	"time"

	"golang.org/x/sync/errgroup"
)

// concurrently runs two faults, the second of which starts half of withdrawDelay later. Both
// share one random source, so the second must not choose the affected process at random.
func concurrently(one, other func(*run) error) func(*run) error {
	return func(r *run) error {
		var group errgroup.Group
		group.Go(func() error { return one(r) })
		group.Go(func() error {
			r.wait(withdrawDelay / 2)
			return other(r)
		})
		return group.Wait()
	}
}

// cutFirstEntry drops all packets from the first entry back to callers.
func cutFirstEntry(r *run) error {
	e := r.fleet.Entries()[0]
	if err := r.setLoss(e, 0, 1); err != nil {
		return err
	}
	r.wait(cutDuration)
	return r.setLoss(e, 0, 0)
}

// stopSecondEntry shuts the second entry down gracefully.
func stopSecondEntry(r *run) error {
	e := r.fleet.Entries()[1]
	r.fleet.Process(e.Process.Name).Stop()
	r.wait(withdrawDelay)
	if err := r.routeAround(e); err != nil {
		return err
	}
	return awaitStop(r, e.Process.Name, 10*time.Second)
}

func entryStoppedEntryJoins(r *run) error {
	if err := entryJoins(r); err != nil {
		return err
	}
	return stopSecondEntry(r)
}

// agentReplacedPlatformDown replaces an agent while the platform is down, so that the new
// process can receive the document only from its peers.
func agentReplacedPlatformDown(r *run) error {
	if err := r.post("platform", "/fault?mode=down", ""); err != nil {
		return err
	}
	if err := agentReplaced(r); err != nil {
		return err
	}
	return r.post("platform", "/fault?mode=ok", "")
}

// agentReplacedPlatformStale replaces an agent while the platform serves the revision before
// the one in force.
func agentReplacedPlatformStale(r *run) error {
	a := r.randomAgent()
	if err := r.touch(a.Agent.Service); err != nil {
		return err
	}
	r.expectRevision(a.Process.Name, a.Agent.Service, 2)
	if err := r.post("platform", "/fault?mode=stale&back=1", ""); err != nil {
		return err
	}
	r.fleet.Process(a.Process.Name).Stop()
	if err := awaitStop(r, a.Process.Name, 20*time.Second); err != nil {
		return err
	}
	if err := r.restart(a.Process.Name); err != nil {
		return err
	}
	r.expectRevision(a.Process.Name, a.Agent.Service, 2)
	return r.post("platform", "/fault?mode=ok", "")
}

func documentAndDrain(r *run) error {
	one, other := r.randomAgent(), r.randomAgent()
	r.markLeaving(one)
	r.markLeaving(other)
	if err := r.setLeaving(one); err != nil {
		return err
	}
	if err := r.post(other.Process.Name+"-server", "/drain", ""); err != nil {
		return err
	}
	r.wait(4 * time.Second)
	return nil
}

func entryKilledServerDrains(r *run) error {
	a := r.randomAgent()
	r.markLeaving(a)
	if err := r.post(a.Process.Name+"-server", "/drain", ""); err != nil {
		return err
	}
	if err := entryKilled(r); err != nil {
		return err
	}
	r.wait(3 * time.Second)
	return nil
}

// entryFrozenDocument freezes an entry and sets a server to leaving in its document. The entry
// resumes with the old document.
func entryFrozenDocument(r *run) error {
	a, p := r.randomAgent(), r.fleet.Process(r.randomEntry().Process.Name)
	p.Freeze()
	r.markLeaving(a)
	if err := r.setLeaving(a); err != nil {
		return err
	}
	r.wait(3 * time.Second)
	p.Resume()
	r.expectRevision(p.Name, a.Agent.Service, 2)
	r.wait(time.Second)
	return nil
}

func agentKilledPlatformDown(r *run) error {
	if err := r.post("platform", "/fault?mode=down", ""); err != nil {
		return err
	}
	a := r.randomAgent()
	r.markAffected(a)
	p := r.fleet.Process(a.Process.Name)
	p.Kill()
	if err := p.Start(); err != nil {
		return err
	}
	r.expectRevision(a.Process.Name, a.Agent.Service, 1)
	return r.post("platform", "/fault?mode=ok", "")
}

// partitionDrain drains a server while the callers are partitioned.
func partitionDrain(r *run) error {
	if err := r.setPartition(r.partitionSides()...); err != nil {
		return err
	}
	if err := drainByDocument(r); err != nil {
		return err
	}
	return r.setPartition()
}

// platformDownDrain drains a server at its own request while the platform is down.
func platformDownDrain(r *run) error {
	if err := r.post("platform", "/fault?mode=down", ""); err != nil {
		return err
	}
	if err := drainByServer(r); err != nil {
		return err
	}
	return r.post("platform", "/fault?mode=ok", "")
}

// platformStaleDrain sets a server to leaving in its document. Then the platform serves the
// previous revision, in which the server is not leaving.
func platformStaleDrain(r *run) error {
	a := r.randomAgent()
	r.markLeaving(a)
	if err := r.setLeaving(a); err != nil {
		return err
	}
	r.expectRevision(a.Process.Name, a.Agent.Service, 2)
	if err := r.post("platform", "/fault?mode=stale&back=1", ""); err != nil {
		return err
	}
	r.wait(4 * time.Second)
	r.expectRevision(a.Process.Name, a.Agent.Service, 2)
	return r.post("platform", "/fault?mode=ok", "")
}

// agentKilledDrain sets a server to leaving in its document, then kills and restarts its agent.
// The new process must not take new work either.
func agentKilledDrain(r *run) error {
	a := r.randomAgent()
	r.markLeaving(a)
	r.markAffected(a)
	if err := r.setLeaving(a); err != nil {
		return err
	}
	r.expectRevision(a.Process.Name, a.Agent.Service, 2)
	r.fleet.Process(a.Process.Name).Kill()
	if err := r.restart(a.Process.Name); err != nil {
		return err
	}
	r.wait(4 * time.Second)
	return nil
}

// cutDrain drains a server while all packets from an entry back to callers are dropped.
func cutDrain(r *run) error {
	e := r.randomEntry()
	if err := r.setLoss(e, 0, 1); err != nil {
		return err
	}
	if err := drainByServer(r); err != nil {
		return err
	}
	return r.setLoss(e, 0, 0)
}

func entryJoinsDrain(r *run) error {
	a := r.randomAgent()
	r.markLeaving(a)
	if err := r.post(a.Process.Name+"-server", "/drain", ""); err != nil {
		return err
	}
	if err := entryJoins(r); err != nil {
		return err
	}
	r.wait(4 * time.Second)
	return nil
}

// entryStoppedEntryKilled kills an entry while another shuts down gracefully.
func entryStoppedEntryKilled(r *run) error {
	entries := r.fleet.Entries()
	stopped, killed := entries[0], entries[1]
	r.fleet.Process(stopped.Process.Name).Stop()
	r.wait(time.Duration(r.random.Int64N(int64(withdrawDelay))))
	r.fleet.Process(killed.Process.Name).Kill()
	r.wait(withdrawDelay)
	if err := r.routeAround(stopped, killed); err != nil {
		return err
	}
	return awaitStop(r, stopped.Process.Name, 10*time.Second)
}
