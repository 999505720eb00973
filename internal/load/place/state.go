package place

import (
	"time"
)

// Rules are the thresholds of placement.
type Rules struct {
	ReportLifetime time.Duration // age at which a report no longer counts
	SlowStart      time.Duration // length of the slow start of a server that joined
	SlowFactor     float64       // a server counts as slow, or its report as false, from this many times the service time
	EvenMargin     float64       // difference in the share of slot time that counts as equal
	SimilarMargin  float64       // relative difference in expected time that counts as equal
	ShorterFactor  float64       // all being full, a peer must be expected to take less than this share of the own time
	FailureShare   float64       // share of failures from which a server is ejected
	MaxEjected     float64       // share of the servers that may be ejected at a time
}

// Default are the thresholds in use; docs/design/load.md has the runs behind them.
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
	gain        = 0.2 // weight of the newest outcome
	fewest      = 5   // outcomes before a server is judged by its failures
	firstEject  = time.Second
	longEject   = 30 * time.Second
	firstFull   = 50 * time.Millisecond // after one refusal
	longFull    = time.Second           // after several in a row
	firstDown   = 100 * time.Millisecond
	longDown    = time.Second
	measuredFor = 5 * time.Second // after which an own measurement gives way to reports
	coldOpen    = 0.1             // share of its slots that a cold server starts with
)

// state is what is known of one server.
type state struct {
	Server
	exact    bool // the agent's own server
	inflight int  // sent by this agent and not ended
	since    int  // of these, sent after the last report
	hint     Hint
	heard    time.Time // when the report came
	measured float64   // seconds from sending to the answer, by this agent
	sampled  time.Time
	cold     time.Time // when it joined; zero if it is not known to have
	full     time.Time // counts as full until then, whatever it reports
	refusals int       // in a row
	failures float64   // share of failures
	outcomes int
	until    time.Time // ejected until then
	ejects   int       // in a row
	down     time.Time // unreachable until then, as far as known
	misses   int       // in a row
}

// Outcome is how a request ended at a server.
type Outcome uint8

// The ends.
const (
	Answered    Outcome = iota // answered
	Failed                     // failed, or broke off
	Shed                       // refused as not run
	Unreachable                // the server could not be reached, so it did not run
)

// Sent says that a request was given to a server.
func (p *Placer) Sent(id uint32) {
	if s := p.state(id); s != nil {
		s.inflight++
		s.since++
	}
}

// Report takes in what a peer says of itself.
func (p *Placer) Report(now time.Time, id uint32, h Hint) {
	if s := p.state(id); s != nil {
		s.hint, s.heard, s.since = h, now, 0
	}
}

// Ended says how a request that was given to a server ended, and how long after
// it was sent; 0 for a request that is long by nature, which says nothing of how
// slow the server is. A feed has ended with the first byte of its answer: it holds no slot
// after that, and its server would count as full for hours.
func (p *Placer) Ended(now time.Time, id uint32, end Outcome, took time.Duration) {
	s := p.state(id)
	if s == nil {
		return
	}
	s.inflight = max(0, s.inflight-1)
	switch end {
	case Shed:
		s.shed(now)
		return
	case Unreachable:
		s.miss(now)
		return
	}
	s.refusals, s.misses = 0, 0
	s.outcomes++
	failed := 0.0
	if end == Failed {
		failed = 1
	} else if took > 0 {
		s.sample(now, took)
	}
	s.failures += gain * (failed - s.failures)
	if end == Answered && s.outcomes >= fewest {
		s.ejects = 0
	}
	p.eject(now, s)
}

// shed notes a refusal. The server counts as full for a while even if it reports
// idle slots: a report that lies would draw the next request at once otherwise.
func (s *state) shed(now time.Time) {
	s.full = now.Add(min(firstFull<<min(s.refusals, 10), longFull))
	s.refusals++
}

// miss notes that the server could not be reached. It is then out for a while,
// whatever the ceiling says: the ceiling guards against taking for sick what is only
// loaded, but a server that cannot be reached relieves nobody.
func (s *state) miss(now time.Time) {
	s.down = now.Add(min(firstDown<<min(s.misses, 10), longDown))
	s.misses++
}

