package edge

import (
	"net/netip"
	"time"

	"mangowinch/internal/flow/owner"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/load/queue"
	"mangowinch/internal/load/usage"
)

// Sharing of room between callers (package usage).

const (
	// maxRefused limits the callers whose last refusal is remembered, and maxExcluded those that count as excluded.
	// A caller is excluded if a flow of it was refused because of its use.
	maxRefused  = 4096
	maxExcluded = 16
	// defaultRetryTime is the time after a refusal in which a new flow of the caller counts as a retry, if the
	// route has no timeout.
	defaultRetryTime = time.Second
	// exclusionTime is how long a caller counts as excluded. In this time no further line is logged for it.
	exclusionTime = 30 * time.Second
	// upkeepInterval is the time between two scans for refusals and exclusions that have expired.
	upkeepInterval = time.Second
	// heaviestShown is the number of callers that the status shows.
	heaviestShown = 10
)

// shares counts what the callers of this entry use, and determines their levels. A nil shares counts nothing and
// returns level 0 for each caller.
type shares struct {
	callers    *usage.Callers
	counter    *usage.Counter
	refused    map[attempt]time.Time      // until when the next flow counts as a retry
	excluded   map[queue.Caller]time.Time // since when a caller counts as excluded
	lastUpkeep time.Time
}

// attempt is what a caller tries again after a refusal.
type attempt struct {
	caller  [4]byte
	service netip.AddrPort
}

func newShares(c *Config) *shares {
	if c.Shares == nil || c.Off.Shares {
		return nil
	}
	return &shares{
		callers:  c.Shares,
		counter:  usage.New(usage.DefaultLimit),
		refused:  map[attempt]time.Time{},
		excluded: map[queue.Caller]time.Time{},
	}
}

// caller returns the caller of a flow.
func (s *shares) caller(f segs.Flow) queue.Caller {
	return s.callers.Identify(netip.AddrFrom4(f.Caller))
}

// open records that a flow is being placed, and returns its caller's level.
func (s *shares) open(now time.Time, f segs.Flow) (level uint8) {
	if s == nil {
		return 0
	}
	tried := attempt{f.Caller, f.ServiceAddr()}
	if until, ok := s.refused[tried]; ok && now.Before(until) {
		retried.Inc()
	}
	delete(s.refused, tried)
	level = s.level(now, f)
	countLevel(level)
	return level
}

// level returns the level of what the caller of a flow uses.
func (s *shares) level(now time.Time, f segs.Flow) uint8 {
	if s == nil {
		return 0
	}
	caller := s.caller(f)
	return s.counter.Level(now, caller, s.callers.Weight(caller))
}

// charge charges a caller for a flow that a server has opened, or for a further request on it.
func (s *shares) charge(now time.Time, f segs.Flow) {
	if s != nil {
		s.counter.Add(now, s.caller(f), 1)
	}
}

// refuse records that a flow was refused. Until the given time, the next flow of its caller to the same address counts
// as a retry. It returns the caller and its level, and reports whether the caller begins to count as excluded: the
// servers are busy, and the level is above 0.
func (s *shares) refuse(now time.Time, f segs.Flow, until time.Time, busy bool) (caller queue.Caller, level uint8, first bool) {
	if s == nil {
		return queue.Caller{}, 0, false
	}
	caller = s.caller(f)
	level = s.level(now, f)
	if len(s.refused) < maxRefused {
		s.refused[attempt{f.Caller, f.ServiceAddr()}] = until
	}
	if _, known := s.excluded[caller]; !busy || level == 0 || known || len(s.excluded) >= maxExcluded {
		return caller, level, false
	}
	s.excluded[caller] = now
	return caller, level, true
}

// tick forgets old refusals and exclusions, and sets the part of the callers' flows that this entry sees.
func (s *shares) tick(now time.Time, entryShare func() float64) {
	if s == nil {
		return
	}
	if now.Sub(s.lastUpkeep) < upkeepInterval {
		return
	}
	s.lastUpkeep = now
	s.counter.SetScale(entryShare())
	for a, until := range s.refused {
		if !now.Before(until) {
			delete(s.refused, a)
		}
	}
	for c, since := range s.excluded {
		if now.Sub(since) > exclusionTime {
			delete(s.excluded, c)
		}
	}
}

// recordRefusal records that a flow is refused.
func (e *Entry) recordRefusal(now time.Time, f segs.Flow, why string) {
	retryTime := defaultRetryTime
	if r := e.Log.View().Route(f.ServiceAddr()); r != nil && r.Timeout > 0 {
		retryTime = r.Timeout
	}
	if caller, level, first := e.shares.refuse(now, f, now.Add(retryTime), why == "busy"); first {
		e.Events.State("caller-behind").Stringer("caller", caller).Uint8("usage", level).Send()
	}
}

// chargeOpened charges the caller of a flow that a server has opened, once.
func (e *Entry) chargeOpened(now time.Time, p *owner.EntryFlow, f segs.Flow) {
	if !p.Charged {
		p.Charged = true
		e.shares.charge(now, f)
	}
}

// chargeRequest charges the caller of an open flow for a request that has begun. The charge for the flow includes the
// first one.
func (e *Entry) chargeRequest(now time.Time, p *owner.EntryFlow, f segs.Flow) {
	if p.Charged && p.Requests > 1 {
		e.shares.charge(now, f)
		return
	}
	e.chargeOpened(now, p, f) // the message Opened was lost, or another entry received it
}

// HeaviestCallers returns the callers that use the most at this entry, heaviest first; none if room is not shared
// between callers.
func (e *Entry) HeaviestCallers(now time.Time) []usage.Use {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.shares == nil {
		return nil
	}
	return e.shares.counter.Heaviest(now, heaviestShown)
}
