package main

import (
	"fmt"
	"sync"
	"time"

	"mangowinch/internal/ctrl/scale"
)

// partitionFor is the duration of the partition.
const partitionFor = 3 * time.Minute

// partition measures the traffic during a network partition of two regions, and the time until they agree after its end.
// The platform is down, and one entry receives a change during the partition.
func partition(options) error {
	sizes := []int{28, 56, 112, 224, 800}
	rows := make([]string, len(sizes))
	errs := make([]error, len(sizes))
	var running sync.WaitGroup
	for i, n := range sizes {
		running.Go(func() { rows[i], errs[i] = measurePartition(n) })
	}
	running.Wait()
	fmt.Print("\n### Two regions partitioned for 3 minutes, platform down (50 documents; calls within the process)\n\n" +
		"| entries | bytes of an entry a second: before, during | calls of an entry a second that fail | have the change: before the end | all have it after |\n" +
		"|---|---|---|---|---|\n")
	for i := range sizes {
		if errs[i] != nil {
			return errs[i]
		}
		fmt.Println(rows[i])
	}
	return nil
}

func measurePartition(n int) (row string, err error) {
	f := scale.Start(scale.Size{Entries: n, Documents: 50, TextSize: 2000, InMemory: true})
	defer f.Stop()
	if _, err := f.Await(f.Processes(), 2*time.Minute); err != nil {
		return "", err
	}
	time.Sleep(settleTime)
	f.Platform.SetDown(true)
	before := f.Measure(20 * time.Second)
	failed := f.SetPartitioned(true)
	f.Offer(3, 2)
	during := f.Measure(partitionFor)
	received := f.CountAtLeast(3, 2)
	failed = f.SetPartitioned(false) - failed
	start := time.Now()
	for f.CountAtLeast(3, 2) < n && time.Since(start) < time.Minute {
		time.Sleep(20 * time.Millisecond)
	}
	took := time.Since(start).Round(10 * time.Millisecond)
	return fmt.Sprintf("| %d | %.0f, %.0f | %.2f | %d of %d | %v |", n, before.Entry.Bytes, during.Entry.Bytes,
		float64(failed)/float64(n)/partitionFor.Seconds(), received, n, took), nil
}
