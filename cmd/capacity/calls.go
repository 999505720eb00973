package main

import (
	"fmt"
	"sync"
	"time"

	"mangowinch/internal/ctrl/scale"
)

// callCosts holds the numbers of calls to the platform from a fleet of one size.
type callCosts struct {
	entries                   int
	steady, waiting           float64
	change                    int
	domainRestart, domainPeak int
	outage, outagePeak        int
	recovery, recoveryPeak    int
	refillTime                time.Duration
	err                       error
}

// calls measures the calls to the platform by number of entries. All sizes run concurrently and in memory, since only
// calls are counted.
func calls(o options) error {
	sizes := []int{28, 56, 112, 224, 448, 800}
	costs := make([]callCosts, len(sizes))
	var running sync.WaitGroup
	for i, n := range sizes {
		running.Go(func() { costs[i] = measureCalls(n) })
	}
	running.Wait()
	fmt.Print("\n### Calls to the platform, by entries (50 documents; calls within the process, 1 ms one way)\n\n" +
		"| entries | a second, steady | watches that wait | in 5 s after a change | in 20 s after a domain's restart: all, busiest second, full after |" +
		" a second in an outage of 90 s: mean, busiest second | in 20 s after it: all, busiest second |\n|---|---|---|---|---|---|---|\n")
	var x, steady, change, domain, outage []float64
	for _, c := range costs {
		if c.err != nil {
			return c.err
		}
		fmt.Printf("| %d | %.2f | %.0f | %d | %d, %d, %v | %.2f, %d | %d, %d |\n", c.entries, c.steady, c.waiting, c.change,
			c.domainRestart, c.domainPeak, c.refillTime.Round(10*time.Millisecond), float64(c.outage)/90, c.outagePeak, c.recovery, c.recoveryPeak)
		x = append(x, float64(c.entries))
		steady = append(steady, c.steady)
		change = append(change, float64(c.change))
		domain = append(domain, float64(c.domainPeak))
		outage = append(outage, float64(c.outagePeak))
	}
	printHead("Calls to the platform: fit", "entries", len(x))
	printRow("steady", "calls a second", x, steady, 800)
	printRow("after a change", "calls in 5 s", x, change, 800)
	printRow("domain restart", "calls in the busiest second", x, domain, 800)
	printRow("outage", "calls in the busiest second", x, outage, 800)
	return nil
}

func measureCalls(n int) (c callCosts) {
	c.entries = n
	f := scale.Start(scale.Size{Entries: n, Documents: 50, TextSize: 2000, InMemory: true})
	defer f.Stop()
	if _, c.err = f.Await(f.Processes(), 2*time.Minute); c.err != nil {
		return c
	}
	time.Sleep(settleTime)
	start := time.Now()
	time.Sleep(50 * time.Second) // long enough for every watch to time out twice
	all, _, waiting := f.Platform.Calls(start)
	c.steady, c.waiting = float64(all)/50, float64(waiting)

	start = time.Now()
	f.Change(7, 2)
	time.Sleep(5 * time.Second)
	c.change, _, _ = f.Platform.Calls(start)

	start = time.Now()
	if c.refillTime, c.err = f.Await(f.RestartDomain("domain-1"), time.Minute); c.err != nil {
		return c
	}
	time.Sleep(20*time.Second - c.refillTime)
	c.domainRestart, c.domainPeak, _ = f.Platform.Calls(start)

	start = time.Now()
	f.Platform.SetDown(true)
	time.Sleep(90 * time.Second)
	c.outage, c.outagePeak, _ = f.Platform.Calls(start)
	start = time.Now().Add(time.Second)
	f.Platform.SetDown(false)
	f.Change(8, 2)
	time.Sleep(20 * time.Second)
	c.recovery, c.recoveryPeak, _ = f.Platform.Calls(start)
	return c
}
