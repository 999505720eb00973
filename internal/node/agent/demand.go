package agent

import (
	"math"
	"sync"
	"time"
)

const (
	// demandTime is the time constant of the demand told to entries. They move
	// weights each second; a shorter one would show them single requests.
	demandTime = 2 * time.Second
	// loadScale is the demand that frames carry for slots that are all in use.
	loadScale = 1000
)

// demand measures the slot time that requests on the agent's own flows ask for,
// wherever they run, as a share of its slots' time. Entries move new flows by it.
// The slots in use would mislead them: a full server's requests run elsewhere, so
// that all servers look alike while one has too many flows.
type demand struct {
	mu    sync.Mutex // guards all below
	sum   time.Duration
	share float64
	last  time.Time
}

// add notes the slot time of one request.
func (d *demand) add(took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sum += took
}

// measure moves the mean on and returns it in thousandths.
func (d *demand) measure(now time.Time, slots int) uint32 {
	d.mu.Lock()
	defer d.mu.Unlock()
	step := now.Sub(d.last)
	if d.last.IsZero() || step <= 0 || slots <= 0 {
		d.last = now
		return 0
	}
	lately := d.sum.Seconds() / (step.Seconds() * float64(slots))
	part := 1 - math.Exp(-step.Seconds()/demandTime.Seconds())
	d.share += part * (lately - d.share)
	d.sum, d.last = 0, now
	return uint32(min(d.share*loadScale, math.MaxUint16))
}
