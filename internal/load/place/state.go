package place

import (
	"time"
)

// Rules holds the thresholds of placement.
type Rules struct {
	ReportLifetime time.Duration // age at which a report no longer counts
	SlowStart      time.Duration // duration of the slow start of a server that has joined
	SlowFactor     float64       // ratio of service times from which a server counts as slow, or a report as false
	EvenMargin     float64       // difference in utilization that counts as equal
	SimilarMargin  float64       // relative difference in expected time that counts as equal
	ShorterFactor  float64       // all servers full: a peer's expected time must be below this share of the own
	FailureShare   float64       // share of failures above which a server is ejected
	MaxEjected     float64       // share of the servers that may be ejected at a time
}

// Default holds the default thresholds; docs/design/load.md gives the reasons for them.
var Default = Rules{
	ReportLifetime: 2 * time.Second,
	SlowStart:      10 * time.Second,
	SlowFactor:     2,
	EvenMargin:     0.01,
	SimilarMargin:  0.25,
	ShorterFactor:  0.8,
	FailureShare:   0.5,
	MaxEjected:     0.5,
}

const (
	gain            = 0.2 // weight of the newest outcome
	minOutcomes     = 5   // outcomes needed before a server is judged by its failures
	minEjection     = time.Second
	maxEjection     = 30 * time.Second
	minFull         = 50 * time.Millisecond // after one refusal
	maxFull         = time.Second           // after several refusals in a row
	minDown         = 100 * time.Millisecond
	maxDown         = time.Second
	latencyLifetime = 5 * time.Second // after which an observed latency is replaced by reports
	coldShare       = 0.1             // share of its slots that a cold server starts with
)

// state is what the agent knows about one server.
type state struct {
	Server
	own          bool // the agent's own server
	inflight     int  // requests sent by this agent that have not ended
	sinceReport  int  // of these, requests sent after the last report
	hint         Hint
	reportedAt   time.Time // when the last report arrived
	latency      float64   // time to an answer in seconds, as observed by this agent
	sampledAt    time.Time
	coldSince    time.Time // when the server joined or is readmitted; zero if unknown
	fullUntil    time.Time // counts as full until then, whatever it reports
	refusals     int       // in a row
	failures     float64   // moving average of the share of failures
	outcomes     int
	ejectedUntil time.Time // ejected until then
	ejections    int       // in a row
	downUntil    time.Time // considered unreachable until then
	misses       int       // unreachable attempts in a row
}

// Outcome is how a request ended at a server.
type Outcome uint8

// The outcomes.
const (
	Answered    Outcome = iota // the server answered
	Failed                     // the server failed or aborted the request
	Shed                       // refused as not run
	Unreachable                // the server could not be reached, so the request did not run
)

// Sent records that a request was sent to a server.
func (p *Placer) Sent(id uint32) {
	if s := p.state(id); s != nil {
		s.inflight++
		s.sinceReport++
	}
}

// Report records the load that a peer reports.
func (p *Placer) Report(now time.Time, id uint32, h Hint) {
	if s := p.state(id); s != nil {
		s.hint, s.reportedAt, s.sinceReport = h, now, 0
	}
}

// Ended records how a request that was sent to a server ended, and the time since it was sent. took is 0 for
// a request that is long by nature, which says nothing about the server's speed. A feed ends with the first
// byte of its answer: it holds no slot after that, and its server would otherwise count as full for hours.
func (p *Placer) Ended(now time.Time, id uint32, outcome Outcome, took time.Duration) {
	s := p.state(id)
	if s == nil {
		return
	}
	s.inflight = max(0, s.inflight-1)
	switch outcome {
	case Shed:
		s.recordShed(now)
		return
	case Unreachable:
		s.recordUnreachable(now)
		return
	}
	s.refusals, s.misses = 0, 0
	s.outcomes++
	failed := 0.0
	if outcome == Failed {
		failed = 1
	} else if took > 0 {
		s.recordLatency(now, took)
	}
	s.failures += gain * (failed - s.failures)
	if outcome == Answered && s.outcomes >= minOutcomes {
		s.ejections = 0
	}
	p.ejectIfFailing(now, s)
}

// recordShed records a refusal. The server counts as full for a while even if it reports idle slots,
// because a false report would otherwise attract the next request at once.
func (s *state) recordShed(now time.Time) {
	s.fullUntil = now.Add(min(minFull<<min(s.refusals, 10), maxFull))
	s.refusals++
}

// recordUnreachable records that the server could not be reached. The server is then avoided for a while
// regardless of Rules.MaxEjected: that limit protects servers that only appear unhealthy under load, but
// an unreachable server carries no load in any case.
func (s *state) recordUnreachable(now time.Time) {
	s.downUntil = now.Add(min(minDown<<min(s.misses, 10), maxDown))
	s.misses++
}

