package agent

import (
	"math"
	"sync"
	"time"
)

const (
	// demandTime is the time constant of the demand that entries receive. They adjust
	// weights each second; a shorter constant would show them single requests.
	demandTime = 2 * time.Second
	// loadScale is the value in frames for a demand that takes all slots all the time.
	loadScale = 1000
)

// demand measures the slot time that requests on the agent's own flows take, wherever
// they run, as a share of the time of its server's slots. Entries shift new flows by it.
// The number of slots in use would mislead them: requests of a full server run elsewhere,
// so that all servers look alike while one has too many flows.
type demand struct {
	mu    sync.Mutex // guards all below
	sum   time.Duration
	share float64
	last  time.Time
}

// add adds the slot time of one request.
func (d *demand) add(took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sum += took
}

// measure updates the mean and returns it in units of 1/loadScale.
func (d *demand) measure(now time.Time, slots int) uint32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	step := now.Sub(d.last)
	if d.last.IsZero() || step <= 0 || slots <= 0 {
		d.last = now
		return 0
	}
	recent := d.sum.Seconds() / (step.Seconds() * float64(slots))
	weight := 1 - math.Exp(-step.Seconds()/demandTime.Seconds())
	d.share += weight * (recent - d.share)
	d.sum, d.last = 0, now
	return uint32(min(d.share*loadScale, math.MaxUint16))
}
