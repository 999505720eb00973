// Package detect decides when somebody who doesn't answer is taken for lost: a failure detector over one party.
//
// Definition. The party is in doubt when something was sent to it that it answers at once, and nothing has been heard of it for
// Doubt since. Then it is asked directly. It is lost when Checks such questions have had no answer within Wait each, so
// Doubt + Checks*Wait after the first unanswered message, plus a tick. Whatever is heard of it ends doubt and loss at once.
//
// False suspicion. The time that counts is the observer's own, awake: an observer that was frozen, slowed down or
// without a processor for a while finds messages unanswered that it has had no chance to read, and would take everybody for lost when it
// wakes up. So a step of the clock between two ticks counts as mostStep at the most, and what came meanwhile is read before
// the next steps add up. A party that answers any one of Checks questions is not lost: with a hundredth of the packets
// lost each way, two questions in a row go unanswered once in 2,500 doubts, each of which takes a loss itself; who can't
// afford that asks several at a time, or over a way that loses nothing. An observer whose own link is full gets answers late or not
// at all: it asks others beside the party, and a question counts only if they have answered meanwhile. One that doesn't
// count is repeated, after a longer wait if nobody has answered.
//
// It says nothing of what follows from a loss, and it sends nothing. It is pure: time is handed in. It is not safe for
// concurrent use.
//
// # Usage
//
//	d := detect.New(detect.Config{Doubt: 150 * time.Millisecond, Wait: 150 * time.Millisecond, Checks: 3})
//	d.Asked(now) // something was sent that is answered at once
//	d.Heard(now) // anything has come
//	switch d.Tick(now, detect.Open) {
//	case detect.Probe:
//		askDirectly()
//	case detect.Failed:
//		giveUp()
//	}
package detect

import "time"

// Config are the times of one detector.
type Config struct {
	SuspectAfter time.Duration // without an answer, until the party is asked directly
	ProbeTimeout time.Duration // for the answer to a direct question
	Probes       int           // direct questions without an answer until the party is lost
}

// Verdict is what a tick asks for.
type Verdict uint8

// The verdicts.
const (
	None   Verdict = iota // nothing is to be done
	Probe                 // the party is to be asked directly
	Failed                // it is lost as of now; said once
)

// Path is how the way between the observer and the others was while it waited for an answer, by their answers.
type Path uint8

// The ways.
const (
	Open    Path = iota // all others have answered: silence counts
	Partial             // some have: it doesn't count, and waiting longer is of no use
	Blocked             // none has: it doesn't count, and answers may take longer
)

// mostStep bounds what one step between two ticks counts for: twice the 50 ms of the ticks of
// both roles, so that a late tick counts and a pause doesn't.
const mostStep = 100 * time.Millisecond

// mostWaits bounds how long a question that doesn't count is waited for, in Bounds.Wait.
const mostWaits = 8

// Detector watches one party. Its zero value is of no use.
type Detector struct {
	bounds Config
	last   time.Time     // of the last tick
	awake  time.Duration // until then
	since  time.Duration // awake time of the first unanswered message
	doubts bool          // there is one
	checks int           // questions asked since
	asked  time.Duration // awake time of the last question
	wait   time.Duration // for its answer
	lost   bool
}

// New returns a detector of a party that nothing speaks against.
func New(b Config) *Detector { return &Detector{bounds: b, wait: b.ProbeTimeout} }

// Failed says whether the party is lost.
func (d *Detector) Failed() bool { return d.lost }

// AwaitingReply says whether something is unanswered.
func (d *Detector) AwaitingReply() bool { return d.doubts }

// clock is the observer's awake time.
func (d *Detector) clock(now time.Time) time.Duration {
	if d.last.IsZero() {
		return d.awake
	}
	return d.awake + min(max(now.Sub(d.last), 0), mostStep)
}

// Sent notes that something was sent that the party answers at once.
func (d *Detector) Sent(now time.Time) {
	if !d.doubts {
		d.doubts, d.since = true, d.clock(now)
	}
}

// Received notes that something has come from the party. It says whether it was lost.
func (d *Detector) Received() (back bool) {
	back = d.lost
	d.doubts, d.checks, d.lost, d.wait = false, 0, false, d.bounds.ProbeTimeout
	return back
}

// Tick says what is to be done now. It is to be called each 50 ms. Way is how the way was since the last question. A lost party
// is still to be asked directly every now and then, so that its return shows.
func (d *Detector) Tick(now time.Time, way Path) Verdict {
	d.awake, d.last = d.clock(now), now
	switch {
	case !d.doubts:
		return None
	case d.checks == 0 && d.awake-d.since < d.bounds.SuspectAfter:
		return None
	case d.checks > 0 && d.awake-d.asked < d.wait:
		return None
	case d.checks > 0 && way != Open:
		return d.repeat(way)
	case d.checks >= d.bounds.Probes && !d.lost:
		d.lost = true
		return Failed
	default:
		d.checks++
		d.asked = d.awake
		return Probe
	}
}

// repeat asks once more, as the last question doesn't count.
func (d *Detector) repeat(way Path) Verdict {
	if way == Blocked {
		d.wait = min(2*d.wait, mostWaits*d.bounds.ProbeTimeout)
	}
	d.asked = d.awake
	return Probe
}
