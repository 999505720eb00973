package faults

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/stand/fabric"
)

// cutDuration exceeds the idle timeout of callers, so that a flow which is not rerouted
// around the cut does not survive it.
const cutDuration = idleTimeout + time.Second

// Scenario injects one fault or a combination of faults.
type Scenario struct {
	Name   string
	Before func(r *run) error // runs before the load starts, if not nil
	Steps  func(r *run) error
}

// Scenarios returns all scenarios in the order in which they run.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "undisturbed", Steps: func(*run) error { return nil }},
		{Name: "entry-killed", Steps: entryKilled},
		{Name: "entries-killed-in-turn", Steps: entriesKilledInTurn},
		{Name: "entry-joins", Before: entryAbsent, Steps: entryJoins},
		{Name: "entry-frozen", Steps: entryFrozen},
		{Name: "entry-stopped", Steps: entryStopped},
		{Name: "cut-toward-entry", Steps: func(r *run) error { return entryLoss(r, 1, 0) }},
		{Name: "cut-back-from-entry", Steps: func(r *run) error { return entryLoss(r, 0, 1) }},
		{Name: "loss-both-ways", Steps: func(r *run) error { return entryLoss(r, 0.3, 0.3) }},
		{Name: "agent-killed", Steps: agentKilled},
		{Name: "agent-frozen", Steps: agentFrozen},
		{Name: "agent-frozen-past-deadline", Steps: agentFrozenLong},
		{Name: "agent-replaced", Steps: agentReplaced},
		{Name: "agent-succeeded", Steps: agentSucceeded},
		{Name: "server-killed", Steps: serverKilled},
		{Name: "server-dies-after-running", Steps: func(r *run) error { return serverFault(r, "die") }},
		{Name: "server-frozen", Steps: func(r *run) error { return serverFault(r, "freeze") }},
		{Name: "server-slow", Steps: func(r *run) error { return serverFault(r, "slow&factor=10") }},
		{Name: "drain-by-document", Steps: drainByDocument},
		{Name: "drain-by-server", Steps: drainByServer},
		{Name: "drain-by-list", Steps: drainByList},
		{Name: "drain-by-signal", Steps: drainBySignal},
		{Name: "platform-down", Steps: platformDown},
		{Name: "platform-down-entry-restarted", Steps: platformDownRestart},
		{Name: "platform-stale-entry-restarted", Steps: platformStaleRestart},
		{Name: "platform-copy", Steps: platformRestored},
		{Name: "partition", Steps: partition},
		{Name: "two-documents-at-once", Steps: twoDocuments},
		{Name: "document-and-drain-at-once", Steps: documentAndDrain},
		{Name: "two-entries-killed", Steps: twoEntriesKilled},
		{Name: "entry-killed-twice", Steps: entryKilledTwice},
		{Name: "agent-killed-twice", Steps: agentKilledTwice},
		{Name: "entries-all-frozen", Steps: entriesAllFrozen},
		{Name: "domain-lost", Steps: domainLost},
		{Name: "all-replaced", Steps: allReplaced},
		{Name: "first-flight-flood", Steps: flood},
		{Name: "address-moves+entry-frozen", Steps: addressMoves},
		{Name: "entry-killed+server-drains", Steps: entryKilledServerDrains},
		{Name: "entry-frozen+document", Steps: entryFrozenDocument},
		{Name: "agent-killed+platform-down", Steps: agentKilledPlatformDown},
		{Name: "partition+drain", Steps: partitionDrain},
		{Name: "platform-down+drain", Steps: platformDownDrain},
		{Name: "platform-stale+drain", Steps: platformStaleDrain},
		{Name: "platform-copy+drain", Steps: platformRestoredDrain},
		{Name: "agent-killed+drain", Steps: agentKilledDrain},
		{Name: "cut-back+drain", Steps: cutDrain},
		{Name: "entry-joins+drain", Before: entryAbsent, Steps: entryJoinsDrain},
		{Name: "entry-stopped+entry-killed", Steps: entryStoppedEntryKilled},
		{Name: "entry-stopped+entry-joins", Before: entryAbsent, Steps: entryStoppedEntryJoins},
		{Name: "entry-stopped+agent-killed", Steps: concurrently(agentKilled, stopSecondEntry)},
		{Name: "entry-stopped+agent-frozen", Steps: concurrently(agentFrozen, stopSecondEntry)},
		{Name: "entry-stopped+partition", Steps: concurrently(partition, stopSecondEntry)},
		{Name: "entry-stopped+cut-back", Steps: concurrently(cutFirstEntry, stopSecondEntry)},
		{Name: "agent-replaced+platform-down", Steps: agentReplacedPlatformDown},
		{Name: "agent-replaced+platform-stale", Steps: agentReplacedPlatformStale},
		{Name: "agent-replaced+platform-copy", Steps: agentReplacedPlatformRestored},
		{Name: "agent-replaced+documents", Steps: concurrently(agentReplaced, twoDocuments)},
		{Name: "partition+document", Steps: concurrently(partition, twoDocuments)},
		{Name: "cut-back+document", Steps: concurrently(cutFirstEntry, twoDocuments)},
	}
}

