package pace

import (
	"slices"
	"time"
)

const (
	// basePeriod and basePeriods give the time over which the least delay is remembered. It is forgotten
	// because the paths between instances change.
	basePeriod  = 10 * time.Second
	basePeriods = 6
	// maxOrigins bounds the memory for origins. Answers of further ones aren't compared.
	maxOrigins = 64
)

// origin holds the delays of answers that come from one failure domain.
type origin struct {
	bases   []time.Duration // least delays of the latest periods, the current one last
	baseAt  time.Time       // when the current period began
	least   time.Duration   // least delay of the current interval
	samples int             // in the current interval
}

// learnBase includes a delay in the least one of the current period.
func (o *origin) learnBase(now time.Time, d time.Duration) {
	if len(o.bases) == 0 || now.Sub(o.baseAt) >= basePeriod {
		o.bases = append(o.bases, d)
		o.baseAt = now
		if len(o.bases) > basePeriods {
			o.bases = slices.Delete(o.bases, 0, 1)
		}
		return
	}
	last := len(o.bases) - 1
	o.bases[last] = min(o.bases[last], d)
}

// sample records a delay of the current interval.
func (o *origin) sample(d time.Duration) {
	if o.samples == 0 || d < o.least {
		o.least = d
	}
	o.samples++
}

// shift raises the least delays by d.
func (o *origin) shift(d time.Duration) {
	for i := range o.bases {
		o.bases[i] += d
	}
}

// originOf returns the origin for a failure domain, or nil if there are too many. The first answer of an origin
// is assumed to exceed the least delay by as much as those of the other origins did.
func (l *Link) originOf(now time.Time, domain string, d time.Duration) *origin {
	o := l.origins[domain]
	if o == nil && len(l.origins) < maxOrigins {
		o = &origin{}
		o.learnBase(now, max(0, d-l.excess))
		l.origins[domain] = o
	}
	return o
}

// takeSamples ends an interval. It returns the number of answers in it and the least delay beyond the base of
// its origin.
func (l *Link) takeSamples() (samples int, excess time.Duration) {
	for _, o := range l.origins {
		if o.samples == 0 {
			continue
		}
		e := o.least - slices.Min(o.bases)
		if samples == 0 || e < excess {
			excess = e
		}
		samples += o.samples
		o.samples = 0
	}
	return samples, excess
}

// countSamples returns the number of answers in the current interval.
func (l *Link) countSamples() (samples int) {
	for _, o := range l.origins {
		samples += o.samples
	}
	return samples
}
