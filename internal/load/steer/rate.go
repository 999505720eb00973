package steer

import (
	"net/netip"
	"time"

	"mangowinch/internal/flow/msgs"
)

const (
	// serviceWeight is the weight of a server's service time, relative to the mean, against the part of its slots that
	// is in use. With a higher one, too many flows that are placed by the same old report go to the fast servers.
	serviceWeight = 0.5
	// minRatio is the lowest ratio of a server's service time to the mean that is used. Lower ones come from answers
	// that are errors, or from a slow server that raises the mean. Without a bound a queue at a server with such a
	// ratio would cost nothing.
	minRatio = 0.25
	// estimateLifetime is the age at which an estimate has no weight any more and the server counts as one of mean
	// speed. Servers seldom change their speed, and in a large fleet an entry hears of a server every few seconds.
	estimateLifetime = 30 * time.Second
	// ProbeInterval is the time between probes: a server that is passed over because it is slow gets a flow when its
	// agent has sent no report for this time, so that its recovery is seen.
	ProbeInterval = 5 * time.Second
	// minChoicesPerProbe is the number of choices from one probe to the next at least, so that few flows go to slow
	// servers. Where an entry has many slow servers and few flows, probes come later than ProbeInterval.
	minChoicesPerProbe = 32
)

// Reason is why a server was chosen.
type Reason string

// The reasons.
const (
	ByWork Reason = "work"  // least expected work
	ByRate Reason = "rate"  // another server has less work and is expected to answer later
	Probe  Reason = "probe" // passed over for a while because it is slow
)

// serviceReport is what an agent has last reported about the service time of its server.
type serviceReport struct {
	service    time.Duration // time of a request; 0: unknown
	reportedAt time.Time
	probedAt   time.Time
	cold       bool // the server was cold at the last choice
}

// Reason returns why the last choice was made.
func (c *Chooser) Reason() Reason { return c.reason }

// Expect records the estimate of a message that an agent sends without a load. A message without an estimate says
// nothing.
func (c *Chooser) Expect(now time.Time, agent netip.Addr, e msgs.Estimate) {
	if e != (msgs.Estimate{}) {
		c.state(agent).report.record(now, e)
	}
}

func (r *serviceReport) record(now time.Time, e msgs.Estimate) {
	r.service, r.reportedAt = e.ServiceTime(), now
}

// Service returns the time of a request that an agent last reported for its server, or 0.
func (c *Chooser) Service(agent netip.Addr) time.Duration {
	if s := c.states[agent]; s != nil && !c.off.Rates {
		return s.report.service
	}
	return 0
}

// forgetRestarted drops the service times of candidates that have become cold since the last choice: they were
// reported before the server's start.
func (c *Chooser) forgetRestarted(candidates []Candidate) {
	for _, k := range candidates {
		s := c.states[k.Agent]
		if s == nil {
			continue
		}
		if k.Cold && !s.report.cold {
			s.report.service = 0
		}
		s.report.cold = k.Cold
	}
}

// meanService returns the mean service time of the candidates whose estimates have any weight, or 0 if there are none.
func (c *Chooser) meanService(now time.Time, candidates []Candidate) time.Duration {
	sum, known := time.Duration(0), time.Duration(0)
	for _, k := range candidates {
		if service := c.Service(k.Agent); service > 0 && now.Sub(c.states[k.Agent].report.reportedAt) < estimateLifetime {
			sum += service
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return sum / known
}

// ratio returns the ratio of a candidate's service time to the mean, which counts as at least minRatio. The older the
// report, the closer the ratio is to 1.
func (c *Chooser) ratio(now time.Time, k Candidate, mean time.Duration) float64 {
	service := c.Service(k.Agent)
	if service == 0 || mean == 0 {
		return 1
	}
	weight := 1 - min(1, float64(now.Sub(c.states[k.Agent].report.reportedAt))/float64(estimateLifetime))
	return 1 + weight*(max(minRatio, float64(service)/float64(mean))-1)
}

// expectedTime returns the cost of a new flow at a server with the given work per slot: its own service time, the
// slots in use, and the time in the queue. Slots in use are not weighed by the service time: otherwise slow servers
// would have idle slots while fast ones queue, and the servers together would serve less than they can.
func expectedTime(work, ratio float64) float64 {
	return serviceWeight*ratio + min(work, 1) + max(0, work-1)*ratio
}

// probe returns the server of the own failure domain that is due for a probe and has the oldest report. A server
// elsewhere is probed by the entries there.
func (c *Chooser) probe(now time.Time, candidates []Candidate, tried []netip.Addr, best score) (agent netip.Addr, due bool) {
	c.sinceProbe++
	if c.sinceProbe < minChoicesPerProbe || len(tried) > 0 || best.service == 0 {
		return agent, false
	}
	oldest := ProbeInterval
	for _, k := range candidates {
		if age := c.reportAge(now, k, best); age >= oldest && k.Agent != best.agent {
			agent, oldest, due = k.Agent, age, true
		}
	}
	if due {
		c.sinceProbe, c.reason = 0, Probe
		c.state(agent).report.probedAt = now
	}
	return agent, due
}

// reportAge returns the time since the last report or probe of a candidate that is passed over because it is slow. It
// returns 0 for one that is not slower than the best, unless that is known from an estimate without weight, and for
// one that is avoided for other reasons.
func (c *Chooser) reportAge(now time.Time, k Candidate, best score) time.Duration {
	s := c.states[k.Agent]
	if s == nil || s.report.service == 0 || c.penalty(now, k) > 0 {
		return 0
	}
	age := now.Sub(s.report.reportedAt)
	if s.report.service <= best.service && age < estimateLifetime {
		return 0
	}
	return min(age, now.Sub(s.report.probedAt))
}
