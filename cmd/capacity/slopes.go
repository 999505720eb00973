package main

import (
	"fmt"
	"time"

	"mangowinch/internal/ctrl/scale"
	"mangowinch/internal/flow/order"
)

// entries measures the cost of an entry by the number of entries.
func entries(o options) error {
	var x, bytes, cpu, memory []float64
	for _, n := range []int{28, 56, 112, 224} {
		f, m, err := startSettled(scale.Size{Entries: n, Documents: 50, TextSize: 2000})
		if err != nil {
			f.Stop()
			return err
		}
		c := f.Measure(o.Window)
		f.Stop()
		x = append(x, float64(n))
		bytes = append(bytes, c.Entry.Bytes)
		cpu = append(cpu, c.CPU/float64(n))
		memory = append(memory, m/1024)
	}
	printHead("Entries: an entry with 50 documents of 2 KB, nothing changes", "entries", len(x))
	printRow("bytes of an entry", "a second", x, bytes, 800)
	printRow("processor time of an entry", "ms a second", x, cpu, 800)
	printRow("memory of an entry", "KB", x, memory, 800)
	return nil
}

// documents measures the cost and the start of an entry by the number of documents.
func documents(o options) error {
	var x, bytes, cpu, memory, fill, got, suspects []float64
	for _, n := range []int{160, 325, 650, 1300} {
		f, m, err := startSettled(scale.Size{Entries: 28, Documents: n, TextSize: 2000})
		if err != nil {
			f.Stop()
			return err
		}
		c := f.Measure(o.Window)
		suspected := 0.0
		for _, p := range f.Processes() {
			suspected += float64(p.Node.Status().Suspected) / 28
		}
		restarted := f.RestartDomain("domain-1")
		took, err := f.Await(restarted, time.Minute)
		if err != nil {
			f.Stop()
			return err
		}
		received := 0.0
		for _, p := range restarted {
			received += float64(p.Meter.Usage(time.Now()).Received) / float64(len(restarted))
		}
		f.Stop()
		x = append(x, float64(n))
		bytes = append(bytes, c.Entry.Bytes)
		cpu = append(cpu, c.CPU/28)
		memory = append(memory, m/1024)
		fill = append(fill, took.Seconds())
		got = append(got, received/1024)
		suspects = append(suspects, suspected)
	}
	printHead("Documents: one of 28 entries, documents of 2 KB", "documents", len(x))
	printRow("bytes of an entry", "a second", x, bytes, 1300)
	printRow("processor time of an entry", "ms a second", x, cpu, 1300)
	printRow("memory of an entry", "KB", x, memory, 1300)
	printRow("until all entries of a restarted domain are full", "s", x, fill, 1300)
	printRow("peers that an entry suspects after the start", "of 27", x, suspects, 1300)
	printRow("received by an entry until full", "KB", x, got, 1300)
	return nil
}

// agents measures the cost of entries and agents by the number of agents.
func agents(o options) error {
	var x, entry, agent, cpu []float64
	for _, n := range []int{8, 16, 24, 32} {
		f, _, err := startSettled(scale.Size{Entries: 14, Documents: 50, TextSize: 2000, Services: n, Agents: 5})
		if err != nil {
			f.Stop()
			return err
		}
		c := f.Measure(o.Window)
		f.Stop()
		x = append(x, float64(n*5)/14)
		entry = append(entry, c.Entry.Bytes)
		agent = append(agent, c.Agent.Bytes)
		cpu = append(cpu, c.CPU/14)
	}
	printHead("Agents: 14 entries, services of 5 agents; by agents for each entry", "agents for each entry", len(x))
	printRow("bytes of an entry", "a second", x, entry, 8.5)
	printRow("bytes of an agent", "a second", x, agent, 8.5)
	printRow("processor time of an entry with its agents", "ms a second", x, cpu, 8.5)
	return nil
}

