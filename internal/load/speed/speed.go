// Package speed estimates, at an agent, how long its server takes for a request.
//
// Servers of one service differ in speed, and any of them may slow down. A server that takes three times as long
// as the others is as busy with a third of their requests, so placement that counts requests gives its callers
// the longest wait.
//
// The meter keeps a moving geometric mean for each called address, because requests to different addresses differ
// in length, and an overall figure weighted by each address's share of the requests. The geometric mean is hardly
// moved by the few requests that take many times the usual time. After a pause a sample weighs more, so that the
// recovery of a server that is seldom used shows within a few samples. A request in progress that already lasts
// longer than expected counts as one more sample, so that a sudden slow-down shows before the first answer. The
// samples of an address are forgotten after half a minute without a further one.
//
// The meter does not know the server's queue: the caller passes in the time that the server spent on a request,
// without the time for which the request waited for a slot. It does not judge whether an answer is an error
// (package quick) and does not compare servers (package steer).
//
// Package speed performs no I/O: the caller passes in the time. A Meter is not safe for concurrent use.
//
// # Usage
//
//	var m speed.Meter
//	m.Record(now, called, took)
//	expected := m.Overall(now, oldest)
//	m.Reset() // at a new start of the server
package speed

import (
	"math"
	"net/netip"
	"time"
)

const (
	// minWeight is the weight of a sample among many: the mean then extends over the last 24.
	minWeight = 1.0 / 24
	// maxWeight is the weight of a sample after a pause. It is well below 1, so that no single sample determines the
	// mean.
	maxWeight = 1.0 / 4
	// pause is the time without samples after which a sample has maxWeight.
	pause = time.Second
	// shareWeight is the weight of one request in the shares of the called addresses.
	shareWeight = 1.0 / 256
	// minShare is the share below which an address is forgotten when another one needs its place.
	minShare = shareWeight / 16
	// sampleLifetime is the time without samples after which earlier ones are forgotten: the server may have any
	// speed by then. Entries can't tell the age of an estimate, because agents repeat it in each report.
	sampleLifetime = 30 * time.Second
	// maxAddresses bounds the memory used for called addresses.
	maxAddresses = 256
)

// Meter is the service time of one server. The zero value has no samples.
type Meter struct {
	kinds map[netip.AddrPort]*kind
}

// kind holds the samples of one called address.
type kind struct {
	meanLog float64 // mean of the logarithm of the time in seconds
	last    time.Time
	share   float64 // of the requests, decayed
	count   int
}

// Record records the time that the server spent on a request to a called address.
func (m *Meter) Record(now time.Time, called netip.AddrPort, took time.Duration) {
	if took <= 0 {
		return
	}
	k := m.kind(called)
	if k == nil {
		return
	}
	if k.expired(now) {
		k.count = 0
	}
	k.count++
	k.meanLog += k.weight(now, k.count) * (math.Log(took.Seconds()) - k.meanLog)
	k.last = now
	for _, o := range m.kinds {
		o.share *= 1 - shareWeight
	}
	k.share += shareWeight
}

// kind returns the samples of a called address, or nil if there is no room for another address.
func (m *Meter) kind(called netip.AddrPort) *kind {
	if k := m.kinds[called]; k != nil {
		return k
	}
	if len(m.kinds) >= maxAddresses {
		m.forget()
	}
	if len(m.kinds) >= maxAddresses {
		return nil
	}
	if m.kinds == nil {
		m.kinds = map[netip.AddrPort]*kind{}
	}
	k := &kind{}
	m.kinds[called] = k
	return k
}

// forget removes the addresses that are hardly called any more.
func (m *Meter) forget() {
	for a, k := range m.kinds {
		if k.share < minShare {
			delete(m.kinds, a)
		}
	}
}

// weight returns the weight of a sample that comes now. count is the number of samples including this one.
func (k *kind) weight(now time.Time, count int) float64 {
	sinceLast := float64(now.Sub(k.last)) / float64(pause)
	w := min(max(minWeight, sinceLast*maxWeight), maxWeight)
	return max(w, 1/float64(count))
}

// expired reports whether the last sample is too old to say anything about the server.
func (k *kind) expired(now time.Time) bool { return now.Sub(k.last) >= sampleLifetime }

// exceeded reports whether a request that has lasted for a time takes longer than expected.
func (k *kind) exceeded(lasted time.Duration) bool { return lasted.Seconds() > math.Exp(k.meanLog) }

// expected returns the expected time of a request in seconds. oldest is how long the server has spent on the oldest
// request in progress.
func (k *kind) expected(now time.Time, oldest time.Duration) float64 {
	if !k.exceeded(oldest) {
		return math.Exp(k.meanLog)
	}
	return math.Exp(k.meanLog + k.weight(now, k.count+1)*(math.Log(oldest.Seconds())-k.meanLog))
}

// Overall returns the expected time of a request to any address, weighted by the shares of the addresses, or 0 if
// it is unknown: there are no samples, or none for sampleLifetime and no request that takes longer. oldest returns
// how long the server has spent on the oldest request in progress to an address; if it is nil, none is in progress.
func (m *Meter) Overall(now time.Time, oldest func(called netip.AddrPort) time.Duration) time.Duration {
	sum, shares := 0.0, 0.0
	for a, k := range m.kinds {
		lasted := time.Duration(0)
		if oldest != nil {
			lasted = oldest(a)
		}
		if k.expired(now) && !k.exceeded(lasted) {
			continue
		}
		sum += k.share * k.expected(now, lasted)
		shares += k.share
	}
	if shares == 0 {
		return 0
	}
	return seconds(sum / shares)
}

// Reset forgets all samples.
func (m *Meter) Reset() { *m = Meter{} }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
