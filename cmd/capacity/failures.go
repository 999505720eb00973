package main

import (
	"fmt"
	"time"

	"mangowinch/internal/ctrl/scale"
)

// failures measures what the simultaneous failure of several entries costs the others, and how late a change that is
// made a second later takes effect.
func failures(o options) error {
	var x, bytes, cpu, calls []float64
	rows := "\n| dead of 112 | p50 | p99 | max | not within 7 s |\n|---|---|---|---|---|\n"
	for _, n := range []int{0, 8, 16, 32, 64} {
		f, _, err := startSettled(scale.Size{Entries: 112, Documents: 50, TextSize: 2000})
		if err != nil {
			f.Stop()
			return err
		}
		f.Kill(n)
		time.Sleep(time.Second)
		times := f.MeasureSpread(1, 0, false)
		exceeded := 0
		for _, t := range times {
			if t > 7*time.Second {
				exceeded++
			}
		}
		rows += fmt.Sprintf("| %d | %v | %v | %v | %d of %d |\n", n, scale.Quantile(times, 0.5).Round(time.Millisecond),
			scale.Quantile(times, 0.99).Round(time.Millisecond), scale.Quantile(times, 1).Round(time.Millisecond), exceeded, len(times))
		c := f.Measure(o.Window)
		f.Stop()
		x = append(x, float64(n))
		bytes = append(bytes, c.Entry.Bytes)
		cpu = append(cpu, c.CPU/float64(112-n))
		calls = append(calls, c.Calls)
	}
	printHead("Failures: entries of 112 that die at once; the others in the 20 s after a change", "dead", len(x))
	printRow("bytes of an entry", "a second", x, bytes, 112./7)
	printRow("processor time of an entry", "ms a second", x, cpu, 112./7)
	printRow("calls to the platform", "a second", x, calls, 112./7)
	fmt.Print(rows)
	return nil
}
