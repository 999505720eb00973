package agent_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/stand/check"
	"mangowinch/internal/stand/client"
	"mangowinch/internal/stand/fleet"
	"mangowinch/internal/stand/server"
	"mangowinch/internal/work/result"
)

const service = "tracing-core"

// deployment is the example deployment, run as separate processes, with callers.
type deployment struct {
	*fleet.Fleet
	t *testing.T
}

func start(t *testing.T) deployment {
	t.Helper()
	binaries := t.TempDir()
	text, err := exec.Command("go", "build", "-o", binaries, "mangowinch/cmd/mangowinch", "mangowinch/cmd/standin").CombinedOutput()
	assert.NilError(t, err, string(text))
	f, err := fleet.Start(t.Context(), fleet.Settings{Deployment: "../../../examples/zagreb", Binaries: binaries})
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	return deployment{f, t}
}

// connect opens a connection to whichever agent accepts it.
func (z deployment) connect() *client.Caller {
	s := z.Service(service)
	local := s.Callers[0].Networks[0].Addr().Next()
	c, err := client.Dial(z.t.Context(), client.Settings{Local: local, Service: s.Address, Name: s.Name, Roots: z.Roots})
	assert.NilError(z.t, err)
	z.t.Cleanup(c.Close)
	return c
}

// requestKey requests a key from the agent of a connection.
func (z deployment) requestKey(c *client.Caller) string {
	k := c.Do(z.t.Context(), client.Request{Method: "GET", Path: "/.well-known/request-key"}).Key
	assert.Assert(z.t, k != "")
	return k
}

func (z deployment) sendClaim(c *client.Caller, name, key string) client.Answer {
	return c.Do(z.t.Context(), client.Request{
		Method: "POST", Path: "/lookup/" + name + "?time=100ms", Body: strings.NewReader("claim"), Key: key,
	})
}

// answerTo returns a server's answer to a claim.
func answerTo(name string) string { return "/lookup/" + name + "?time=100ms claim\n" }

// agentsThatRan returns the agents whose servers ran a claim, one per run.
func (z deployment) agentsThatRan(name string) (agents []string) {
	executions, err := z.Executions()
	assert.NilError(z.t, err)
	for _, e := range executions {
		if e.Token != name {
			continue
		}
		for _, n := range z.Agents(service) {
			if n.Agent.Server == e.Server {
				agents = append(agents, n.Process.Name)
			}
		}
	}
	return agents
}

// Guards against requests that wait or fail at a full server while others are idle. A
// fund sends 20 claims at once on one connection, whose agent has 4 slots; the other six
// servers are idle. All claims must run, at several servers, each once.
func TestFullServersWorkGoesToIdleOnes(t *testing.T) {
	z := start(t)
	c := z.connect()
	var all sync.WaitGroup
	var attempts [20]check.Attempt
	for i := range attempts {
		all.Go(func() {
			name := fmt.Sprintf("burst%d", i)
			a := z.sendClaim(c, name, "")
			attempts[i] = check.Attempt{
				Token: name, Service: service, AtMostOnce: true, MustComplete: true, Outcome: a.Outcome, Reason: a.Reason,
				Want: answerTo(name), Got: a.Body,
			}
		})
	}
	all.Wait()
	executions, err := z.Executions()
	assert.NilError(t, err)
	executions = slices.DeleteFunc(executions, func(e check.Execution) bool { return !strings.HasPrefix(e.Token, "burst") })
	violations := check.Check(check.Run{Attempts: attempts[:], Executions: executions})
	assert.Assert(t, len(violations) == 0, "%v", violations)
	servers := map[string]bool{}
	for _, e := range executions {
		servers[e.Server] = true
	}
	assert.Assert(t, len(servers) > 1, "%v", servers)
}

// Guards against cancellations that do not reach handed-over requests. A caller sends 12
// claims on one connection and disconnects. Most of the claims run at other agents'
// servers; all servers must stop working on them at once instead of at their deadline.
func TestHangingUpReachesOtherServers(t *testing.T) {
	z := start(t)
	c := z.connect()
	ctx, cancel := context.WithCancel(t.Context())
	var all sync.WaitGroup
	for i := range 12 {
		all.Go(func() {
			c.Do(ctx, client.Request{Method: "POST", Path: fmt.Sprintf("/lookup/gone%d?time=1m", i), Body: strings.NewReader("claim")})
		})
	}
	z.await(t, func(ends map[string]int) bool { return ends["open"] > slots })
	cancel()
	all.Wait()
	z.await(t, func(ends map[string]int) bool { return ends["open"] == 0 })
	ends := z.countEnds(t)
	assert.Equal(t, len(ends), 1, "%v", ends)
	assert.Assert(t, ends["cancelled"] > slots, "%v", ends)
}

// slots is the number of claims that one server runs at a time.
const slots = 4

