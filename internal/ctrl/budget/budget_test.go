package budget_test

import (
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/ctrl/budget"
)

// A team's document of a megabyte is asked for by many peers at once. Exchanges
// and traffic would wait behind it: what control sends stays within its budget
// in every minute, and who would wait long is told to ask somebody else.
func TestTextsStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := budget.New()
		start, sent, refused := time.Now(), 0, 0
		for time.Since(start) < time.Minute {
			if m.Acquire(t.Context(), 16_000) {
				sent += 16_000
				continue
			}
			refused++
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, sent > 900_000, "sent only %d", sent)
		assert.Assert(t, sent < 60*budget.BytesPerSecond, "sent %d", sent)
		assert.Assert(t, refused > 0)
	})
}

func TestUsageCountsBytesAndWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := budget.New()
		a, b := net.Pipe()
		c := m.Conn(a)
		go func() { _, _ = b.Read(make([]byte, 2_000_000)) }()
		m.Sample(time.Now())
		_, err := c.Write(make([]byte, 2_000_000))
		assert.NilError(t, err)
		m.TimeCPU(func() {
			for n := range 200_000_000 {
				_ = n
			}
		})
		u := m.Usage(time.Now())
		assert.Assert(t, u.Sent >= 2_000_000)
		assert.Assert(t, u.BytesPerSecond > 2_000_000/60)
		assert.Assert(t, u.CPUShare > 0)
		assert.Assert(t, slices.Contains(u.Over, "bytes"))
	})
}
