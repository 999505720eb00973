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

// Cost is the average cost of one process of a role.
type Cost struct {
	Bytes float64 // sent and received per second
	CPU   float64 // milliseconds per second, averaged over the processes of all roles
}

// Costs are the costs by role and those of the whole fleet.
type Costs struct {
	Entry, Agent Cost
	CPU          float64 // milliseconds per second, of the whole program
	Calls        float64 // calls to the platform per second
}

// Measure measures the costs of a fleet over a duration.
func (f *Fleet) Measure(d time.Duration) Costs {
	before := map[*Process]uint64{}
	processes := f.Processes()
	for _, p := range processes {
		u := p.Meter.Usage(time.Now())
		before[p] = u.Sent + u.Received
	}
	start, cpu := time.Now(), processCPUTime()
	time.Sleep(d)
	took := time.Since(start).Seconds()
	c := Costs{CPU: (processCPUTime() - cpu).Seconds() * 1000 / took}
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

func processCPUTime() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// MemoryInUse returns the bytes of heap objects and stacks after a garbage collection.
func MemoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// MeasureSpread makes changes with a pause between them and returns the sorted delays until each was in
// force at each process that should have it. If oneObserver is set, only one entry reads each change, and
// the platform is down from then on.
func (f *Fleet) MeasureSpread(changes int, pause time.Duration, oneObserver bool) []time.Duration {
	var mu sync.Mutex
	var delays []time.Duration
	for change := range changes {
		document := change % max(f.Size.Services, 1)
		revision := order.Revision(change + 2)
		text := f.text(document, revision)
		start := time.Now()
		var running sync.WaitGroup
		for _, p := range f.Processes() {
			if p.Service != "" && p.Service != documentName(document) {
				continue
			}
			running.Go(func() {
				if f.awaitRevision(p, document, revision, start) {
					mu.Lock()
					defer mu.Unlock()
					delays = append(delays, time.Since(start))
				}
			})
		}
		if oneObserver {
			f.Platform.SetDown(true)
			_, _ = f.Processes()[change%f.Size.Entries].Store.Offer(documentName(document), revision, text, "platform")
		} else {
			f.Platform.Set(documentName(document), revision, text)
		}
		running.Wait()
		time.Sleep(pause)
	}
	slices.Sort(delays)
	return delays
}

// spreadTimeout is the delay after which a change counts as lost.
const spreadTimeout = time.Minute

// awaitRevision waits until a process has the given revision of a document or a newer one. It returns false
// if that takes longer than spreadTimeout.
func (f *Fleet) awaitRevision(p *Process, document int, revision order.Revision, start time.Time) bool {
	for time.Since(start) < spreadTimeout {
		changed := p.Store.Changed()
		if e := p.Store.View().Documents[documentName(document)]; e != nil && e.Revision >= revision {
			return true
		}
		timer := time.NewTimer(spreadTimeout - time.Since(start))
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
	return false
}

// Quantile returns the q-quantile of sorted durations.
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
