// Package detect is a failure detector for one observed process, the target.
//
// The target is suspected if a message that it answers at once was sent to it and nothing has been
// received from it for Config.SuspectAfter. The observer then probes it directly. The target is declared
// failed when Config.Probes probes in a row have had no answer within Config.ProbeTimeout each, that is,
// SuspectAfter + Probes*ProbeTimeout after the first unanswered message, plus at most one tick. Any
// message from the target clears the suspicion and the failure at once.
//
// False suspicions are limited in three ways:
//
//   - Time is the observer's own running time. An observer that was frozen, slowed down or not scheduled
//     finds messages unanswered that it had no chance to read, and would declare every target failed when
//     it resumes. A step of the clock between two ticks therefore counts as at most maxStep, and messages
//     that arrived in the meantime are read before further steps add up.
//   - A target that answers any one of the probes is not failed. With 1% packet loss in each direction, two
//     probes in a row go unanswered in one of 2,500 suspicions, each of which needs a lost packet itself. A
//     caller that cannot accept this rate sends several probes at a time, or probes over a path without loss.
//   - An observer whose own link is saturated receives answers late or not at all. It probes other
//     processes along with the target, and a probe counts only if they have answered in the meantime. A
//     probe that does not count is repeated, after a longer timeout if none of them has answered.
//
// The package sends nothing and does not decide what follows from a failure. The caller passes in the
// time. A Detector is not safe for concurrent use.
//
// # Usage
//
//	d := detect.New(detect.Config{SuspectAfter: suspectAfter, ProbeTimeout: timeout, Probes: 3})
//	d.Sent(now)  // a message was sent that is answered at once
//	d.Received() // a message has arrived
//	switch d.Tick(now, detect.Open) {
//	case detect.Probe:
//		sendProbe()
//	case detect.Failed:
//		markFailed()
//	}
package detect

import "time"

// Config holds the timeouts of a detector.
type Config struct {
	SuspectAfter time.Duration // time without an answer after which the target is probed
	ProbeTimeout time.Duration // timeout of a probe
	Probes       int           // unanswered probes after which the target is failed
}

// Verdict is the action that Tick requests.
type Verdict uint8

// The verdicts.
const (
	None   Verdict = iota // no action
	Probe                 // send a probe to the target
	Failed                // the target has failed; returned once per failure
)

// Path is the state of the path between the observer and the other processes during a probe, derived from
// their answers.
type Path uint8

// The path states.
const (
	Open    Path = iota // all others answered: a missing answer counts
	Partial             // some answered: a missing answer does not count, and a longer timeout does not help
	Blocked             // none answered: a missing answer does not count, and answers may take longer
)

// maxStep is the most that one step between two ticks counts for. It is twice the tick interval of 50 ms
// of entries and agents, so that a late tick counts in full and a pause does not.
const maxStep = 100 * time.Millisecond

// maxBackoff bounds the timeout of probes that do not count, as a multiple of Config.ProbeTimeout.
const maxBackoff = 8

// Detector observes one target. Use New to create one; the zero value is not usable.
type Detector struct {
	config        Config
	lastTick      time.Time     // time of the last tick
	runTime       time.Duration // running time until lastTick
	awaitingSince time.Duration // running time of the first unanswered message
	awaiting      bool          // a message is unanswered
	probes        int           // probes sent since awaitingSince
	probedAt      time.Duration // running time of the last probe
	timeout       time.Duration // timeout of the last probe
	failed        bool
}

// New returns a detector for a target that is not suspected.
func New(c Config) *Detector { return &Detector{config: c, timeout: c.ProbeTimeout} }

// Failed reports whether the target is declared failed.
func (d *Detector) Failed() bool { return d.failed }

// AwaitingReply reports whether a message is unanswered.
func (d *Detector) AwaitingReply() bool { return d.awaiting }

// runTimeAt returns the observer's running time at now.
func (d *Detector) runTimeAt(now time.Time) time.Duration {
	if d.lastTick.IsZero() {
		return d.runTime
	}
	return d.runTime + min(max(now.Sub(d.lastTick), 0), maxStep)
}

// Sent records that a message was sent that the target answers at once.
func (d *Detector) Sent(now time.Time) {
	if !d.awaiting {
		d.awaiting, d.awaitingSince = true, d.runTimeAt(now)
	}
}

// Received records that a message has arrived from the target. It reports whether the target was declared
// failed.
func (d *Detector) Received() (recovered bool) {
	recovered = d.failed
	d.awaiting, d.probes, d.failed, d.timeout = false, 0, false, d.config.ProbeTimeout
	return recovered
}

// Tick returns the action to take now. It has to be called every 50 ms, with the state of the path since
// the last probe. A failed target is still probed at intervals, so that its recovery is noticed.
func (d *Detector) Tick(now time.Time, path Path) Verdict {
	d.runTime, d.lastTick = d.runTimeAt(now), now
	switch {
	case !d.awaiting:
		return None
	case d.probes == 0 && d.runTime-d.awaitingSince < d.config.SuspectAfter:
		return None
	case d.probes > 0 && d.runTime-d.probedAt < d.timeout:
		return None
	case d.probes > 0 && path != Open:
		return d.repeatProbe(path)
	case d.probes >= d.config.Probes && !d.failed:
		d.failed = true
		return Failed
	default:
		d.probes++
		d.probedAt = d.runTime
		return Probe
	}
}

// repeatProbe requests a probe in place of the last one, which does not count.
func (d *Detector) repeatProbe(path Path) Verdict {
	if path == Blocked {
		d.timeout = min(2*d.timeout, maxBackoff*d.config.ProbeTimeout)
	}
	d.probedAt = d.runTime
	return Probe
}
