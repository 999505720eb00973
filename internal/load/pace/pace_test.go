package pace

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/flow/segs"
)

const linkRate = 10e6 / 8 // bytes per second

var start = time.Unix(1_700_000_000, 0)

func flowOf(caller, port int) segs.Flow {
	return segs.Flow{Caller: [4]byte{100, 64, 0, byte(caller)}, CallerPort: uint16(port), Port: 443}
}

// drain takes packets until a time and returns the bytes sent by caller.
func drain(q *Queue, from time.Time, d time.Duration) map[byte]int {
	sent := map[byte]int{}
	for now := from; now.Before(from.Add(d)); now = now.Add(time.Millisecond) {
		for p, ok := q.Next(now); ok; p, ok = q.Next(now) {
			sent[p.Flow.Caller[3]] += len(p.Data)
		}
	}
	return sent
}

// Guards against packets that overtake others of their flow, are sent twice or after their senders have
// retransmitted them, and against a queue that exceeds its bound, whatever arrives.
func TestOrderAndBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1e4, 1e7).Draw(t, "rate")
		q := New(rate)
		now := start
		pushed, lastSent := map[segs.Flow]int{}, map[segs.Flow]int{}
		total, sent, dropped := 0, 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "us")) * time.Microsecond)
			f := flowOf(rapid.IntRange(0, 3).Draw(t, "caller"), rapid.IntRange(0, 2).Draw(t, "port"))
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0:
				q.Charge(now, rapid.IntRange(0, 1300).Draw(t, "short"))
			case 1, 2:
				pushed[f]++
				total++
				q.Push(now, f, fmt.Appendf(nil, "%d %*d", pushed[f], rapid.IntRange(0, 1200).Draw(t, "bytes"), 0))
			case 3:
				for p, ok := q.Next(now); ok; p, ok = q.Next(now) {
					var number int
					_, err := fmt.Sscan(string(p.Data), &number)
					assert.NilError(t, err)
					assert.Assert(t, number > lastSent[p.Flow], "%d after %d", number, lastSent[p.Flow])
					assert.Assert(t, now.Sub(p.QueuedAt) < maxAge)
					lastSent[p.Flow] = number
					sent++
				}
			case 4:
				q.Discard(f)
				assert.Assert(t, !q.Holds(f))
			}
			d := q.TakeDrops()
			dropped += d.Full + d.Late + d.Aborted
			assert.Equal(t, total, sent+dropped+q.Len())
			assert.Assert(t, q.Bytes() <= int(rate*maxAge.Seconds()))
			if _, ok := q.Ready(now); ok != (q.Len() > 0) {
				t.Fatalf("%d packets, ready %v", q.Len(), ok)
			}
		}
	})
}

// Guards against a caller that gets more of the link by opening more flows or by filling the queue.
func TestCallersShareTheLink(t *testing.T) {
	q := New(linkRate)
	data := make([]byte, 1200)
	sent := map[byte]int{}
	for i := range 1000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		for port := range 16 {
			q.Push(now, flowOf(1, port), data)
		}
		if i%2 == 0 {
			q.Push(now, flowOf(2, 0), data)
		}
		for c, n := range drain(q, now, time.Millisecond) {
			sent[c] += n
		}
	}
	assert.Assert(t, sent[2] >= 490*1200, "the caller with one flow sent %d of 600,000 bytes, the other %d", sent[2], sent[1])
	assert.Assert(t, sent[1] >= 400*1200, "the rest of the link went unused: %d", sent[1])
}

// Guards against long flows that stop while short traffic fills the link, and against short traffic that is
// not taken off the rate.
func TestShortTrafficTakesItsPart(t *testing.T) {
	for _, c := range []struct{ shortRate, least, most float64 }{
		{0, 0.91, 0.97}, {0.5, 0.41, 0.47}, {2, 0.21, 0.27},
	} {
		q := New(linkRate)
		got := 0
		for i := range 1000 {
			now := start.Add(time.Duration(i) * time.Millisecond)
			for range 2 {
				q.Push(now, flowOf(1, 0), make([]byte, 1200))
			}
			q.Charge(now, int(c.shortRate*linkRate/1000)-overhead)
			for p, ok := q.Next(now); ok; p, ok = q.Next(now) {
				got += p.size()
			}
		}
		part := float64(got) / linkRate
		assert.Assert(t, part >= c.least && part <= c.most, "short traffic %.1f: long flows %.2f", c.shortRate, part)
	}
}

// Guards against a sender that is woken too early, too late or never.
func TestReadyIsWhenTheNextPacketIsSent(t *testing.T) {
	q := New(linkRate)
	now := start
	for range 50 {
		q.Push(now, flowOf(1, 0), make([]byte, 1200))
	}
	for wait, ok := q.Ready(now); ok; wait, ok = q.Ready(now) {
		assert.Assert(t, wait <= 2*time.Millisecond, wait)
		if wait > 0 {
			_, early := q.Next(now.Add(wait / 2))
			assert.Assert(t, !early)
		}
		now = now.Add(wait)
		_, sent := q.Next(now)
		assert.Assert(t, sent)
	}
	assert.Equal(t, q.Len(), 0)
}
