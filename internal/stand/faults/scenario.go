package faults

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/stand/fabric"
)

// cutFor is longer than a caller's idle timeout, so that a flow which does not find
// its way round the cut does not live through it.
const cutFor = idleTimeout + time.Second

// Scenario is one fault, or several together.
type Scenario struct {
	Name   string
	Before func(r *run) error // before there is load
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
		{Name: "cut-toward-entry", Steps: func(r *run) error { return oneWay(r, 1, 0) }},
		{Name: "cut-back-from-entry", Steps: func(r *run) error { return oneWay(r, 0, 1) }},
		{Name: "loss-both-ways", Steps: func(r *run) error { return oneWay(r, 0.3, 0.3) }},
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
		{Name: "platform-copy", Steps: platformCopy},
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
		{Name: "platform-copy+drain", Steps: platformCopyDrain},
		{Name: "agent-killed+drain", Steps: agentKilledDrain},
		{Name: "cut-back+drain", Steps: cutDrain},
		{Name: "entry-joins+drain", Before: entryAbsent, Steps: entryJoinsDrain},
		{Name: "entry-stopped+entry-killed", Steps: entryStoppedEntryKilled},
		{Name: "entry-stopped+entry-joins", Before: entryAbsent, Steps: entryStoppedEntryJoins},
		{Name: "entry-stopped+agent-killed", Steps: both(agentKilled, stopSecond)},
		{Name: "entry-stopped+agent-frozen", Steps: both(agentFrozen, stopSecond)},
		{Name: "entry-stopped+partition", Steps: both(partition, stopSecond)},
		{Name: "entry-stopped+cut-back", Steps: both(cutFirst, stopSecond)},
		{Name: "agent-replaced+platform-down", Steps: agentReplacedPlatformDown},
		{Name: "agent-replaced+platform-stale", Steps: agentReplacedPlatformStale},
		{Name: "agent-replaced+platform-copy", Steps: agentReplacedPlatformCopy},
		{Name: "agent-replaced+documents", Steps: both(agentReplaced, twoDocuments)},
		{Name: "partition+document", Steps: both(partition, twoDocuments)},
		{Name: "cut-back+document", Steps: both(cutFirst, twoDocuments)},
	}
}

func entryKilled(r *run) error {
	e := r.entry()
	r.fleet.Process(e.Process.Name).Kill()
	r.wait(withdrawAfter)
	return r.spray(e)
}

func entriesKilledInTurn(r *run) error {
	for _, e := range r.fleet.Entries() {
		r.fleet.Process(e.Process.Name).Kill()
		r.wait(withdrawAfter)
		if err := r.restart(e.Process.Name); err != nil {
			return err
		}
		r.wait(withdrawAfter)
	}
	return nil
}

func entryAbsent(r *run) error {
	e := r.fleet.Entries()[0]
	r.fleet.Process(e.Process.Name).Kill()
	return r.spray(e)
}

// entryJoins starts the entry that was absent, which has missed a document.
func entryJoins(r *run) error {
	service := r.largest()
	if err := r.touch(service); err != nil {
		return err
	}
	name := r.fleet.Entries()[0].Process.Name
	if err := r.restart(name); err != nil {
		return err
	}
	r.expectRevision(name, service, 2)
	return r.spray()
}

func entryFrozen(r *run) error {
	p := r.fleet.Process(r.entry().Process.Name)
	p.Freeze()
	r.wait(2 * time.Second)
	p.Resume()
	return nil
}

func entryStopped(r *run) error {
	e := r.entry()
	p := r.fleet.Process(e.Process.Name)
	p.Stop()
	r.wait(withdrawAfter)
	if err := r.spray(e); err != nil {
		return err
	}
	return ends(r, e.Process.Name, 10*time.Second)
}

// ends returns an error if a process that was asked to stop does not end well.
func ends(r *run, name string, within time.Duration) error {
	p := r.fleet.Process(name)
	select {
	case <-p.Ended():
		return errors.Wrapf(p.Status(), "%s", name)
	case <-time.After(within):
		return errors.Newf("%s has not stopped after %s", name, within)
	}
}

func oneWay(r *run, toward, back float64) error {
	e := r.entry()
	if err := r.cut(e, toward, back); err != nil {
		return err
	}
	r.wait(cutFor)
	return r.cut(e, 0, 0)
}

func agentKilled(r *run) error {
	a := r.agent()
	r.hits(a)
	r.fleet.Process(a.Process.Name).Kill()
	r.wait(time.Second)
	return r.restart(a.Process.Name)
}

