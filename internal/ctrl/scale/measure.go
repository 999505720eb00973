package scale

import (
	"math"
	"runtime"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
	"gonum.org/v1/gonum/stat"

	"mangowinch/internal/ctrl/peers"
	"mangowinch/internal/flow/order"
)

// Cost is what one process of a role spends.
type Cost struct {
	Bytes float64 // a second, sent and received
	CPU   float64 // milliseconds a second; of all roles together, for each process
}

// Costs are the costs by role, and the memory of all for each process.
type Costs struct {
	Entry, Agent Cost
	CPU          float64 // milliseconds a second, of the whole program
	Calls        float64 // to the platform, a second
}

// Measure looks at a fleet for a while.
func (f *Fleet) Measure(d time.Duration) Costs {
	before := map[*Process]uint64{}
	processes := f.Processes()
	for _, p := range processes {
		u := p.Meter.Usage(time.Now())
		before[p] = u.Sent + u.Received
	}
	start, cpu := time.Now(), processorTime()
	time.Sleep(d)
	took := time.Since(start).Seconds()
	c := Costs{CPU: (processorTime() - cpu).Seconds() * 1000 / took}
	entries, agents := 0.0, 0.0
	for _, p := range processes {
		u := p.Meter.Usage(time.Now())
		bytes := float64(u.Sent+u.Received-before[p]) / took
		if p.Member.Role == peers.Entry {
			c.Entry.Bytes += bytes
			entries++
		} else {
			c.Agent.Bytes += bytes
			agents++
		}
	}
	c.Entry.Bytes /= max(entries, 1)
	c.Agent.Bytes /= max(agents, 1)
	calls, _, _ := f.Platform.Calls(start)
	c.Calls = float64(calls) / took
	return c
}

func processorTime() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// MemoryInUse returns the bytes of objects and stacks after a collection.
func MemoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// MeasureSpread makes changes with a pause between them, and returns how long each took to be in
// force at each process that is to have it. By one says that only one entry sees it at
// the platform, which is down from then on.
func (f *Fleet) MeasureSpread(changes int, pause time.Duration, byOne bool) []time.Duration {
	var mu sync.Mutex
	var all []time.Duration
	for change := range changes {
		document := change % max(f.Size.Services, 1)
		revision := order.Revision(change + 2)
		text := f.text(document, revision)
		start := time.Now()
		var running sync.WaitGroup
		for _, p := range f.Processes() {
			if p.Service != "" && p.Service != name(document) {
				continue
			}
			running.Go(func() {
				if f.reach(p, document, revision, start) {
					mu.Lock()
					defer mu.Unlock()
					all = append(all, time.Since(start))
				}
			})
		}
		if byOne {
			f.Platform.SetDown(true)
			_, _ = f.Processes()[change%f.Size.Entries].Store.Offer(name(document), revision, text, "platform")
		} else {
			f.Platform.Set(name(document), revision, text)
		}
		running.Wait()
		time.Sleep(pause)
	}
	slices.Sort(all)
	return all
}

// giveUp is when a change counts as lost.
const giveUp = time.Minute

func (f *Fleet) reach(p *Process, document int, revision order.Revision, start time.Time) bool {
	for time.Since(start) < giveUp {
		changed := p.Store.Changed()
		if e := p.Store.View().Documents[name(document)]; e != nil && e.Revision >= revision {
			return true
		}
		timer := time.NewTimer(giveUp - time.Since(start))
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
	return false
}

// Quantile returns a quantile of sorted times.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Line is a linear fit.
type Line struct {
	Base, Slope float64
	Residual    float64 // standard error of the points around the line
}

// Fit fits a line through points.
func Fit(x, y []float64) Line {
	l := Line{}
	l.Base, l.Slope = stat.LinearRegression(x, y, nil, false)
	for i := range x {
		l.Residual += math.Pow(y[i]-l.At(x[i]), 2)
	}
	l.Residual = math.Sqrt(l.Residual / float64(max(len(x)-2, 1)))
	return l
}

// At returns the line's value.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }
