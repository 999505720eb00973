package local

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// addressReuse is the shortest time between the end of a server and the start of the next one at its address.
const addressReuse = 2 * time.Second

// Guards against an opening packet for a server that started after its service was last confirmed, whatever the servers at
// the address send and when packets come.
func TestServerIsConfirmedAfterItsStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		started, confirmedAt := now, time.Time{}
		var c confirmation
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "pause")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"sends", "opening", "opening", "replaced"}).Draw(t, "step") {
			case "sends":
				c.serverSent(now)
			case "replaced":
				now = now.Add(addressReuse)
				started = now
			default:
				if c.needed(now) {
					c.confirm()
					confirmedAt = now
				}
				if confirmedAt.Before(started) {
					t.Fatalf("opening packet at %s for a server that started at %s and was confirmed at %s", now, started, confirmedAt)
				}
			}
		}
	})
}

// Guards against settings that can't be read, and against an agent that takes no flows as long as they can't be.
func TestFormerServiceCountsAgainAfterAWhile(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var c confirmation
	assert.Assert(t, !c.fail(now))
	assert.Assert(t, !c.fail(now.Add(unreadableFor)))
	assert.Assert(t, c.fail(now.Add(unreadableFor+time.Millisecond)))
	c.confirm()
	assert.Assert(t, !c.fail(now.Add(2*unreadableFor)))
}
