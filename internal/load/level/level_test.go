package level

import (
	"math/rand/v2"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/flow/msgs"
)

func newGate() *Gate { return New(rand.New(rand.NewPCG(1, 2))) }

// long is the estimate of a server that can't serve flows in time, of any priority.
var long = msgs.NewEstimate(serviceTime, [msgs.NumWaits]time.Duration{timeout, timeout, timeout, timeout})

// step is one message or flow, drawn at random, for a service of ten servers.
func step(t *rapid.T, g *Gate, now time.Time, fullServers, maxReturned int) (admitted bool) {
	server, priority := rapid.IntRange(0, 9).Draw(t, "server"), rapid.IntRange(0, 5).Draw(t, "priority")
	switch rapid.IntRange(0, 3).Draw(t, "step") {
	case 0:
		e := msgs.Estimate{Service: 170}
		if server < fullServers {
			e = long
		}
		g.Report(now, "svc", agentAddr(server), e)
	case 1:
		if server < min(fullServers, maxReturned) {
			g.Refused(now, "svc", agentAddr(server), priority)
		}
	case 2:
		g.Opened(now, "svc", priority)
	default:
		return g.Admit(now, "svc", priority, timeout, 10)
	}
	return true
}

// Guards against flows refused while servers have room, or while every flow is opened.
func TestNothingIsRefusedWhileServersHaveRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, now := newGate(), begin
		fullServers := rapid.IntRange(0, 10).Draw(t, "full")
		maxReturned := 10
		if 100*fullServers >= 10*fullPercent {
			maxReturned = 0
		}
		for range rapid.IntRange(0, 2000).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			assert.Assert(t, step(t, g, now, fullServers, maxReturned))
		}
	})
}

// Guards against flows refused because requests take long, while servers have no queues.
func TestLongRequestsAreNoOverload(t *testing.T) {
	for _, service := range []time.Duration{timeout / 2, timeout * 9 / 10, 2 * timeout} {
		g, now := newGate(), begin
		for range 200 {
			now = now.Add(10 * time.Millisecond)
			for a := range 10 {
				g.Report(now, "svc", agentAddr(a), msgs.NewEstimate(service, [msgs.NumWaits]time.Duration{}))
			}
			assert.Assert(t, g.Admit(now, "svc", 0, timeout, 10))
		}
	}
}

// Guards against flows refused by reports of queues that have ended: no flow came for longer than any flow waits.
func TestPauseEndsAnOverload(t *testing.T) {
	g := newGate()
	now := overload(g, begin).Add(timeout + time.Millisecond)
	for range 20 {
		assert.Assert(t, g.Admit(now, "svc", 1, timeout, 10))
		now = now.Add(time.Millisecond)
	}
}

// Guards against a refusal for overload where the last servers of a service drain.
func TestServiceWithoutServersIsLeftToPlacement(t *testing.T) {
	g := newGate()
	now := overload(g, begin)
	for range 500 {
		now = now.Add(10 * time.Millisecond)
		assert.Assert(t, g.Admit(now, "svc", 1, timeout, 0))
	}
}

// Guards against old reports, and old refusals of a higher priority, that refusals of a lower one keep alive.
func TestRefusalsDoNotRenewWhatIsOld(t *testing.T) {
	for name, old := range map[string]func(g *Gate, a netip.Addr){
		"estimate": func(g *Gate, a netip.Addr) { g.Report(begin, "svc", a, long) },
		"refusal":  func(g *Gate, a netip.Addr) { g.Refused(begin, "svc", a, 0) },
	} {
		g := newGate()
		for a := range 10 {
			old(g, agentAddr(a))
		}
		for at := time.Duration(0); at <= 2*forgetAfter; at += 50 * time.Millisecond {
			for a := range 10 {
				g.Refused(begin.Add(at), "svc", agentAddr(a), 2)
			}
		}
		s := g.services["svc"]
		now := begin.Add(2 * forgetAfter)
		s.expire(now)
		full, _ := s.full(now, 0, timeout)
		assert.Equal(t, full, 0, name)
		full, _ = s.full(now, 2, timeout)
		assert.Equal(t, full, 10, name)
	}
}

// Guards against flows refused because of old reports while agents open every flow.
func TestNothingIsRefusedByOldReportsAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, now := newGate(), begin
		for a := range 10 {
			g.Report(now, "svc", agentAddr(a), long)
		}
		now = now.Add(timeout / longWaitDivisor)
		for range rapid.IntRange(0, 500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "opened") {
				g.Opened(now, "svc", rapid.IntRange(0, 5).Draw(t, "priority"))
			}
			assert.Assert(t, g.Admit(now, "svc", rapid.IntRange(0, 5).Draw(t, "priority"), timeout, 10))
		}
	})
}

// Guards against a service that is locked out by any sequence of reports: some flows are admitted at any time,
// and all of them once the reports are forgotten.
func TestNoSequenceOfReportsLocksAServiceOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, now := newGate(), begin
		for range rapid.IntRange(0, 2000).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "ms")) * time.Millisecond)
			step(t, g, now, 10, 10)
		}
		for p := range msgs.NumWaits {
			now = now.Add(probeInterval)
			assert.Assert(t, g.Admit(now, "svc", p, timeout, 10))
		}
		for end := now.Add(forgetAfter + 3*time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
			g.Admit(now, "svc", 0, timeout, 10)
			g.Admit(now, "svc", 3, timeout, 10)
		}
		assert.Equal(t, len(g.Levels()), 0)
	})
}

// Guards against memory that grows with the number of services and agents that messages name.
func TestMemoryIsBounded(t *testing.T) {
	g := newGate()
	for i := range 2 * maxServices {
		assert.Assert(t, g.Admit(begin, strconv.Itoa(i), 0, timeout, 1))
	}
	assert.Equal(t, len(g.services), maxServices)
	for i := range 2 * maxAgents {
		a := agentAddr(0).As4()
		a[1], a[2], a[3] = byte(i>>16), byte(i>>8), byte(i)
		g.Report(begin, "0", netip.AddrFrom4(a), long)
	}
	assert.Equal(t, len(g.services["0"].reports), maxAgents)
	g.Changes(begin.Add(forgetAfter + time.Second))
	assert.Equal(t, len(g.services), 0)
}

// overload makes nearly all servers full and lets some agents return flows, for two seconds.
func overload(g *Gate, now time.Time) time.Time {
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		for a := range 10 {
			g.Report(now, "svc", agentAddr(a), long)
		}
		g.Opened(now, "svc", 1)
		g.Refused(now, "svc", agentAddr(0), 1)
		for range 8 {
			g.Admit(now, "svc", 1, timeout, 10)
		}
	}
	return now
}

// Guards against an entry that refuses flows because of agents that have left the service.
func TestAgentsThatHaveLeftAreForgotten(t *testing.T) {
	g := newGate()
	now := overload(g, begin)
	assert.Assert(t, len(g.Levels()) > 0)
	g.Retain(func(_ string, a netip.Addr) bool { return a == agentAddr(0) })
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		g.Admit(now, "svc", 1, timeout, 10)
	}
	assert.Equal(t, len(g.Levels()), 0)
}

// Guards against a log line at each step of a level.
func TestChangesAreReportedOncePerOverload(t *testing.T) {
	g := newGate()
	now := overload(g, begin)
	changes := g.Changes(now)
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, changes[0].Limited)
	assert.Equal(t, len(g.Changes(now)), 0)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		g.Admit(now, "svc", 1, timeout, 10)
		changes = append(changes, g.Changes(now)...)
	}
	assert.Equal(t, len(changes), 2)
	assert.Assert(t, !changes[1].Limited)
}
