package detect

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const tick = 50 * time.Millisecond

var bounds = Config{SuspectAfter: 150 * time.Millisecond, ProbeTimeout: 200 * time.Millisecond, Probes: 2}

// world ticks a detector and answers its questions as long as answers says so.
type world struct {
	now     time.Time
	d       *Detector
	answers bool
	lost    time.Time
}

func newWorld() *world {
	w := &world{now: time.Unix(1_700_000_000, 0), d: New(bounds)}
	w.d.Tick(w.now, Open)
	return w
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tick)
		switch w.d.Tick(w.now, Open) {
		case Probe:
			if w.answers {
				w.d.Received()
			}
		case Failed:
			w.lost = w.now
		case None:
		}
	}
}

// A party falls silent. It is lost within the stated bound and not before, and its first word brings it back.
func TestSilentPartyIsLostWithinTheBound(t *testing.T) {
	w := newWorld()
	began := w.now
	w.d.Sent(w.now)
	w.run(2 * time.Second)
	bound := bounds.SuspectAfter + time.Duration(bounds.Probes)*bounds.ProbeTimeout
	took := w.lost.Sub(began)
	assert.Assert(t, took >= bound && took <= bound+tick, took)
	assert.Assert(t, w.d.Failed())
	assert.Assert(t, w.d.Received())
	assert.Assert(t, !w.d.Failed())
}

// Nothing was asked, so nothing is owed: a party without traffic is never in doubt.
func TestPartyThatIsAskedNothingIsFine(t *testing.T) {
	w := newWorld()
	w.run(time.Minute)
	assert.Assert(t, !w.d.Failed())
}

// A message and its answer are lost, again and again, and the direct questions are answered.
func TestPartyThatAnswersQuestionsIsFine(t *testing.T) {
	w := newWorld()
	w.answers = true
	for range 100 {
		w.d.Sent(w.now)
		w.run(time.Second)
	}
	assert.Assert(t, w.lost.IsZero())
}

// The observer's instance is frozen for five seconds right after it has asked. The answer lies in its socket when it wakes up, and
// the clock says that five seconds have gone; with the clock's time it would have taken everybody for lost before it
// read a word.
func TestFrozenObserverTakesNobodyForLost(t *testing.T) {
	w := newWorld()
	w.d.Sent(w.now)
	w.now = w.now.Add(5 * time.Second)
	assert.Equal(t, w.d.Tick(w.now, Open), None)
	w.now = w.now.Add(tick)
	verdict := w.d.Tick(w.now, Open)
	assert.Assert(t, verdict != Failed)
	w.d.Received()
	w.run(time.Second)
	assert.Assert(t, w.lost.IsZero())
}

// Guards against a party that is lost by questions whose answers couldn't come, and against asking ever more often meanwhile.
func TestQuestionsThatDoNotCountLoseNobody(t *testing.T) {
	w := newWorld()
	w.d.Sent(w.now)
	questions := 0
	for range 200 {
		w.now = w.now.Add(tick)
		switch w.d.Tick(w.now, Blocked) {
		case Probe:
			questions++
		case Failed:
			t.Fatal("lost")
		case None:
		}
	}
	assert.Assert(t, questions > 0 && questions <= 10, questions)
	w.run(bounds.ProbeTimeout * time.Duration(bounds.Probes) * mostWaits)
	assert.Assert(t, !w.lost.IsZero(), "the way is open again, and the party has answered nothing")
}

// Whatever pauses the observer has, a party that answers each question within two ticks is never lost.
func TestPartyThatLivesIsNeverLost(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newWorld()
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