func entryKilled(r *run) error {
	e := r.randomEntry()
	r.fleet.Process(e.Process.Name).Kill()
	r.wait(withdrawDelay)
	return r.routeAround(e)
}

func entriesKilledInTurn(r *run) error {
	for _, e := range r.fleet.Entries() {
		r.fleet.Process(e.Process.Name).Kill()
		r.wait(withdrawDelay)
		if err := r.restart(e.Process.Name); err != nil {
			return err
		}
		r.wait(withdrawDelay)
	}
	return nil
}

func entryAbsent(r *run) error {
	e := r.fleet.Entries()[0]
	r.fleet.Process(e.Process.Name).Kill()
	return r.routeAround(e)
}

// entryJoins starts the absent entry, which has missed a revision of a document.
func entryJoins(r *run) error {
	service := r.largestService()
	if err := r.touch(service); err != nil {
		return err
	}
	name := r.fleet.Entries()[0].Process.Name
	if err := r.restart(name); err != nil {
		return err
	}
	r.expectRevision(name, service, 2)
	return r.routeAround()
}

func entryFrozen(r *run) error {
	p := r.fleet.Process(r.randomEntry().Process.Name)
	p.Freeze()
	r.wait(2 * time.Second)
	p.Resume()
	return nil
}

func entryStopped(r *run) error {
	e := r.randomEntry()
	p := r.fleet.Process(e.Process.Name)
	p.Stop()
	r.wait(withdrawDelay)
	if err := r.routeAround(e); err != nil {
		return err
	}
	return awaitStop(r, e.Process.Name, 10*time.Second)
}

// awaitStop waits until a process that was asked to stop has exited. It returns an error if the
// process does not exit in time or exits with an error.
func awaitStop(r *run, name string, within time.Duration) error {
	p := r.fleet.Process(name)
	select {
	case <-p.Ended():
		return errors.Wrapf(p.Status(), "%s", name)
	case <-time.After(within):
		return errors.Newf("%s has not stopped after %s", name, within)
	}
}

func entryLoss(r *run, toward, back float64) error {
	e := r.randomEntry()
	if err := r.setLoss(e, toward, back); err != nil {
		return err
	}
	r.wait(cutDuration)
	return r.setLoss(e, 0, 0)
}

func agentKilled(r *run) error {
	a := r.randomAgent()
	r.markAffected(a)
	r.fleet.Process(a.Process.Name).Kill()
	r.wait(time.Second)
	return r.restart(a.Process.Name)
}

func agentFrozen(r *run) error {
	a := r.randomAgent()
	p := r.fleet.Process(a.Process.Name)
	p.Freeze()
	r.wait(time.Second)
	p.Resume()
	return nil
}

// agentFrozenLong freezes an agent for longer than the deadline of a lookup and the idle
// timeout of callers.
func agentFrozenLong(r *run) error {
	a := r.randomAgent()
	r.markAffected(a)
	p := r.fleet.Process(a.Process.Name)
	p.Freeze()
	r.wait(idleTimeout + time.Second)
	p.Resume()
	return nil
}

// agentReplaced shuts an agent down gracefully and starts it again.
func agentReplaced(r *run) error {
	a := r.randomAgent()
	r.fleet.Process(a.Process.Name).Stop()
	if err := awaitStop(r, a.Process.Name, 20*time.Second); err != nil {
		return err
	}
	return r.restart(a.Process.Name)
}

func serverKilled(r *run) error {
	a := r.randomAgent()
	r.markAffected(a)
	name := a.Process.Name + "-server"
	r.fleet.Process(name).Kill()
	r.wait(time.Second)
	return r.restart(name)
}