// await waits until done reports true for the ends of the claims "gone".
func (z deployment) await(t *testing.T, done func(ends map[string]int) bool) {
	t.Helper()
	ends := z.countEnds(t)
	for range 1000 {
		if done(ends) {
			return
		}
		time.Sleep(10 * time.Millisecond)
		ends = z.countEnds(t)
	}
	t.Fatalf("the claims did not end as expected within 1000 polls: %v", ends)
}

// countEnds counts the claims "gone" at all servers by how they ended, with "open" for
// those that still run.
func (z deployment) countEnds(t *testing.T) map[string]int {
	count := map[string]int{}
	for _, n := range z.Agents(service) {
		answer, err := http.Get(n.Agent.Backend.JoinPath("history").String())
		assert.NilError(t, err)
		var ran server.History
		assert.NilError(t, json.NewDecoder(answer.Body).Decode(&ran))
		assert.NilError(t, answer.Body.Close())
		for _, e := range ran.Executions {
			if strings.HasPrefix(e.Path, "/lookup/gone") {
				count[cmp.Or(e.End, "open")]++
			}
		}
	}
	return count
}

// Guards against a claim that runs twice when its key is repeated over several agents.
// The key is sent on five connections to arbitrary agents; then its owner is killed and
// restarted; finally another owner is frozen with a claim in progress. The case must be
// opened once, an outcome that no process can know must be reported as unknown, and the
// frozen owner must not run a claim that its caller has already got an answer to.
func TestKeyOverAgents(t *testing.T) {
	z := start(t)
	first := z.connect()
	key := z.requestKey(first)
	assert.Equal(t, z.sendClaim(first, "widow", key).Outcome, result.Ran)
	var others []*client.Caller
	for range 5 {
		c := z.connect()
		others = append(others, c)
		a := z.sendClaim(c, "widow", key)
		assert.Equal(t, a.Outcome, result.Ran, "%+v", a)
		assert.Equal(t, a.Body, answerTo("widow"))
	}
	ranAt := z.agentsThatRan("widow")
	assert.Equal(t, len(ranAt), 1)

	elsewhere := z.callerNotAt(others, ranAt[0])
	owner := z.Process(ranAt[0])
	owner.Kill()
	<-owner.Ended()
	a := z.sendClaim(elsewhere, "widow", key)
	assert.Equal(t, a.Outcome, result.Unknown, "%+v", a)
	assert.Equal(t, a.Reason, string(result.OwnerUnavailable))
	assert.NilError(t, owner.Start())
	assert.NilError(t, z.AwaitReady(t.Context(), ranAt[0]))
	a = z.sendClaim(elsewhere, "widow", key)
	assert.Equal(t, a.Outcome, result.Unknown, "%+v", a)
	assert.Equal(t, a.Reason, string(result.OwnerUnavailable))
	assert.Equal(t, len(z.agentsThatRan("widow")), 1)

	// Keys issued by one agent and sent through another one, with the link between the
	// two in use.
	other, frozen := z.callerAtOtherAgent(elsewhere)
	assert.Equal(t, z.sendClaim(elsewhere, "warm", z.requestKey(other)).Outcome, result.Ran)
	key = z.requestKey(other)
	z.freeze(frozen)
	a = z.sendClaim(elsewhere, "frozen", key)
	z.Process(frozen).Resume()
	assert.Equal(t, a.Outcome, result.Unknown, "%+v", a)
	assert.Equal(t, z.sendClaim(other, "after", "").Outcome, result.Ran)
	assert.Equal(t, len(z.agentsThatRan("frozen")), 0)
}

// freeze stops an agent and returns once all its threads have stopped: the signal takes
// some milliseconds to reach the last thread, and a claim is in transit for less.
func (z deployment) freeze(agent string) {
	p := z.Process(agent)
	p.Freeze()
	running := func(file string) bool {
		text, err := os.ReadFile(file)
		_, state, _ := strings.Cut(string(text), ") ")
		return err == nil && !strings.HasPrefix(state, "T")
	}
	for {
		threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.ID()))
		assert.NilError(z.t, err)
		if len(threads) > 0 && !slices.ContainsFunc(threads, running) {
			return
		}
	}
}

// agentOf returns the agent of a connection: the first claim runs on that agent's own
// server.
func (z deployment) agentOf(c *client.Caller, probe string) string {
	assert.Equal(z.t, z.sendClaim(c, probe, "").Outcome, result.Ran)
	return z.agentsThatRan(probe)[0]
}

func (z deployment) callerNotAt(callers []*client.Caller, agent string) *client.Caller {
	for i, c := range callers {
		if z.agentOf(c, fmt.Sprintf("probe%d", i)) != agent {
			return c
		}
	}
	z.t.Fatal("all connections are at one agent")
	return nil
}

// callerAtOtherAgent opens a connection to another agent than that of c.
func (z deployment) callerAtOtherAgent(c *client.Caller) (other *client.Caller, agent string) {
	here := z.agentOf(c, "here")
	for i := range 20 {
		other = z.connect()
		if agent = z.agentOf(other, fmt.Sprintf("other%d", i)); agent != here {
			return other, agent
		}
	}
	z.t.Fatal("all connections are at one agent")
	return nil, ""
}
