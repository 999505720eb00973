package cases

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mangowinch/internal/exper/meter"
	"mangowinch/internal/exper/policy"
	"mangowinch/internal/exper/table"
)

// Aims of the decisions under load.
const (
	refusalAim = 5 * time.Millisecond
	oneService = 20 * time.Millisecond // a service time of the cases' lookups
)

func run1(c Case, n policy.Name) meter.Report {
	return Run(brief(c), TracingCore, n, policy.DefaultTuning, 1)
}

// small runs at the size of the smallest service, for the loads with most requests.
func small(c Case, n policy.Name) meter.Report {
	return Run(brief(c), DocIntake, n, policy.DefaultTuning, 1)
}

// brief measures 15 s in place of a minute where nothing happens later.
func brief(c Case) Case {
	if c.To == 70*time.Second {
		c.To, c.LoadEnd, c.Length = 25*time.Second, 27*time.Second, 27*time.Second
	}
	return c
}

func share(n int, r meter.Report) float64 { return float64(n) / float64(r.Offered) }

// A fund's nightly batch sends five times what the servers can do for a second. What can't be
// answered in time is refused at once; the moment it is over, everybody is served again.
func TestBurst(t *testing.T) {
	r := run1(Burst(), policy.Mangowinch)
	assert.Equal(t, r.Late, 0)
	assert.Assert(t, r.Goodput > 0.8 && r.RefusalP99 < refusalAim && r.RecoveryTime <= oneService, r)
}

// One fund asks for four times capacity. Its rivals' lookups were refused as often
// as its own with a common queue; now they fare as if it weren't there.
func TestHeavyCallerDelaysOnlyItself(t *testing.T) {
	alone, beside, common := small(Alone(), policy.Mangowinch), small(Heavy(), policy.Mangowinch), small(Heavy(), policy.FCFS)
	for i, c := range beside.Callers[1:] {
		assert.Assert(t, c.InTime >= 0.95*alone.Callers[i].InTime, c)
		assert.Assert(t, c.P99 <= alone.Callers[i].P99*3/2, "%v alone %v", c, alone.Callers[i])
		assert.Assert(t, common.Callers[i+1].InTime < 0.5, common.Callers[i+1])
	}
}

// Three connections send most of the load and reach three agents. Their neighbours take over.
func TestHotConnectionsAreSpread(t *testing.T) {
	r, stay := run1(Hot(), policy.Mangowinch), run1(Hot(), policy.ByFlow)
	assert.Assert(t, r.Imbalance10 <= 1.1 && share(r.InTime, r) > 0.999, r)
	assert.Assert(t, stay.Imbalance10 > 1.2, stay)
}

// At 70% load no server works a tenth more than the mean over 10 s, and no baseline of
// placement does better.
func TestServersAreBalanced(t *testing.T) {
	own := Run(Steady(), TracingCore, policy.Mangowinch, policy.DefaultTuning, 1).Imbalance10
	assert.Assert(t, own <= 1.1, own)
	for _, n := range []policy.Name{policy.RoundRobin, policy.Random, policy.LeastConnections, policy.LeastReported, policy.ByFlow} {
		other := Run(Steady(), TracingCore, n, policy.DefaultTuning, 1).Imbalance10
		assert.Assert(t, other > own, "%s %v, own %v", n, other, own)
	}
}

// A server turns five times slower without failing. Callers whose connections are at its agent
// would wait five times as long; their lookups run elsewhere while others have idle slots.
func TestSlowServer(t *testing.T) {
	r, stay := run1(Slow(), policy.Mangowinch), run1(Slow(), policy.ByFlow)
	assert.Assert(t, share(r.InTime, r) > 0.999 && r.P99 < 150*time.Millisecond, r)
	assert.Assert(t, stay.P99 > 2*r.P99, stay)
}

// A server fails each request within a millisecond. It always has idle slots, so it draws a quarter
// of all requests by least connections; here it is ejected.
func TestFailFastServerIsEjected(t *testing.T) {
	r, least := run1(FailFast(), policy.Mangowinch), run1(FailFast(), policy.LeastConnections)
	assert.Assert(t, share(r.Failed, r) < 0.01, r)
	assert.Assert(t, share(least.Failed, least) > 0.2, least)
}

// A server reports for ever that it is idle and quick. Whoever believes it sends it
// everything; here its own answers and refusals count for more.
func TestLyingReport(t *testing.T) {
	r, believed := run1(Lying(), policy.Mangowinch), run1(Lying(), policy.LeastReported)
	assert.Assert(t, share(r.InTime, r) > 0.995, r)
	assert.Assert(t, share(believed.InTime, believed) < 0.8, believed)
}

