package agent

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// An agent's process is replaced while a feed is open. The feed's next datagram
// reaches the successor before the old process has greeted it. The successor used
// to take the flow for lost, and QUIC cut the feed with a stateless reset.
func TestSuccessorBelievesInOldProcessAtFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	var s side
	assert.Assert(t, s.mayLive(now))
	assert.Assert(t, s.mayLive(now.Add(sideLost/2)))
	s.heard.Set(now.Add(sideLost / 2))
	assert.Assert(t, s.mayLive(now.Add(sideLost)))
}

// The old process has died. After a second of silence its flows' callers must be
// told, so that they open new ones instead of waiting for their idle timeout.
func TestUnresponsiveSideTimesOut(t *testing.T) {
	now := time.Unix(1000, 0)
	var s side
	s.heard.Set(now)
	assert.Assert(t, s.mayLive(now.Add(sideLost/2)))
	now = now.Add(2 * sideLost)
	assert.Assert(t, s.mayLive(now)) // silence is noticed
	assert.Assert(t, !s.mayLive(now.Add(sideLost)))
	assert.Assert(t, !s.alive(now))
	var none *side
	assert.Assert(t, !none.mayLive(now))
}

// An agent's process is replaced, and its feeds go on for hours. Each of their frames
// said that the server leaves, so that entries gave it hardly any new flows, although
// the successor was serving. While it serves, the stop of the old process is no word
// of the server's; any other cause still is.
func TestReplacedProcessDoesNotReportLeaving(t *testing.T) {
	now := time.Now()
	a := &Agent{standing: standing{log: zerolog.Nop(), changed: func(bool) {}}}
	l := &link{agent: a, side: &side{}}
	a.standing.set(bySignal, true)
	assert.Assert(t, l.leaves(now)) // nobody takes over
	l.side.heard.Set(now)
	assert.Assert(t, !l.leaves(now))
	a.standing.set(byServer, true)
	assert.Assert(t, l.leaves(now))
	a.standing.set(byServer, false)
	assert.Assert(t, l.leaves(now.Add(2*sideLost))) // the successor has died
}
