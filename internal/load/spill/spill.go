// Package spill determines, at an entry, which part of a service's new flows goes to the servers of which failure
// domain.
//
// Callers of one failure domain may ask for more than its servers can do while servers of the others are idle. A
// fixed surcharge for the way to another failure domain compares single servers and not what failure domains can do:
// the local servers are full before any flow leaves, and then all flows of all entries leave for the few servers that
// reported an idle moment. Placing by load alone sends most flows across, since other failure domains hold most
// servers, although the local ones would do.
//
// A Split estimates for each failure domain the capacity, the slots over the time of a request, and the use, the
// requests in progress over the slots. By Little's law that is the rate of requests times the time of a request over the
// slots. As the slots become full, the requests that wait are added: they tell that too much is asked for, though not
// how much. Flows stay local while the use of the local servers is below a stated level. The excess
// goes to failure domains with capacity to spare, in proportion to it, and never brings them above the use that all
// known failure domains would have together. If none has capacity to spare, no more flows leave.
//
// The controller is integral with a dead zone, as in package shift: entries that act on the same old reports would
// otherwise all move at once. The older the reports, the smaller the steps.
//
// A Split does not select servers, which package steer does, and moves no open flow. It is forgotten at a restart,
// which begins with all flows local. It performs no I/O: the caller passes in the time. A Split is not safe for
// concurrent use.
//
// # Usage
//
//	s := spill.New("zg-a")
//	s.Report(now, agent, load.Busy, estimate.ServiceTime())
//	if s.Due(now) { s.Step(now, servers) } // before each use
//	if s.Known() { domain, ok := s.Draw(random.Float64()) }
package spill

import (
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"
)

const (
	// Interval is the time between steps.
	Interval = 250 * time.Millisecond
	// LocalUse is the use of the local servers up to which all flows stay local. The wait for a slot grows with
	// 1/(1-use): at this use it is about as long as the way to another failure domain, whose bytes cost the operator,
	// and it doubles with each half of the remaining capacity.
	LocalUse = 0.9
	// FullUse is the use from which a failure domain has no capacity to spare, whatever the use of the others is: a
	// request there takes with its wait half of a target of five times the time of a request.
	FullUse = 2.5
	// DeadZone is how far the local use may be above its level, relative to it, before flows leave.
	DeadZone = 0.2
	// ReportLifetime is the age at which a report no longer counts. A failure domain without a newer one has no
	// capacity to spare.
	ReportLifetime = 10 * time.Second
	// memory is the time after which a report has lost most of its weight against newer ones of the same server or of
	// other servers of the failure domain.
	memory = time.Second
	// fullFor is how long a failure domain counts as full by its last report. While it does, no flow goes there that
	// would bring a newer one.
	fullFor = time.Second
	// settleAges is how many ages of the reports a correction takes. An integral controller whose input is late by
	// one age does not overshoot if it takes at least e of them.
	settleAges = 3
	// minSettle is the shortest time of a correction: a flow's requests follow its opening.
	minSettle = time.Second
	// maxUse bounds the use by which one step is determined, and the requests per slot that count as waiting in one
	// report: a queue does not tell how much too much is asked for, and one server does not stand for the others.
	maxUse = 3
	// reportWeight is the weight of a report in a server's averages. A single one says little: the requests of a
	// server at a steady load vary by as much as their mean.
	reportWeight = 1.0 / 8
)

// Server is a server that may take new flows of the service.
type Server struct {
	Agent  netip.Addr
	Domain string
	Slots  int
}

// Split holds the parts of a service's new flows that go to each failure domain.
type Split struct {
	local   string
	reports map[netip.Addr]*report
	domains []Domain // that have servers, sorted by name
	stepped time.Time
	age     time.Duration // mean age of the reports of the local servers
}

// New returns a Split for an entry in a failure domain. All flows are local.
func New(local string) *Split {
	return &Split{local: local, reports: map[netip.Addr]*report{}}
}

// Due reports whether it is time for the next step.
func (s *Split) Due(now time.Time) bool { return now.Sub(s.stepped) >= Interval }

// Step adjusts the parts to the servers that may take new flows.
func (s *Split) Step(now time.Time, servers []Server) {
	s.setDomains(servers)
	for _, v := range servers {
		if s.reports[v.Agent] == nil {
			s.reports[v.Agent] = &report{}
		}
		s.reports[v.Agent].slots = max(v.Slots, 1)
	}
	elapsed := min(now.Sub(s.stepped), 4*Interval)
	s.stepped = now
	s.estimate(now, servers)
	s.restoreParts()
	if own := s.own(); own != nil {
		s.adjust(own, s.gain(elapsed))
	}
}

// gain returns the part of the way to the target that a step moves.
func (s *Split) gain(elapsed time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/(minSettle+settleAges*s.age).Seconds())
}

// Known reports whether the use of the local servers and of another failure domain is known.
func (s *Split) Known() bool {
	own, others := false, false
	for _, d := range s.domains {
		own = own || d.Known && d.Name == s.local
		others = others || d.Known && d.Name != s.local
	}
	return own && others
}

