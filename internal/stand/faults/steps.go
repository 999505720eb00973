package faults

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/prefs"
	"mangowinch/internal/flow/order"
	"mangowinch/internal/stand/check"
	"mangowinch/internal/stand/fabric"
)

const (
	withdrawDelay  = time.Second     // time until the fabric stops using an entry that is unavailable
	inForceTimeout = 7 * time.Second // from a change of a document to its being in force everywhere
)

// randomEntry returns a random entry.
func (r *run) randomEntry() *prefs.Settings {
	entries := r.fleet.Entries()
	return entries[r.random.IntN(len(entries))]
}

// randomAgent returns a random agent of the largest service.
func (r *run) randomAgent() *prefs.Settings {
	agents := r.fleet.Agents(r.largestService())
	return agents[r.random.IntN(len(agents))]
}

func (r *run) largestService() string {
	largest := r.fleet.Services[0]
	for _, s := range r.fleet.Services {
		if len(s.Servers) > len(largest.Servers) {
			largest = s
		}
	}
	return largest.Name
}

// markAffected records that the fault may interrupt flows and requests at an agent's server.
func (r *run) markAffected(agent *prefs.Settings) {
	r.affected[agent.Agent.Service+"/"+agent.Agent.Server] = true
}

// markLeaving records that an agent's server is told to leave now.
func (r *run) markLeaving(agent *prefs.Settings) {
	r.leaving = append(r.leaving, check.Leave{Service: agent.Agent.Service, Server: agent.Agent.Server, At: time.Now()})
}

// post sends a command to a stand-in, such as a fault to inject.
func (r *run) post(process, path, text string) error {
	return r.fleet.Post(r.ctx, process, path, text)
}

// routeAround makes the fabric send to all entries except the given ones.
func (r *run) routeAround(without ...*prefs.Settings) error {
	var addresses []string
	for _, e := range r.fleet.Entries() {
		excluded := false
		for _, w := range without {
			excluded = excluded || w == e
		}
		if !excluded {
			addresses = append(addresses, e.Entry.Bind.String())
		}
	}
	return r.post("fabric", "/entries?set="+strings.Join(addresses, ","), "")
}

// setLoss sets the rates of packet loss toward an entry and back from it, from 0 to 1.
func (r *run) setLoss(e *prefs.Settings, toward, back float64) error {
	return r.post("fabric", fmt.Sprintf("/fault?entry=%s&toward=%g&back=%g", e.Entry.Bind, toward, back), "")
}

// setPartition makes each side's caller networks reach only that side's entries. Without
// sides, it ends the partition.
func (r *run) setPartition(sides ...fabric.Side) error {
	if sides == nil {
		sides = []fabric.Side{}
	}
	text, err := json.Marshal(sides)
	if err != nil {
		return err
	}
	return r.post("fabric", "/partition", string(text))
}

// restart starts a process that has ended and waits until it is ready.
func (r *run) restart(name string) error {
	if err := r.fleet.Process(name).Start(); err != nil {
		return err
	}
	return r.fleet.AwaitReady(r.ctx, name)
}

// edit changes a file that the platform serves, atomically for its readers.
func (r *run) edit(file string, change func(text string) string) (err error) {
	defer func() { err = errors.Wrapf(err, "edit %s", file) }()
	path := filepath.Join(r.fleet.DocumentsDirectory(), file)
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	next := path + ".next"
	if err := os.WriteFile(next, []byte(change(string(text))), 0o600); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// setLeaving sets the state of an agent's server to leaving in the service document.
func (r *run) setLeaving(agent *prefs.Settings) error {
	section := "[server " + agent.Agent.Server + "]\n"
	return r.edit(agent.Agent.Service+".ini", func(text string) string {
		return strings.Replace(text, section, section+"state = leaving\n", 1)
	})
}

// touch writes a new revision of a document without other changes.
func (r *run) touch(service string) error {
	return r.edit(service+".ini", func(text string) string { return text + "\n; touched\n" })
}

// setInstanceState sets the state of a live instance in the platform's instance list.
func (r *run) setInstanceState(name, state string) error {
	return r.edit("instances.json", func(text string) string {
		lines := strings.Split(text, "\n")
		for i, line := range lines {
			if strings.Contains(line, `"name": "`+name+`"`) {
				lines[i] = strings.Replace(line, `"live"`, `"`+state+`"`, 1)
			}
		}
		return strings.Join(lines, "\n")
	})
}

// expectRevision waits until a process has the given revision of a document, or a later one,
// in force. It adds a violation if that takes longer than inForceTimeout.
func (r *run) expectRevision(process, service string, least order.Revision) {
	var got order.Revision
	var err error
	for end := time.Now().Add(inForceTimeout); time.Now().Before(end); r.wait(20 * time.Millisecond) {
		if got, err = r.fleet.Revision(r.ctx, process, service); err == nil && got >= least {
			return
		}
	}
	r.extraViolations = append(r.extraViolations, check.Violation{Rule: check.Reverted, Token: process,
		Detail: fmt.Sprintf("has revision %s of %s instead of %s after %s (%v)", got, service, least, inForceTimeout, err)})
}
