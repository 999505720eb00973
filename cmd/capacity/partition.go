package main

import (
	"fmt"
	"sync"
	"time"

	"mangowinch/internal/ctrl/scale"
)

// partitionFor is how long the regions don't reach each other.
const partitionFor = 3 * time.Minute

// partition: what regions that lose each other cost, and how soon they agree again. The
// platform is down, and one entry saw a change during the partition.
func partition(options) error {
	sizes := []int{28, 56, 112, 224, 800}
	rows := make([]string, len(sizes))
	faults := make([]error, len(sizes))
	var running sync.WaitGroup
	for i, n := range sizes {
		running.Go(func() { rows[i], faults[i] = partitionOf(n) })
	}
	running.Wait()
	fmt.Print("\n### Two regions parted for 3 minutes, platform down (50 documents; calls within the process)\n\n" +
		"| entries | bytes of an entry a second: before, parted | calls of an entry a second that fail | have the change: before the end | all have it after |\n" +
		"|---|---|---|---|---|\n")
	for i := range sizes {
		if faults[i] != nil {
			return faults[i]
		}
		fmt.Println(rows[i])
	}
	return nil
}

func partitionOf(n int) (row string, err error) {
	f := scale.Start(scale.Size{Entries: n, Documents: 50, TextSize: 2000, InMemory: true})
	defer f.Stop()
	if _, err := f.Await(f.Processes(), 2*time.Minute); err != nil {
		return "", err
	}
	time.Sleep(settle)
	f.Platform.SetDown(true)
	before := f.Measure(20 * time.Second)
	failed := f.SetPartitioned(true)
	f.Offer(3, 2)
	parted := f.Measure(partitionFor)
	have := f.CountAtLeast(3, 2)
	failed = f.SetPartitioned(false) - failed
	start := time.Now()
	for f.CountAtLeast(3, 2) < n && time.Since(start) < time.Minute {
		time.Sleep(20 * time.Millisecond)
	}
	took := time.Since(start).Round(10 * time.Millisecond)
	return fmt.Sprintf("| %d | %.0f, %.0f | %.2f | %d of %d | %v |", n, before.Entry.Bytes, parted.Entry.Bytes,
		float64(failed)/float64(n)/partitionFor.Seconds(), have, n, took), nil
}
