package detect

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const tick = 50 * time.Millisecond

var config = Config{SuspectAfter: 150 * time.Millisecond, ProbeTimeout: 200 * time.Millisecond, Probes: 2}

// harness ticks a detector and answers its probes while answering is set.
type harness struct {
	now       time.Time
	d         *Detector
	answering bool
	failedAt  time.Time
}

func newHarness() *harness {
	w := &harness{now: time.Unix(1_700_000_000, 0), d: New(config)}
	w.d.Tick(w.now, Open)
	return w
}

func (w *harness) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tick)
		switch w.d.Tick(w.now, Open) {
		case Probe:
			if w.answering {
				w.d.Received()
			}
		case Failed:
			w.failedAt = w.now
		case None:
		}
	}
}

// A target that stops answering is declared failed within the documented bound and not earlier, and its
// next message clears the failure.
func TestUnresponsiveTargetFailsWithinTheBound(t *testing.T) {
	w := newHarness()
	began := w.now
	w.d.Sent(w.now)
	w.run(2 * time.Second)
	bound := config.SuspectAfter + time.Duration(config.Probes)*config.ProbeTimeout
	took := w.failedAt.Sub(began)
	assert.Assert(t, took >= bound && took <= bound+tick, took)
	assert.Assert(t, w.d.Failed())
	assert.Assert(t, w.d.Received())
	assert.Assert(t, !w.d.Failed())
}

// A target to which nothing was sent is never suspected.
func TestTargetWithoutMessagesIsNotSuspected(t *testing.T) {
	w := newHarness()
	w.run(time.Minute)
	assert.Assert(t, !w.d.Failed())
}

// Guards against declaring a target failed that answers probes, if messages and their answers are lost
// repeatedly.
func TestTargetThatAnswersProbesDoesNotFail(t *testing.T) {
	w := newHarness()
	w.answering = true
	for range 100 {
		w.d.Sent(w.now)
		w.run(time.Second)
	}
	assert.Assert(t, w.failedAt.IsZero())
}

// Guards against an observer that was frozen for five seconds after sending a message and declares the target
// failed before it reads the answer, which is in its socket. By the wall clock the timeout has passed.
func TestFrozenObserverDeclaresNoTargetFailed(t *testing.T) {
	w := newHarness()
	w.d.Sent(w.now)
	w.now = w.now.Add(5 * time.Second)
	assert.Equal(t, w.d.Tick(w.now, Open), None)
	w.now = w.now.Add(tick)
	verdict := w.d.Tick(w.now, Open)
	assert.Assert(t, verdict != Failed)
	w.d.Received()
	w.run(time.Second)
	assert.Assert(t, w.failedAt.IsZero())
}

// Guards against declaring a target failed because of probes that could not be answered, and against
// probing more and more often meanwhile.
func TestProbesThatDoNotCountDeclareNoFailure(t *testing.T) {
	w := newHarness()
	w.d.Sent(w.now)
	questions := 0
	for range 200 {
		w.now = w.now.Add(tick)
		switch w.d.Tick(w.now, Blocked) {
		case Probe:
			questions++
		case Failed:
			t.Fatal("declared failed")
		case None:
		}
	}
	assert.Assert(t, questions > 0 && questions <= 10, questions)
	w.run(config.ProbeTimeout * time.Duration(config.Probes) * maxBackoff)
	assert.Assert(t, !w.failedAt.IsZero(), "the path is open again and the target has not answered")
}

// A target that answers each probe within two ticks is never declared failed, for any pauses of the observer.
func TestResponsiveTargetNeverFails(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newHarness()
		due := -1
		for i := range 200 {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(r, "step")) * time.Millisecond)
			if rapid.Bool().Draw(r, "ask") {
				w.d.Sent(w.now)
			}
			if i == due {
				w.d.Received()
			}
			verdict := w.d.Tick(w.now, Open)
			assert.Assert(r, verdict != Failed)
			if verdict == Probe {
				due = i + 2
			}
		}
	})
}
