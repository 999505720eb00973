package stamp

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestZeroTimeIsLongAgo(t *testing.T) {
	var m Time
	now := time.Now()
	assert.Assert(t, m.Since(now) > 100*365*24*time.Hour)
	m.Set(now)
	assert.Equal(t, m.Since(now.Add(time.Second)), time.Second)
	m.Clear()
	assert.Assert(t, m.Since(now) > 100*365*24*time.Hour)
}

// Guards against a time that changes when the wall clock jumps. The stored offset counts from the start of
// the process by the monotonic clock.
func TestTimeUsesTheMonotonicClock(t *testing.T) {
	var m Time
	m.Set(epoch.Add(3 * time.Second))
	assert.Equal(t, time.Duration(m.offset.Load()), 3*time.Second)
}

func TestOnlyOneGoroutineClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m Time
		var claims atomic.Int32
		var all sync.WaitGroup
		for range 20 {
			all.Go(func() {
				if m.Claim(time.Now(), time.Second) {
					claims.Add(1)
				}
			})
		}
		all.Wait()
		assert.Equal(t, claims.Load(), int32(1))
		time.Sleep(time.Second)
		assert.Assert(t, m.Claim(time.Now(), time.Second))
	})
}