// Down reports whether the agent's own server cannot be reached; the agent then
// tells its peers that it takes no new work.
func (p *Placer) Down(now time.Time) bool {
	s := p.state(p.self.ID)
	return s != nil && now.Before(s.down)
}

// sample takes in a time to an answer as seen from here. Only answers count: a server
// that fails fast must not look quick.
func (s *state) sample(now time.Time, took time.Duration) {
	if s.measured == 0 || now.Sub(s.sampled) > measuredFor {
		s.measured = took.Seconds()
	}
	s.measured += gain * (took.Seconds() - s.measured)
	s.sampled = now
}

// eject takes a failing server out for a while, longer each time in a row; when it
// comes back, its first outcome is the probe that decides. Not
// beyond the ceiling: if most seem to fail, the fault is likely elsewhere, and the
// few that are left would drown.
func (p *Placer) eject(now time.Time, s *state) {
	failing := s.outcomes >= fewest && s.failures > p.rules.FailureShare
	relapse := s.ejects > 0 && s.outcomes == 1 && s.failures > 0
	if !failing && !relapse {
		return
	}
	out := 0
	for _, o := range p.states {
		if o.ejected(now) {
			out++
		}
	}
	if len(p.states) < 2 || out >= max(1, int(p.rules.MaxEjected*float64(len(p.states)))) {
		return
	}
	length := min(firstEject<<min(s.ejects, 10), longEject)
	s.until = now.Add(time.Duration(float64(length) * (0.8 + 0.4*p.random.Float64())))
	s.ejects++
	s.outcomes, s.failures = 0, 0
	s.cold = s.until // comes back with a slow start, so that its first requests are a probe
}

func (s *state) ejected(now time.Time) bool { return now.Before(s.until) }

// out reports whether the server gets no work now.
func (s *state) out(now time.Time) bool {
	return s.Leaving || s.hint.Leaving || s.ejected(now) || now.Before(s.down)
}

// Ejected lists the servers that get no work now.
func (p *Placer) Ejected(now time.Time) (ids []uint32) {
	for _, s := range p.states {
		if s.ejected(now) {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// fresh reports whether the server's own report still counts.
func (s *state) fresh(now time.Time, r Rules) bool {
	return !s.heard.IsZero() && now.Sub(s.heard) < r.ReportLifetime
}

// load is how many requests the server has, as far as this agent can tell. Of its own
// server it knows, so its count of what it has sent there plays no part.
func (s *state) load(now time.Time, r Rules) float64 {
	if s.exact {
		return float64(s.hint.Running + s.hint.Waiting)
	}
	hinted := 0.0
	if s.fresh(now, r) {
		fade := 1 - float64(now.Sub(s.heard))/float64(r.ReportLifetime)
		hinted = float64(s.hint.Running+s.hint.Waiting)*fade + float64(s.since)
	}
	return max(hinted, float64(s.inflight))
}

// open is how many slots may be counted on; few while the server is cold.
func (s *state) open(now time.Time, r Rules) float64 {
	share := 1.0
	if age := now.Sub(s.cold); !s.cold.IsZero() && age < r.SlowStart {
		share = coldOpen + (1-coldOpen)*float64(max(age, 0))/float64(r.SlowStart)
	}
	return max(1, share*float64(s.Slots))
}

// service is the service time in seconds by the server's own report, or as this
// agent measured it if there is none.
func (s *state) service(now time.Time, r Rules) float64 {
	if s.fresh(now, r) && s.hint.Service > 0 {
		return s.hint.Service.Seconds()
	}
	if now.Sub(s.sampled) <= measuredFor {
		return s.measured
	}
	return 0
}

// expected is the expected time to an answer in seconds, for comparison only: by
// the report, unless this agent's own requests lately took so much longer than it
// says that it can't be true.
func (s *state) expected(now time.Time, r Rules) float64 {
	reported := s.service(now, r) * max(1, (s.load(now, r)+1)/s.open(now, r))
	if now.Sub(s.sampled) <= measuredFor && s.measured > r.SlowFactor*reported {
		return s.measured
	}
	return reported
}

func (s *state) busy(now time.Time, r Rules) float64 {
	if !s.fresh(now, r) {
		return 1
	}
	return s.hint.Utilization
}
