package faults

import "time"

// successorOverlap is how long the load runs on both processes. It exceeds the longest feed of
// a run. The old process runs longer, until its request keys have expired.
const successorOverlap = 8 * time.Second

// agentSucceeded replaces the process of an agent that has open flows. The successor binds the
// same address, and the old process takes no new flows or requests.
func agentSucceeded(r *run) error {
	name := r.randomAgent().Process.Name
	if _, err := r.fleet.StartSuccessor(r.ctx, name); err != nil {
		return err
	}
	r.fleet.Process(name).Stop()
	r.wait(successorOverlap)
	return nil
}