// peers measures the cost of an agent by the number of agents of its service.
func peers(o options) error {
	var x, agent, cpu, memory []float64
	for _, n := range []int{2, 3, 5, 7} {
		services := 84 / n
		f, m, err := startSettled(scale.Size{Entries: 3, Documents: services, TextSize: 2000, Services: services, Agents: n})
		if err != nil {
			f.Stop()
			return err
		}
		c := f.Measure(o.Window)
		f.Stop()
		x = append(x, float64(n))
		agent = append(agent, c.Agent.Bytes)
		cpu = append(cpu, c.CPU/float64(services*n))
		memory = append(memory, m/1024)
	}
	printHead("Agents of a service: 84 agents in all, 3 entries", "agents of a service", len(x))
	printRow("bytes of an agent", "a second", x, agent, 7)
	printRow("processor time of an agent (with its share of the entries)", "ms a second", x, cpu, 7)
	printRow("memory of a process", "KB", x, memory, 7)
	return nil
}

// changes measures the cost of an entry by the rate of changes.
func changes(o options) error {
	var x, bytes, cpu []float64
	f, _, err := startSettled(scale.Size{Entries: 56, Documents: 100, TextSize: 2000})
	defer f.Stop()
	if err != nil {
		return err
	}
	revision := order.Revision(1)
	for _, n := range []int{0, 20, 40, 80} { // per minute
		stop := make(chan struct{})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for n > 0 {
				select {
				case <-stop:
					return
				case <-time.After(time.Minute / time.Duration(n)):
				}
				revision++
				f.Change(int(revision)%100, revision)
			}
		}()
		c := f.Measure(2 * o.Window)
		close(stop)
		if n > 0 {
			<-ended
		}
		x = append(x, float64(n))
		bytes = append(bytes, c.Entry.Bytes)
		cpu = append(cpu, c.CPU/56)
	}
	printHead("Changes: 56 entries, 100 documents of 2 KB", "changes a minute", len(x))
	printRow("bytes of an entry", "a second", x, bytes, 790./1440)
	printRow("processor time of an entry", "ms a second", x, cpu, 790./1440)
	return nil
}

// spread measures the time from the acceptance of a document until it is in force, by fleet size, faults and document
// size.
func spread(options) error {
	fmt.Print("\n### From accepted by the platform to in force, at entries and agents (7 services of 5 agents)\n\n" +
		"| case | processes | changes | p50 | p99 | max | not within 7 s |\n|---|---|---|---|---|---|---|\n")
	healthy := scale.Size{Documents: 50, TextSize: 2000, Services: 7, Agents: 5}
	for _, n := range []int{28, 56, 112, 224} {
		s := healthy
		s.Entries = n
		if err := measureSpread("healthy", s, 10, false); err != nil {
			return err
		}
	}
	lossy := healthy
	lossy.Entries, lossy.Loss = 112, 0.2
	if err := measureSpread("a fifth of the segments lost", lossy, 20, false); err != nil {
		return err
	}
	down := healthy
	down.Entries = 112
	if err := measureSpread("platform down after one process received it", down, 20, true); err != nil {
		return err
	}
	large := healthy
	large.Entries, large.TextSize, large.Documents, large.Services = 56, 1_000_000, 1, 1
	if err := measureSpread("a megabyte of plain text, platform down after one process received it", large, 1, true); err != nil {
		return err
	}
	whole := healthy
	whole.Entries, whole.InMemory = 800, true
	return measureSpread("800 entries in one process, 1 ms one way", whole, 10, false)
}

func measureSpread(what string, s scale.Size, changes int, platformDown bool) error {
	f, _, err := startSettled(s)
	defer f.Stop()
	if err != nil {
		return err
	}
	if s.TextSize > 100_000 {
		time.Sleep(2 * time.Minute) // the start used up the traffic budget, which refills in this time
	}
	times := f.MeasureSpread(changes, time.Second, platformDown)
	exceeded := 0
	for _, t := range times {
		if t > 7*time.Second {
			exceeded++
		}
	}
	fmt.Printf("| %s | %d entries, %d agents | %d | %v | %v | %v | %d of %d |\n", what, s.Entries, s.Services*s.Agents, changes,
		scale.Quantile(times, 0.5).Round(time.Millisecond), scale.Quantile(times, 0.99).Round(time.Millisecond),
		scale.Quantile(times, 1).Round(time.Millisecond), exceeded, len(times))
	return nil
}
