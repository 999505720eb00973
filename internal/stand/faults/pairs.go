package faults

import (
	"time"

	"golang.org/x/sync/errgroup"
)

// both runs two faults at once. The victims that each draws come from one source of
// randomness, so the second fault draws none.
func both(one, other func(*run) error) func(*run) error {
	return func(r *run) error {
		var group errgroup.Group
		group.Go(func() error { return one(r) })
		group.Go(func() error {
			r.wait(withdrawAfter / 2)
			return other(r)
		})
		return group.Wait()
	}
}

// cutFirst cuts the way back from the first entry.
func cutFirst(r *run) error {
	e := r.fleet.Entries()[0]
	if err := r.cut(e, 0, 1); err != nil {
		return err
	}
	r.wait(cutFor)
	return r.cut(e, 0, 0)
}

// stopSecond makes the planned stop of the second entry.
func stopSecond(r *run) error {
	e := r.fleet.Entries()[1]
	r.fleet.Process(e.Process.Name).Stop()
	r.wait(withdrawAfter)
	if err := r.spray(e); err != nil {
		return err
	}
	return ends(r, e.Process.Name, 10*time.Second)
}

func entryStoppedEntryJoins(r *run) error {
	if err := entryJoins(r); err != nil {
		return err
	}
	return stopSecond(r)
}

// agentReplacedPlatformDown replaces an agent as planned while its successor has
// only peers to learn the document from.
func agentReplacedPlatformDown(r *run) error {
	if err := r.post("platform", "/fault?mode=down", ""); err != nil {
		return err
	}
	if err := agentReplaced(r); err != nil {
		return err
	}
	return r.post("platform", "/fault?mode=ok", "")
}

// agentReplacedPlatformStale replaces an agent as planned while the platform serves
// the revision before the one in force.
func agentReplacedPlatformStale(r *run) error {
	a := r.agent()
	if err := r.touch(a.Agent.Service); err != nil {
		return err
	}
	r.expectRevision(a.Process.Name, a.Agent.Service, 2)
	if err := r.post("platform", "/fault?mode=stale&back=1", ""); err != nil {
		return err
	}
	r.fleet.Process(a.Process.Name).Stop()
	if err := ends(r, a.Process.Name, 20*time.Second); err != nil {
		return err
	}
	if err := r.restart(a.Process.Name); err != nil {
		return err
	}
	r.expectRevision(a.Process.Name, a.Agent.Service, 2)
	return r.post("platform", "/fault?mode=ok", "")
}

func documentAndDrain(r *run) error {
	one, other := r.agent(), r.agent()
	r.leaves(one)
	r.leaves(other)
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
	a := r.agent()
	r.leaves(a)
	if err := r.post(a.Process.Name+"-server", "/drain", ""); err != nil {
		return err
	}
	if err := entryKilled(r); err != nil {
		return err
	}
	r.wait(3 * time.Second)
	return nil
}

// entryFrozenDocument freezes an entry, makes a server leave by document
// meanwhile, and wakes the entry with its old knowledge.
func entryFrozenDocument(r *run) error {
	a, p := r.agent(), r.fleet.Process(r.entry().Process.Name)
	p.Freeze()
	r.leaves(a)
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
	a := r.agent()
	r.hits(a)
	p := r.fleet.Process(a.Process.Name)
	p.Kill()
	if err := p.Start(); err != nil {
		return err
	}
	r.expectRevision(a.Process.Name, a.Agent.Service, 1)
	return r.post("platform", "/fault?mode=ok", "")
}

// partitionDrain drains a server while the callers are parted.
func partitionDrain(r *run) error {
	if err := r.part(r.sides()...); err != nil {
		return err
	}
	if err := drainByDocument(r); err != nil {
		return err
	}
	return r.part()
}

// platformDownDrain drains a server by its own word while the platform is down.
func platformDownDrain(r *run) error {
	if err := r.post("platform", "/fault?mode=down", ""); err != nil {
		return err
	}
	if err := drainByServer(r); err != nil {
		return err
	}
	return r.post("platform", "/fault?mode=ok", "")
}

// platformStaleDrain makes a server leave by document; then the platform serves the
// revision before again, in which the server was to stay.
func platformStaleDrain(r *run) error {
	a := r.agent()
	r.leaves(a)
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

// agentKilledDrain makes a server leave by document and replaces its agent without
// warning: the successor must not take new work either.
func agentKilledDrain(r *run) error {
	a := r.agent()
	r.leaves(a)
	r.hits(a)
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

// cutDrain drains a server while the way back from an entry is cut.
func cutDrain(r *run) error {
	e := r.entry()
	if err := r.cut(e, 0, 1); err != nil {
		return err
	}
	if err := drainByServer(r); err != nil {
		return err
	}
	return r.cut(e, 0, 0)
}

func entryJoinsDrain(r *run) error {
	a := r.agent()
	r.leaves(a)
	if err := r.post(a.Process.Name+"-server", "/drain", ""); err != nil {
		return err
	}
	if err := entryJoins(r); err != nil {
		return err
	}
	r.wait(4 * time.Second)
	return nil
}

// entryStoppedEntryKilled kills an entry while another makes its planned stop.
func entryStoppedEntryKilled(r *run) error {
	entries := r.fleet.Entries()
	stopped, killed := entries[0], entries[1]
	r.fleet.Process(stopped.Process.Name).Stop()
	r.wait(time.Duration(r.random.Int64N(int64(withdrawAfter))))
	r.fleet.Process(killed.Process.Name).Kill()
	r.wait(withdrawAfter)
	if err := r.spray(stopped, killed); err != nil {
		return err
	}
	return ends(r, stopped.Process.Name, 10*time.Second)
}