func agentFrozen(r *run) error {
	a := r.agent()
	p := r.fleet.Process(a.Process.Name)
	p.Freeze()
	r.wait(time.Second)
	p.Resume()
	return nil
}

// agentFrozenLong freezes an agent for longer than a lookup's deadline and the
// idle timeout of its callers.
func agentFrozenLong(r *run) error {
	a := r.agent()
	r.hits(a)
	p := r.fleet.Process(a.Process.Name)
	p.Freeze()
	r.wait(idleTimeout + time.Second)
	p.Resume()
	return nil
}

// agentReplaced stops an agent as planned and starts its successor.
func agentReplaced(r *run) error {
	a := r.agent()
	r.fleet.Process(a.Process.Name).Stop()
	if err := ends(r, a.Process.Name, 20*time.Second); err != nil {
		return err
	}
	return r.restart(a.Process.Name)
}

func serverKilled(r *run) error {
	a := r.agent()
	r.hits(a)
	name := a.Process.Name + "-server"
	r.fleet.Process(name).Kill()
	r.wait(time.Second)
	return r.restart(name)
}

func serverFault(r *run, mode string) error {
	a := r.agent()
	r.hits(a)
	name := a.Process.Name + "-server"
	if err := r.post(name, "/fault?mode="+mode, ""); err != nil {
		return err
	}
	r.wait(2 * time.Second)
	return r.post(name, "/fault?mode=ok", "")
}

func drainByDocument(r *run) error {
	a := r.agent()
	r.leaves(a)
	if err := r.setLeaving(a); err != nil {
		return err
	}
	r.wait(4 * time.Second)
	return nil
}

func drainByServer(r *run) error {
	a := r.agent()
	r.leaves(a)
	if err := r.post(a.Process.Name+"-server", "/drain", ""); err != nil {
		return err
	}
	r.wait(4 * time.Second)
	return nil
}

func drainByList(r *run) error {
	a := r.agent()
	r.leaves(a)
	if err := r.setListed(a.Process.Name, "leaving"); err != nil {
		return err
	}
	r.wait(4 * time.Second)
	return nil
}

func drainBySignal(r *run) error {
	a := r.agent()
	r.leaves(a)
	r.fleet.Process(a.Process.Name).Stop()
	r.wait(4 * time.Second)
	return ends(r, a.Process.Name, 20*time.Second)
}

func platformDown(r *run) error {
	if err := r.post("platform", "/fault?mode=down", ""); err != nil {
		return err
	}
	r.wait(3 * time.Second)
	return r.post("platform", "/fault?mode=ok", "")
}

// platformDownRestart restarts an entry while the platform is down: it has only
// its peers to learn the documents from.
func platformDownRestart(r *run) error {
	service := r.largest()
	if err := r.touch(service); err != nil {
		return err
	}
	e := r.entry()
	r.expectRevision(e.Process.Name, service, 2)
	if err := r.post("platform", "/fault?mode=down", ""); err != nil {
		return err
	}
	return restartAndExpect(r, e.Process.Name, service)
}

// platformStaleRestart lets the platform fall back to an old revision and restarts
// an entry: it must not go back behind what its peers have.
func platformStaleRestart(r *run) error {
	service := r.largest()
	if err := r.touch(service); err != nil {
		return err
	}
	for _, n := range r.fleet.Entries() {
		r.expectRevision(n.Process.Name, service, 2)
	}
	if err := r.post("platform", "/fault?mode=stale&back=1", ""); err != nil {
		return err
	}
	return restartAndExpect(r, r.entry().Process.Name, service)
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

// partition parts callers and entries in two; agents are reached from both sides.
func partition(r *run) error {
	if err := r.part(r.sides()...); err != nil {
		return err
	}
	r.wait(cutFor)
	return r.part()
}

func (r *run) sides() []fabric.Side {
	entries := r.fleet.Entries()
	networks := r.fleet.Service(r.largest()).Callers
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

// twoDocuments makes two revisions in quick succession; the second must win everywhere.
func twoDocuments(r *run) error {
	service := r.largest()
	if err := r.touch(service); err != nil {
		return err
	}
	r.wait(time.Duration(r.random.Int64N(int64(200 * time.Millisecond))))
	if err := r.touch(service); err != nil {
		return err
	}
	r.wait(200 * time.Millisecond) // the platform has read it by now
	for _, n := range append(r.fleet.Entries(), r.fleet.Agents(service)...) {
		// Both may have come to the platform as one revision.
		r.expectRevision(n.Process.Name, service, 2)
	}
	return nil
}