// Draw returns the failure domain of a new flow for a random number in [0, 1). It reports false if none has servers.
func (s *Split) Draw(random float64) (domain string, ok bool) {
	for _, d := range s.domains {
		if d.Part == 0 {
			continue
		}
		domain, ok = d.Name, true
		if random -= d.Part; random < 0 {
			break
		}
	}
	return domain, ok
}

// Spare reports whether a failure domain may have capacity to spare: it has, or nothing was heard of it for a while.
func (s *Split) Spare(now time.Time, domain string) bool {
	d := s.domain(domain)
	return d != nil && (d.spare(s.level()) > 0 || now.Sub(d.heardAt) >= fullFor)
}

// Local returns the part of the new flows that stays local.
func (s *Split) Local() float64 {
	if own := s.own(); own != nil {
		return own.Part
	}
	return 0
}

// Domains returns the failure domains that have servers, sorted by name. The result must not be modified.
func (s *Split) Domains() []Domain { return s.domains }

// Retain removes the reports of all agents that are not listed, and reports whether any is left.
func (s *Split) Retain(agents []netip.Addr) (left bool) {
	for a := range s.reports {
		if !slices.Contains(agents, a) {
			delete(s.reports, a)
		}
	}
	return len(s.reports) > 0
}

func (s *Split) own() *Domain { return s.domain(s.local) }

func (s *Split) domain(name string) *Domain {
	for i := range s.domains {
		if s.domains[i].Name == name {
			return &s.domains[i]
		}
	}
	return nil
}

// setDomains sets the failure domains to those that have servers.
func (s *Split) setDomains(servers []Server) {
	var domains []Domain
	for _, v := range servers {
		if slices.ContainsFunc(domains, func(d Domain) bool { return d.Name == v.Domain }) {
			continue
		}
		d := Domain{Name: v.Domain}
		if old := s.domain(v.Domain); old != nil {
			d = *old
		}
		domains = append(domains, d)
	}
	slices.SortFunc(domains, func(a, b Domain) int { return strings.Compare(a.Name, b.Name) })
	first := s.stepped.IsZero()
	s.domains = domains
	if own := s.own(); first && own != nil {
		own.Part = 1
	}
}

// restoreParts makes the parts sum to one after failure domains have lost their servers or got new ones. If none of
// the remaining ones had a part, each gets one by its capacity. Local servers that return begin with theirs.
func (s *Split) restoreParts() {
	capacity, sum := 0.0, 0.0
	for _, d := range s.domains {
		capacity += d.Capacity
	}
	if own := s.own(); own != nil && own.Part == 0 {
		own.Part = own.Capacity / capacity
	}
	for _, d := range s.domains {
		sum += d.Part
	}
	for i := range s.domains {
		d := &s.domains[i]
		if sum > 0 {
			d.Part /= sum
			continue
		}
		d.Part = d.Capacity / capacity
	}
}

// adjust moves the parts towards their targets by the gain.
func (s *Split) adjust(own *Domain, gain float64) {
	level := s.level()
	spare, excess := 0.0, 0.0
	for _, d := range s.domains {
		spare += d.spare(level)
		excess += d.excess(level)
	}
	local := s.localTarget(own, level, spare, excess)
	others := 1 - own.Part
	for i := range s.domains {
		d := &s.domains[i]
		target := local
		if d.Name != s.local {
			target = (1 - local) * d.portion(level, spare, others)
		}
		d.Part += gain * (target - d.Part)
	}
	s.normalize(local)
}

// minPart is the part of the remote flows below which they are not worth a share of their own.
const minPart = 1e-3

// normalize makes the parts sum to one, and ends a crossing of nearly nothing if all flows are to be local. A first step
// away may be as small.
func (s *Split) normalize(local float64) {
	sum := 0.0
	for _, d := range s.domains {
		sum += d.Part
	}
	for i := range s.domains {
		s.domains[i].Part /= sum
	}
	own := s.own()
	if own == nil || local < 1 || own.Part < 1-minPart {
		return
	}
	for i := range s.domains {
		s.domains[i].Part = 0
	}
	own.Part = 1
}

// portion returns the part of the flows to other failure domains that goes to this one.
func (d *Domain) portion(level, spare, others float64) float64 {
	switch {
	case spare > 0:
		return d.spare(level) / spare
	case others > 0:
		return d.Part / others
	default:
		return 0
	}
}

// localTarget returns the part of the flows that brings the local servers to the level, as far as the others have the
// capacity for the rest. Failure domains above the level get what is to spare in proportion to their excess. If nothing
// is known of the local servers, all flows stay local.
func (s *Split) localTarget(own *Domain, level, spare, excess float64) float64 {
	use := min(own.Use, maxUse)
	switch {
	case !own.Known || use == 0:
		return 1
	case use < level:
		return min(1, own.Part*level/use)
	case use > level*(1+DeadZone):
		moved := (use - level) * min(1, spare/excess)
		return own.Part * (1 - moved/use)
	default:
		return own.Part
	}
}
