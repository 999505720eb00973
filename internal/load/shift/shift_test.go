package shift

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1_000_000, 0)

func three(r Rules) *Weights {
	w := New(r)
	w.SetServers([]Server{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}, {ID: 3, Weight: 2}})
	return w
}

func shares(w *Weights) (list []float64) {
	for _, v := range w.Weights() {
		list = append(list, v.Share)
	}
	return list
}

func report(w *Weights, at time.Time, demands ...float64) {
	for i, d := range demands {
		w.Report(at, uint32(i+1), Load{Demand: d})
	}
}

func TestDocumentWeightsWithoutReports(t *testing.T) {
	w := three(Default)
	w.Step(now)
	assert.DeepEqual(t, shares(w), []float64{1, 1, 2})
}

func TestNoiseWithinDeadZoneMovesNothing(t *testing.T) {
	w := three(Default)
	report(w, now, 0.66, 0.7, 0.74)
	w.Step(now)
	assert.DeepEqual(t, shares(w), []float64{1, 1, 2})
}

// A server's flows ask for twice as much as others'. It gets fewer new ones, in steps, down to
// the floor at worst, however long the reports say so.
func TestHeavyServerGetsLessWithinBounds(t *testing.T) {
	w := three(Default)
	last := 1.0
	for n := range 200 {
		at := now.Add(time.Duration(n) * time.Second)
		report(w, at, 2, 0.5, 0.5)
		w.Step(at)
		got := shares(w)
		assert.Assert(t, got[0] <= last && last-got[0] <= Default.Gain, got)
		assert.Assert(t, got[1] <= Default.Ceiling)
		last = got[0]
	}
	assert.Assert(t, last < 0.11 && last >= Default.Floor, last)
}

// A server leaves while weights move slowly. It gets no new flow from the very next
// one on, and starts anew from the floor when it comes back.
func TestLeavingCountsAtOnce(t *testing.T) {
	w := three(Default)
	w.Report(now, 2, Load{Demand: 0.7, Leaving: true})
	assert.DeepEqual(t, shares(w), []float64{1, 0, 2})
	w.Report(now, 2, Load{Demand: 0.7})
	assert.DeepEqual(t, shares(w), []float64{1, Default.Floor, 2})
	w.SetServers([]Server{{ID: 1, Weight: 1, Leaving: true}, {ID: 2, Weight: 1}, {ID: 3, Weight: 2}})
	assert.Equal(t, shares(w)[0], 0.0)
}

// An agent falls silent. Its last report, that it is overloaded, does not keep its share down for ever.
func TestOldReportIsForgotten(t *testing.T) {
	w := three(Default)
	report(w, now, 2, 0.5, 0.5)
	for n := range 300 {
		w.Step(now.Add(time.Duration(n) * time.Second))
	}
	assert.Assert(t, shares(w)[0] > 0.99, shares(w))
}

func TestServerThatJoinsStartsLow(t *testing.T) {
	w := three(Default)
	w.SetServers([]Server{{ID: 1, Weight: 1}, {ID: 4, Weight: 1}})
	assert.DeepEqual(t, shares(w), []float64{1, Default.Floor})
}
