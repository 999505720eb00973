package faults

import "time"

// succeedTime is how long the load goes on with both processes: over the longest
// feed of a run. The old process stays longer, until its request keys have lapsed.
const succeedTime = 8 * time.Second

// agentSucceeded replaces an agent's process under its open flows: the successor opens
// the same address beside it, and the old process takes nothing new.
func agentSucceeded(r *run) error {
	name := r.agent().Process.Name
	if _, err := r.fleet.StartSuccessor(r.ctx, name); err != nil {
		return err
	}
	r.fleet.Process(name).Stop()
	r.wait(succeedTime)
	return nil
}
