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

// Targets of the decisions under load.
const (
	maxRefusalTime = 5 * time.Millisecond
	serviceTime    = 20 * time.Millisecond // mean service time of lookups
)

func runBrief(c Case, n policy.Name) meter.Report {
	return Run(shorten(c), TracingCore, n, policy.DefaultTuning, 1)
}

// runSmall runs a case at the size of the smallest service, to save time on cases with many requests.
func runSmall(c Case, n policy.Name) meter.Report {
	return Run(shorten(c), DocIntake, n, policy.DefaultTuning, 1)
}

// shorten reduces the measured time from a minute to 15 s in cases without later events.
func shorten(c Case) Case {
	if c.To == 70*time.Second {
		c.To, c.LoadEnd, c.Length = 25*time.Second, 27*time.Second, 27*time.Second
	}
	return c
}

func share(n int, r meter.Report) float64 { return float64(n) / float64(r.Offered) }

// Guards against late answers and slow recovery after a burst: for one second a batch job offers five
// times capacity. Requests that cannot be answered in time have to be refused at once, and service has
// to be normal again as soon as the burst ends.
func TestBurst(t *testing.T) {
	r := runBrief(Burst(), policy.Mangowinch)
	assert.Equal(t, r.Late, 0)
	assert.Assert(t, r.Goodput > 0.8 && r.RefusalP99 < maxRefusalTime && r.RecoveryTime <= serviceTime, r)
}

// Guards against one caller that offers four times capacity and takes the slots of the others. With a
// common queue, the other callers' lookups are refused as often as the heavy caller's.
func TestHeavyCallerDelaysOnlyItself(t *testing.T) {
	alone, withHeavy, fcfs := runSmall(Alone(), policy.Mangowinch), runSmall(Heavy(), policy.Mangowinch), runSmall(Heavy(), policy.FCFS)
	for i, c := range withHeavy.Callers[1:] {
		assert.Assert(t, c.InTime >= 0.95*alone.Callers[i].InTime, c)
		assert.Assert(t, c.P99 <= alone.Callers[i].P99*3/2, "%v alone %v", c, alone.Callers[i])
		assert.Assert(t, fcfs.Callers[i+1].InTime < 0.5, fcfs.Callers[i+1])
	}
}

// Guards against hot connections: three connections send most of the load and overload the servers of
// their agents unless requests are handed over to the other servers.
func TestHotConnectionsAreSpread(t *testing.T) {
	r, byFlow := runBrief(Hot(), policy.Mangowinch), runBrief(Hot(), policy.ByFlow)
	assert.Assert(t, r.Imbalance10 <= 1.1 && share(r.InTime, r) > 0.999, r)
	assert.Assert(t, byFlow.Imbalance10 > 1.2, byFlow)
}

// Guards against uneven placement: at 70% of capacity no server uses over 10% more slot time than the
// mean in windows of 10 s, and no placement baseline is better.
func TestServersAreBalanced(t *testing.T) {
	own := Run(Steady(), TracingCore, policy.Mangowinch, policy.DefaultTuning, 1).Imbalance10
	assert.Assert(t, own <= 1.1, own)
	for _, n := range []policy.Name{policy.RoundRobin, policy.Random, policy.LeastConnections, policy.LeastReported, policy.ByFlow} {
		other := Run(Steady(), TracingCore, n, policy.DefaultTuning, 1).Imbalance10
		assert.Assert(t, other > own, "%s %v, own %v", n, other, own)
	}
}

// Guards against a server that becomes five times slower without failing: callers with connections at its
// agent would wait five times as long unless their lookups run on servers with idle slots.
func TestSlowServer(t *testing.T) {
	r, byFlow := runBrief(Slow(), policy.Mangowinch), runBrief(Slow(), policy.ByFlow)
	assert.Assert(t, share(r.InTime, r) > 0.999 && r.P99 < 150*time.Millisecond, r)
	assert.Assert(t, byFlow.P99 > 2*r.P99, byFlow)
}

// Guards against a server that fails each request within a millisecond. It always has idle slots, so that
// least connections sends it a quarter of all requests; it has to be ejected.
func TestFailFastServerIsEjected(t *testing.T) {
	r, leastConnections := runBrief(FailFast(), policy.Mangowinch), runBrief(FailFast(), policy.LeastConnections)
	assert.Assert(t, share(r.Failed, r) < 0.01, r)
	assert.Assert(t, share(leastConnections.Failed, leastConnections) > 0.2, leastConnections)
}

// Guards against a server that always reports that it is idle and fast. A policy that relies on reports
// alone sends it most requests; its answers and refusals have to outweigh its reports.
func TestLyingReport(t *testing.T) {
	r, leastReported := runBrief(Lying(), policy.Mangowinch), runBrief(Lying(), policy.LeastReported)
	assert.Assert(t, share(r.InTime, r) > 0.995, r)
	assert.Assert(t, share(leastReported.InTime, leastReported) < 0.8, leastReported)
}

