package agent

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// Guards against a stateless reset of an open feed while its agent's process is replaced.
// The feed's next datagram may reach the successor before the first heartbeat of the old
// process, and the successor must not treat the flow as lost.
func TestSuccessorBelievesInOldProcessAtFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	var s side
	assert.Assert(t, s.mayBeAlive(now))
	assert.Assert(t, s.mayBeAlive(now.Add(sideTimeout/2)))
	s.lastSeen.Set(now.Add(sideTimeout / 2))
	assert.Assert(t, s.mayBeAlive(now.Add(sideTimeout)))
}

// Guards against callers that wait for their idle timeout after the old process has died.
// After a second without heartbeats their datagrams must be handled here, so that QUIC
// resets the flows and callers open new ones.
func TestUnresponsiveSideTimesOut(t *testing.T) {
	now := time.Unix(1000, 0)
	var s side
	s.lastSeen.Set(now)
	assert.Assert(t, s.mayBeAlive(now.Add(sideTimeout/2)))
	now = now.Add(2 * sideTimeout)
	assert.Assert(t, s.mayBeAlive(now)) // the suspicion starts
	assert.Assert(t, !s.mayBeAlive(now.Add(sideTimeout)))
	assert.Assert(t, !s.alive(now))
	var none *side
	assert.Assert(t, !none.mayBeAlive(now))
}

// Guards against an old process that marks its server as leaving. After a replacement its
// feeds go on for hours; if each of their frames had the flag Leaving, entries would
// place hardly any new flows at the server, although the successor serves it. While the
// successor is alive, the stop of the old process does not count; any other cause does.
func TestReplacedProcessDoesNotReportLeaving(t *testing.T) {
	now := time.Now()
	a := &Agent{availability: availability{log: zerolog.Nop(), changed: func(bool) {}}}
	l := &link{agent: a, side: &side{}}
	a.availability.set(bySignal, true)
	assert.Assert(t, l.reportsLeaving(now)) // no successor
	l.side.lastSeen.Set(now)
	assert.Assert(t, !l.reportsLeaving(now))
	a.availability.set(byServer, true)
	assert.Assert(t, l.reportsLeaving(now))
	a.availability.set(byServer, false)
	assert.Assert(t, l.reportsLeaving(now.Add(2*sideTimeout))) // the successor has died
}