func serverFault(r *run, mode string) error {
	a := r.randomAgent()
	r.markAffected(a)
	name := a.Process.Name + "-server"
	if err := r.post(name, "/fault?mode="+mode, ""); err != nil {
		return err
	}
	r.wait(2 * time.Second)
	return r.post(name, "/fault?mode=ok", "")
}

func drainByDocument(r *run) error {
	a := r.randomAgent()
	r.markLeaving(a)
	if err := r.setLeaving(a); err != nil {
		return err
	}
	r.wait(4 * time.Second)
	return nil
}

func drainByServer(r *run) error {
	a := r.randomAgent()
	r.markLeaving(a)
	if err := r.post(a.Process.Name+"-server", "/drain", ""); err != nil {
		return err
	}
	r.wait(4 * time.Second)
	return nil
}

func drainByList(r *run) error {
	a := r.randomAgent()
	r.markLeaving(a)
	if err := r.setInstanceState(a.Process.Name, "leaving"); err != nil {
		return err
	}
	r.wait(4 * time.Second)
	return nil
}

func drainBySignal(r *run) error {
	a := r.randomAgent()
	r.markLeaving(a)
	r.fleet.Process(a.Process.Name).Stop()
	r.wait(4 * time.Second)
	return awaitStop(r, a.Process.Name, 20*time.Second)
}

func platformDown(r *run) error {
	if err := r.post("platform", "/fault?mode=down", ""); err != nil {
		return err
	}
	r.wait(3 * time.Second)
	return r.post("platform", "/fault?mode=ok", "")
}

// platformDownRestart restarts an entry while the platform is down, so that it can receive
// the documents only from its peers.
func platformDownRestart(r *run) error {
	service := r.largestService()
	if err := r.touch(service); err != nil {
		return err
	}
	e := r.randomEntry()
	r.expectRevision(e.Process.Name, service, 2)
	if err := r.post("platform", "/fault?mode=down", ""); err != nil {
		return err
	}
	return restartAndExpect(r, e.Process.Name, service)
}

// platformStaleRestart makes the platform serve an old revision and restarts an entry, which
// must not use an older revision than its peers have.
func platformStaleRestart(r *run) error {
	service := r.largestService()
	if err := r.touch(service); err != nil {
		return err
	}
	for _, n := range r.fleet.Entries() {
		r.expectRevision(n.Process.Name, service, 2)
	}
	if err := r.post("platform", "/fault?mode=stale&back=1", ""); err != nil {
		return err
	}
	return restartAndExpect(r, r.randomEntry().Process.Name, service)
}

func restartAndExpect(r *run, name, service string) error {
	p := r.fleet.Process(name)
	p.Kill()
	if err := p.Start(); err != nil {
		return err
	}
	r.expectRevision(name, service, 2)
	return r.post("platform", "/fault?mode=ok", "")
}

// partition splits callers and entries into two sides. Both sides reach all agents.
func partition(r *run) error {
	if err := r.setPartition(r.partitionSides()...); err != nil {
		return err
	}
	r.wait(cutDuration)
	return r.setPartition()
}

func (r *run) partitionSides() []fabric.Side {
	entries := r.fleet.Entries()
	networks := r.fleet.Service(r.largestService()).Callers
	var one, other fabric.Side
	for i, c := range networks {
		if i%2 == 0 {
			one.Networks = append(one.Networks, c.Networks...)
		} else {
			other.Networks = append(other.Networks, c.Networks...)
		}
	}
	one.Entries = []netip.Addr{entries[0].Entry.Bind}
	for _, e := range entries[1:] {
		other.Entries = append(other.Entries, e.Entry.Bind)
	}
	return []fabric.Side{one, other}
}

// twoDocuments writes two revisions of a document in quick succession. The later one must
// come into force everywhere.
func twoDocuments(r *run) error {
	service := r.largestService()
	if err := r.touch(service); err != nil {
		return err
	}
	r.wait(time.Duration(r.random.Int64N(int64(200 * time.Millisecond))))
	if err := r.touch(service); err != nil {
		return err
	}
	r.wait(200 * time.Millisecond) // the platform has read the document by then
	for _, n := range append(r.fleet.Entries(), r.fleet.Agents(service)...) {
		// The platform may have read both changes as one revision, which is then 2.
		r.expectRevision(n.Process.Name, service, 2)
	}
	return nil
}