// Guards against uploads of several seconds that occupy all slots: lookups and feeds of some milliseconds
// would wait past their deadlines. Half of the slots are reserved for short requests.
func TestLongWorkAmongShort(t *testing.T) {
	r := Run(Long(), TracingCore, policy.Mangowinch, policy.DefaultTuning, 1)
	fcfs := Run(Long(), TracingCore, policy.FCFS, policy.DefaultTuning, 1)
	uploads, lookups, feeds := r.Callers[0], r.Callers[1], r.Callers[2]
	assert.Assert(t, lookups.InTime > 0.999 && lookups.P99 < 200*time.Millisecond, lookups)
	assert.Assert(t, feeds.InTime > 0.999, feeds)
	assert.Assert(t, uploads.OfFairShare > 0.6, uploads)
	assert.Assert(t, fcfs.Callers[1].InTime < 0.5, fcfs.Callers[1])
}

// Guards against congestion collapse: callers offer five times capacity for 10 s. Without a limit nearly
// all answers are late. Goodput has to stay as at capacity, and service has to recover when the load ends.
func TestSaturationDoesNotCollapse(t *testing.T) {
	once, five := runSmall(Saturation(1, 10*time.Second), policy.Mangowinch), runSmall(Saturation(5, 10*time.Second), policy.Mangowinch)
	assert.Assert(t, five.Goodput >= 0.97*once.Goodput, "%v of %v", five.Goodput, once.Goodput)
	assert.Assert(t, five.RefusalP99 < maxRefusalTime && five.RecoveryTime <= serviceTime && five.Late == 0, five)
	assert.Assert(t, runSmall(Saturation(5, 10*time.Second), policy.Unlimited).Goodput < 0.1)
}

// Guards against work on requests that are answered late: deadlines are short and the queues allow longer
// waits. A first-come-first-served queue then serves mostly requests that miss their deadlines.
func TestTightDeadlines(t *testing.T) {
	r, fcfs := runSmall(Tight(), policy.Mangowinch), runSmall(Tight(), policy.FCFS)
	assert.Assert(t, r.Goodput > 0.95 && r.RefusalP99 < maxRefusalTime, r)
	assert.Assert(t, fcfs.Goodput < 0.6, fcfs)
}

// Guards against a full share for a server that joins with empty caches and is four times slower at first:
// its requests would miss their deadlines.
func TestColdJoin(t *testing.T) {
	r, roundRobin := runBrief(Cold(), policy.Mangowinch), runBrief(Cold(), policy.RoundRobin)
	assert.Assert(t, r.Late == 0 && r.P99 < 120*time.Millisecond, r)
	assert.Assert(t, roundRobin.P99 > 2*r.P99, roundRobin)
}

// Guards against requests that wait for a crashed server: the other two of three servers take its load.
func TestPartialOutage(t *testing.T) {
	r := runSmall(Partial(), policy.Mangowinch)
	assert.Assert(t, share(r.InTime, r) > 0.99 && r.RefusalP99 < maxRefusalTime, r)
}

// Guards against a retry storm: all servers are unreachable for ten seconds, and callers retry. Callers
// that retry every second mostly use up their tries before there are free slots; with retry times in the
// refusals nearly all are served.
func TestRetryStorm(t *testing.T) {
	r, leastConnections := runSmall(Storm(), policy.Mangowinch), runSmall(Storm(), policy.LeastConnections)
	assert.Assert(t, r.GivenUp < leastConnections.GivenUp/100 && share(r.Late, r) < 0.001, "%v, least connections %v", r, leastConnections)
	assert.Assert(t, r.Goodput > leastConnections.Goodput)
}

// Guards against a drain that interrupts running uploads, or that makes requests fail or be refused.
func TestDrainUnderLoad(t *testing.T) {
	r := runBrief(Drain(), policy.Mangowinch)
	assert.Equal(t, r.Broken+r.Failed+r.Late, 0)
	assert.Assert(t, share(r.Refused, r) < 0.001, r)
}

// Guards against unintended changes of decisions: runs with the same seed give exactly the same figures.
func TestGolden(t *testing.T) {
	var rows []table.Row
	for _, c := range []Case{
		Steady(), Mixed(), Hot(), Burst(), Slow(), FailFast(), Lying(), Long(), Saturation(2, 5*time.Second), Tight(), Cold(), Drain(),
	} {
		rows = append(rows, table.Row{Name: c.Name, Report: runSmall(c, policy.Mangowinch)})
	}
	var b bytes.Buffer
	table.Write(&b, rows)
	golden.Assert(t, b.String(), "doc-intake.md")
}
