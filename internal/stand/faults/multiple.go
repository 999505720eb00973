package faults

import (
	"time"

	"golang.org/x/sync/errgroup"
)

// The scenarios in this file affect several processes at once, or one process twice.

func twoEntriesKilled(r *run) error {
	entries := r.fleet.Entries()
	for _, e := range entries[:2] {
		r.fleet.Process(e.Process.Name).Kill()
	}
	r.wait(withdrawDelay)
	return r.routeAround(entries[0], entries[1])
}

func entryKilledTwice(r *run) error {
	name := r.randomEntry().Process.Name
	for range 2 {
		r.fleet.Process(name).Kill()
		if err := r.restart(name); err != nil {
			return err
		}
	}
	return nil
}

func agentKilledTwice(r *run) error {
	a := r.randomAgent()
	r.markAffected(a)
	for range 2 {
		r.fleet.Process(a.Process.Name).Kill()
		if err := r.restart(a.Process.Name); err != nil {
			return err
		}
	}
	return nil
}

func entriesAllFrozen(r *run) error {
	for _, e := range r.fleet.Entries() {
		r.fleet.Process(e.Process.Name).Freeze()
	}
	r.wait(time.Second)
	for _, e := range r.fleet.Entries() {
		r.fleet.Process(e.Process.Name).Resume()
	}
	return nil
}

// domainLost kills all processes of one failure domain and starts them again.
func domainLost(r *run) error {
	domain := r.randomEntry().Process.Domain
	var names []string
	for _, n := range r.fleet.Nodes {
		if n.Process.Domain != domain {
			continue
		}
		names = append(names, n.Process.Name)
		if n.Agent != nil {
			r.markAffected(n)
			names = append(names, n.Process.Name+"-server")
		}
	}
	for _, name := range names {
		r.fleet.Process(name).Kill()
	}
	r.wait(3 * time.Second)
	for _, name := range names {
		if err := r.fleet.Process(name).Start(); err != nil {
			return err
		}
	}
	return r.fleet.AwaitReady(r.ctx, names...)
}

// allReplaced restarts all entries in turn and, concurrently, three agents in turn.
func allReplaced(r *run) error {
	var group errgroup.Group
	group.Go(func() error {
		for _, e := range r.fleet.Entries() {
			if err := replaceEntry(r, e.Process.Name); err != nil {
				return err
			}
		}
		return nil
	})
	for _, a := range r.fleet.Agents(r.largestService())[:3] {
		name := a.Process.Name
		r.fleet.Process(name).Stop()
		if err := awaitStop(r, name, 20*time.Second); err != nil {
			return err
		}
		if err := r.restart(name); err != nil {
			return err
		}
	}
	return group.Wait()
}

// replaceEntry shuts an entry down gracefully and restarts it. The fabric stops using the
// entry a second after the shutdown begins.
func replaceEntry(r *run, name string) error {
	r.fleet.Process(name).Stop()
	r.wait(withdrawDelay)
	for _, e := range r.fleet.Entries() {
		if e.Process.Name != name {
			continue
		}
		if err := r.routeAround(e); err != nil {
			return err
		}
	}
	if err := awaitStop(r, name, 10*time.Second); err != nil {
		return err
	}
	if err := r.restart(name); err != nil {
		return err
	}
	return r.routeAround()
}
