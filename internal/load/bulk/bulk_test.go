package bulk

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/flow/segs"
)

var now = time.Unix(1_700_000_000, 0)

func uploadFlow(n int) segs.Flow {
	return segs.Flow{Caller: [4]byte{100, 64, 0, byte(n)}, Service: uploadAddr.Addr().As4(), Port: uploadAddr.Port()}
}

// learnUploads records an upload of some size, so that further flows to its address are expected to be as long.
func learnUploads(g *Gate, bytes int) {
	f := uploadFlow(255)
	g.RecordSent(now, f, bytes)
	g.Close(f)
}

// Guards against uploads that begin although their callers will have given up before the end.
func TestUploadThatCannotEndIsRefused(t *testing.T) {
	g := NewPaced(linkRate, maxWait)
	f := uploadFlow(1)
	assert.Assert(t, g.CanEnd(f, 0), "nothing is known about its length")
	learnUploads(g, 125_000) // 100 ms
	assert.Assert(t, g.CanEnd(f, 90*time.Millisecond), "nothing is under way, so that the length is learned anew")
	g.Admit(now, uploadFlow(2), 0, nil)
	assert.Assert(t, g.CanEnd(f, 160*time.Millisecond))
	assert.Assert(t, !g.CanEnd(f, 140*time.Millisecond), "half of another upload comes before its end")
	g.SetCarried(linkRate/4, true)
	assert.Assert(t, !g.CanEnd(f, 590*time.Millisecond), "the link carries a quarter")
	g.SetCarried(10*linkRate, false)
	assert.Assert(t, !g.CanEnd(f, 140*time.Millisecond), "no link carries more than is configured")
}

// endOnSharedLink returns when the last of the waiting uploads ends on a link that at most limit of them share
// equally, if half of each one under way is left. Times are in those that one upload takes alone.
func endOnSharedLink(active, waiting, limit int) (end float64) {
	left := slices.Repeat([]float64{0.5}, active)
	for waiting > 0 || len(left) > 0 {
		for waiting > 0 && len(left) < limit {
			left = append(left, 1)
			waiting--
		}
		shortest := slices.Min(left)
		end += shortest * float64(len(left))
		for i := range left {
			left[i] -= shortest
		}
		left = slices.DeleteFunc(left, func(x float64) bool { return x < 1e-9 })
	}
	return end
}

// Guards against an upload that is refused although the link carries it in time beside the others, and against
// one that begins although it doesn't.
func TestLinkTimeOfOthersCountsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewPaced(rapid.Float64Range(1, 5).Draw(t, "rate")*linkRate, maxWait)
		learnUploads(g, int(0.1*g.rate)) // 100 ms
		active := rapid.IntRange(1, g.limit()).Draw(t, "active")
		waiting := 0
		if active == g.limit() {
			waiting = rapid.IntRange(0, 5).Draw(t, "waiting")
		}
		for i := range active + waiting {
			g.Admit(now, uploadFlow(i), 0, nil)
		}
		assert.Equal(t, g.Len(), waiting)
		end := time.Duration(endOnSharedLink(active, waiting+1, g.limit()) * float64(100*time.Millisecond))
		assert.Assert(t, g.CanEnd(uploadFlow(100), end+time.Millisecond))
		assert.Assert(t, !g.CanEnd(uploadFlow(100), end-time.Millisecond))
	})
}

// Guards against an address that is refused for ever after one flow that took longer than callers wait.
func TestLengthIsLearnedAnewAfterRefusals(t *testing.T) {
	const left = time.Second
	g := NewPaced(linkRate, maxWait)
	learnUploads(g, 20*linkRate) // 20 s
	tries := 0
	for f := uploadFlow(1); g.isLong(f); tries++ {
		assert.Assert(t, g.CanEnd(f, left), "nothing is under way")
		assert.Equal(t, g.Admit(now, f, 0, nil), Pass)
		assert.Assert(t, g.avgBytes[uploadAddr] < left.Seconds()*linkRate || !g.CanEnd(uploadFlow(2), left), "no second one beside it")
		g.RecordSent(now, f, 1200)
		g.Close(f)
	}
	assert.Assert(t, tries < 10*learnWindow, tries)
}

// Guards against a flow that is not counted as long because its address has no long flows so far.
func TestFlowThatTurnsOutLong(t *testing.T) {
	g := NewPaced(linkRate, maxWait)
	f := uploadFlow(1)
	for sent := 0; sent < int(longFlowTime.Seconds()*linkRate); sent += 1200 {
		assert.Assert(t, !g.Long(f), "%d bytes", sent)
		g.RecordSent(now, f, 1200)
	}
	g.RecordSent(now, f, 1200)
	assert.Assert(t, g.Long(f))
	assert.Assert(t, !g.Long(uploadFlow(2)))
	learnUploads(g, 125_000)
	assert.Assert(t, g.Long(uploadFlow(2)))
}

// Guards against uploads that fill a link which is narrower than configured, because none takes long on the
// configured one.
func TestUploadsAreLongOnANarrowedLink(t *testing.T) {
	g := NewPaced(20*linkRate, maxWait)
	learnUploads(g, 80_000)
	assert.Assert(t, !g.Long(uploadFlow(1)))
	assert.Assert(t, g.FillsWindow(uploadFlow(1)))
	g.SetCarried(2*linkRate, true)
	assert.Assert(t, g.Long(uploadFlow(1)))
	g.SetCarried(20*linkRate, false)
	assert.Assert(t, !g.Long(uploadFlow(1)))
}