// Heirs upload scans for seconds each, more than the servers can take. Lookups of some
// milliseconds and feeds behind them would wait past their deadlines; half of the slots stay theirs.
func TestLongWorkAmongShort(t *testing.T) {
	r := Run(Long(), TracingCore, policy.Mangowinch, policy.DefaultTuning, 1)
	common := Run(Long(), TracingCore, policy.FCFS, policy.DefaultTuning, 1)
	uploads, lookups, feeds := r.Callers[0], r.Callers[1], r.Callers[2]
	assert.Assert(t, lookups.InTime > 0.999 && lookups.P99 < 200*time.Millisecond, lookups)
	assert.Assert(t, feeds.InTime > 0.999, feeds)
	assert.Assert(t, uploads.OfFairShare > 0.6, uploads)
	assert.Assert(t, common.Callers[1].InTime < 0.5, common.Callers[1])
}

// Callers ask for five times capacity for half a minute. Without a limit nearly all answers
// come too late; here goodput is that at capacity, and ends with the load.
func TestSaturationDoesNotCollapse(t *testing.T) {
	once, five := small(Saturation(1, 10*time.Second), policy.Mangowinch), small(Saturation(5, 10*time.Second), policy.Mangowinch)
	assert.Assert(t, five.Goodput >= 0.97*once.Goodput, "%v of %v", five.Goodput, once.Goodput)
	assert.Assert(t, five.RefusalP99 < refusalAim && five.RecoveryTime <= oneService && five.Late == 0, five)
	assert.Assert(t, small(Saturation(5, 10*time.Second), policy.Unlimited).Goodput < 0.1)
}

// Lookups have little more time than their service, and queues are longer than that time.
// First come first served then works mostly on answers that come too late.
func TestTightDeadlines(t *testing.T) {
	r, common := small(Tight(), policy.Mangowinch), small(Tight(), policy.FCFS)
	assert.Assert(t, r.Goodput > 0.95 && r.RefusalP99 < refusalAim, r)
	assert.Assert(t, common.Goodput < 0.6, common)
}

// A server joins with empty caches, four times slower at first. With a full share at once its callers
// would wait past their deadlines.
func TestColdJoin(t *testing.T) {
	r, turns := run1(Cold(), policy.Mangowinch), run1(Cold(), policy.RoundRobin)
	assert.Assert(t, r.Late == 0 && r.P99 < 120*time.Millisecond, r)
	assert.Assert(t, turns.P99 > 2*r.P99, turns)
}

// One of three servers crashes. The others carry its load; nobody waits for it.
func TestPartialOutage(t *testing.T) {
	r := small(Partial(), policy.Mangowinch)
	assert.Assert(t, share(r.InTime, r) > 0.99 && r.RefusalP99 < refusalAim, r)
}

// All servers are gone for ten seconds, and callers try again. When all come back each second, most
// have used up their tries before there is room; told when to come back, hardly one goes without.
func TestRetryStorm(t *testing.T) {
	r, least := small(Storm(), policy.Mangowinch), small(Storm(), policy.LeastConnections)
	assert.Assert(t, r.GivenUp < least.GivenUp/100 && share(r.Late, r) < 0.001, "%v, least connections %v", r, least)
	assert.Assert(t, r.Goodput > least.Goodput)
}

// A server leaves while uploads run on it. None is cut, nothing is lost or refused for it.
func TestDrainUnderLoad(t *testing.T) {
	r := run1(Drain(), policy.Mangowinch)
	assert.Equal(t, r.Broken+r.Failed+r.Late, 0)
	assert.Assert(t, share(r.Refused, r) < 0.001, r)
}

// The same seed gives the same tables to the last digit, so a change of a decision
// shows as a change of a figure.
func TestGolden(t *testing.T) {
	var rows []table.Row
	for _, c := range []Case{
		Steady(), Mixed(), Hot(), Burst(), Slow(), FailFast(), Lying(), Long(), Saturation(2, 5*time.Second), Tight(), Cold(), Drain(),
	} {
		rows = append(rows, table.Row{Name: c.Name, Report: small(c, policy.Mangowinch)})
	}
	var b bytes.Buffer
	table.Write(&b, rows)
	golden.Assert(t, b.String(), "doc-intake.md")
}
