package detect

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const tick = 50 * time.Millisecond

var bounds = Bounds{Doubt: 150 * time.Millisecond, Wait: 200 * time.Millisecond, Checks: 2}

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
		case Check:
			if w.answers {
				w.d.Heard()
			}
		case Lost:
			w.lost = w.now
		case Fine:
		}
	}
}

// A party falls silent. It is lost within the stated bound and not before, and its first word brings it back.
func TestSilentPartyIsLostWithinTheBound(t *testing.T) {
	w := newWorld()
	began := w.now
	w.d.Asked(w.now)
	w.run(2 * time.Second)
	bound := bounds.Doubt + time.Duration(bounds.Checks)*bounds.Wait
	took := w.lost.Sub(began)
	assert.Assert(t, took >= bound && took <= bound+tick, took)
	assert.Assert(t, w.d.Lost())
	assert.Assert(t, w.d.Heard())
	assert.Assert(t, !w.d.Lost())
}

// Nothing was asked, so nothing is owed: a party without traffic is never in doubt.
func TestPartyThatIsAskedNothingIsFine(t *testing.T) {
	w := newWorld()
	w.run(time.Minute)
	assert.Assert(t, !w.d.Lost())
}

// A message and its answer are lost, again and again, and the direct questions are answered.
func TestPartyThatAnswersQuestionsIsFine(t *testing.T) {
	w := newWorld()
	w.answers = true
	for range 100 {
		w.d.Asked(w.now)
		w.run(time.Second)
	}
	assert.Assert(t, w.lost.IsZero())
}

// The observer's instance is frozen for five seconds right after it has asked. The answer lies in its socket when it wakes up, and
// the clock says that five seconds have gone; with the clock's time it would have taken everybody for lost before it
// read a word.
func TestFrozenObserverTakesNobodyForLost(t *testing.T) {
	w := newWorld()
	w.d.Asked(w.now)
	w.now = w.now.Add(5 * time.Second)
	assert.Equal(t, w.d.Tick(w.now, Open), Fine)
	w.now = w.now.Add(tick)
	verdict := w.d.Tick(w.now, Open)
	assert.Assert(t, verdict != Lost)
	w.d.Heard()
	w.run(time.Second)
	assert.Assert(t, w.lost.IsZero())
}

// Guards against a party that is lost by questions whose answers couldn't come, and against asking ever more often meanwhile.
func TestQuestionsThatDoNotCountLoseNobody(t *testing.T) {
	w := newWorld()
	w.d.Asked(w.now)
	questions := 0
	for range 200 {
		w.now = w.now.Add(tick)
		switch w.d.Tick(w.now, Blocked) {
		case Check:
			questions++
		case Lost:
			t.Fatal("lost")
		case Fine:
		}
	}
	assert.Assert(t, questions > 0 && questions <= 10, questions)
	w.run(bounds.Wait * time.Duration(bounds.Checks) * mostWaits)
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
				w.d.Asked(w.now)
			}
			if i == due {
				w.d.Heard()
			}
			verdict := w.d.Tick(w.now, Open)
			assert.Assert(r, verdict != Lost)
			if verdict == Check {
				due = i + 2
			}
		}
	})
}