// Down reports whether the agent's own server is unreachable. The agent then reports to its peers that it
// accepts no new requests.
func (p *Placer) Down(now time.Time) bool {
	s := p.state(p.self.ID)
	return s != nil && now.Before(s.downUntil)
}

// recordLatency records an observed time to an answer. Only answers count, so that a server that fails
// fast does not appear to be fast.
func (s *state) recordLatency(now time.Time, took time.Duration) {
	if s.latency == 0 || now.Sub(s.sampledAt) > latencyLifetime {
		s.latency = took.Seconds()
	}
	s.latency += gain * (took.Seconds() - s.latency)
	s.sampledAt = now
}

// ejectIfFailing ejects a failing server for a while, longer each time in a row. When the server is
// readmitted, its first outcome decides whether it is ejected again. At most Rules.MaxEjected of the
// servers are ejected: if most of them seem to fail, the fault is probably elsewhere, and the remaining
// servers would be overloaded.
func (p *Placer) ejectIfFailing(now time.Time, s *state) {
	failing := s.outcomes >= minOutcomes && s.failures > p.rules.FailureShare
	probeFailed := s.ejections > 0 && s.outcomes == 1 && s.failures > 0
	if !failing && !probeFailed {
		return
	}
	ejected := 0
	for _, o := range p.states {
		if o.ejected(now) {
			ejected++
		}
	}
	if len(p.states) < 2 || ejected >= max(1, int(p.rules.MaxEjected*float64(len(p.states)))) {
		return
	}
	length := min(minEjection<<min(s.ejections, 10), maxEjection)
	s.ejectedUntil = now.Add(time.Duration(float64(length) * (0.8 + 0.4*p.random.Float64())))
	s.ejections++
	s.outcomes, s.failures = 0, 0
	s.coldSince = s.ejectedUntil // slow start on return, so that the first requests serve as a probe
}

func (s *state) ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// unavailable reports whether the server may receive no requests now.
func (s *state) unavailable(now time.Time) bool {
	return s.Leaving || s.hint.Leaving || s.ejected(now) || now.Before(s.downUntil)
}

// Ejected returns the IDs of the servers that are ejected now.
func (p *Placer) Ejected(now time.Time) (ids []uint32) {
	for _, s := range p.states {
		if s.ejected(now) {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// fresh reports whether the server's last report still counts.
func (s *state) fresh(now time.Time, r Rules) bool {
	return !s.reportedAt.IsZero() && now.Sub(s.reportedAt) < r.ReportLifetime
}

// load returns the number of requests at the server as far as this agent knows. The own server's state is
// exact, so the agent's count of requests sent there is not used.
func (s *state) load(now time.Time, r Rules) float64 {
	if s.own {
		return float64(s.hint.Running + s.hint.Waiting)
	}
	hinted := 0.0
	if s.fresh(now, r) {
		fade := 1 - float64(now.Sub(s.reportedAt))/float64(r.ReportLifetime)
		hinted = float64(s.hint.Running+s.hint.Waiting)*fade + float64(s.sinceReport)
	}
	return max(hinted, float64(s.inflight))
}

// usableSlots returns the number of slots that can be expected to be available, which is small while the
// server is cold.
func (s *state) usableSlots(now time.Time, r Rules) float64 {
	share := 1.0
	if age := now.Sub(s.coldSince); !s.coldSince.IsZero() && age < r.SlowStart {
		share = coldShare + (1-coldShare)*float64(max(age, 0))/float64(r.SlowStart)
	}
	return max(1, share*float64(s.Slots))
}

// service returns the service time in seconds as reported by the server, or as observed by this agent if
// there is no report.
func (s *state) service(now time.Time, r Rules) float64 {
	if s.fresh(now, r) && s.hint.Service > 0 {
		return s.hint.Service.Seconds()
	}
	if now.Sub(s.sampledAt) <= latencyLifetime {
		return s.latency
	}
	return 0
}

// expected returns the expected time to an answer in seconds, for comparison only. It is derived from the
// report, unless the latency that this agent has observed recently is so much longer that the report
// cannot be true.
func (s *state) expected(now time.Time, r Rules) float64 {
	reported := s.service(now, r) * max(1, (s.load(now, r)+1)/s.usableSlots(now, r))
	if now.Sub(s.sampledAt) <= latencyLifetime && s.latency > r.SlowFactor*reported {
		return s.latency
	}
	return reported
}

func (s *state) utilization(now time.Time, r Rules) float64 {
	if !s.fresh(now, r) {
		return 1
	}
	return s.hint.Utilization
}
