// Command bench measures the data path on loopback; see scripts/bench.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"mangowinch/internal/bench/entry"
	"mangowinch/internal/bench/flows"
	"mangowinch/internal/bench/load"
	"mangowinch/internal/bench/relay"
)

type command struct {
	Relay     relayCommand     `cmd:"" help:"Be a bare UDP relay."`
	Entry     entryCommand     `cmd:"" help:"Measure an entry against a bare UDP relay."`
	Load      loadCommand      `cmd:"" help:"Put a deployment under multiples of its capacity."`
	Flows     flowsCommand     `cmd:"" help:"Measure flows a second and memory for open flows."`
	Feeds     feedsCommand     `cmd:"" help:"Measure what kill -9 of each entry in turn does to open feeds."`
	Documents documentsCommand `cmd:"" help:"Measure how long a document takes to be in force everywhere."`
}

type relayCommand struct {
	Front  netip.AddrPort `arg:"" help:"Where the caller sends to."`
	Back   netip.AddrPort `arg:"" help:"Where the other side sends to."`
	Target netip.AddrPort `arg:"" help:"The other side."`
}

// Run relays until it is killed.
func (c *relayCommand) Run() error { return relay.Run(c.Front, c.Back, c.Target) }

type entryCommand struct {
	Program string        `default:"bin/mangowinch" help:"Path of mangowinch."`
	Size    int           `default:"1200" help:"Bytes of a datagram."`
	Window  int           `default:"64" help:"Datagrams under way."`
	Time    time.Duration `default:"3s" help:"Length of each measurement."`
	Rounds  int           `default:"3" help:"Measurements of each."`
}

// Run prints a row for each measurement and the ratio of the sums.
func (c *entryCommand) Run() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	rows, err := entry.Measure(entry.Plan{Program: c.Program, Self: self, Size: c.Size, Window: c.Window, Time: c.Time, Rounds: c.Rounds})
	if err != nil {
		return err
	}
	sums := make(map[string]entry.Row)
	fmt.Printf("%-8s %12s %12s %6s\n", "subject", "datagrams/s", "CPU/datagram", "lost")
	for _, r := range rows {
		fmt.Printf("%-8s %12.0f %12s %6d\n", r.Subject, r.Rate(), r.PerDatagram(), r.Lost)
		s := sums[r.Subject]
		s.Datagrams += r.Datagrams
		s.CPU += r.CPU
		sums[r.Subject] = s
	}
	fmt.Printf("ratio of CPU per datagram, entry to relay: %.2f\n", float64(sums["entry"].PerDatagram())/float64(sums["relay"].PerDatagram()))
	return nil
}

type loadCommand struct {
	Deployment string        `default:"examples/zagreb" help:"Directory of a deployment."`
	Binaries   string        `default:"bin" help:"Directory of the programs."`
	Service    string        `default:"doc-intake" help:"Service that is called."`
	Work       time.Duration `default:"20ms" help:"Time of a lookup at its server."`
	Deadline   time.Duration `default:"500ms" help:"Deadline of a lookup."`
	Flows      int           `default:"120" help:"Connections."`
	Times      []float64     `default:"0.7,1,1.2,2,5" help:"Multiples of the capacity."`
	Length     time.Duration `default:"10s" help:"Length of each load."`
}

// Run prints a row for each load.
func (c *loadCommand) Run() error {
	rows, err := load.Measure(context.Background(), load.Plan(*c))
	if err != nil {
		return err
	}
	fmt.Printf("%6s %8s %8s %8s %6s %8s %10s %10s %12s\n", "times", "sent", "in time", "refused", "rest", "goodput", "p50", "p99", "refusal p99")
	for _, r := range rows {
		fmt.Printf("%6.1f %8d %8d %8d %6d %7.1f%% %10s %10s %12s\n", r.Times, r.Sent, r.InTime, r.Refused, r.Other, 100*r.Goodput,
			r.P50.Round(100*time.Microsecond), r.P99.Round(100*time.Microsecond), r.RefusalP99.Round(100*time.Microsecond))
	}
	return nil
}

type flowsCommand struct {
	Deployment string        `default:"examples/zagreb" help:"Directory of a deployment."`
	Binaries   string        `default:"bin" help:"Directory of the programs."`
	Service    string        `default:"tracing-core" help:"Service whose flows are opened."`
	Steps      []int         `default:"700,1400,2800,5600" help:"Open flows over all agents."`
	Rate       time.Duration `default:"5s" help:"How long flows are opened for the rate."`
}

// Run prints the memory at each step, the slopes and the rate.
func (c *flowsCommand) Run() error {
	r, err := flows.Measure(context.Background(), flows.Plan{Deployment: c.Deployment, Binaries: c.Binaries, Service: c.Service, Steps: c.Steps, Rate: c.Rate})
	if err != nil {
		return err
	}
	fmt.Printf("%d entries, %d agents\n", r.Entries, r.Agents)
	fmt.Printf("flows opened and closed: %.0f a second, %d failed\n", r.Rate, r.Failed)
	fmt.Printf("%8s %12s %12s %8s\n", "flows", "agent KiB", "entry KiB", "answered")
	for _, p := range r.Points {
		fmt.Printf("%8d %12d %12d %8d\n", p.Flows, p.Agent>>10, p.Entry>>10, p.Answered)
	}
	fmt.Printf("agent: %.1f MB and %.1f KB a flow of its own, R squared %.4f\n", r.BaseMemory/1e6, r.PerAgentFlow/1e3, r.RSquared)
	fmt.Printf("entry: %.3f KB a flow of the deployment\n", r.PerEntryFlow/1e3)
	return nil
}

func main() {
	var c command
	k := kong.Parse(&c, kong.Name("bench"), kong.Description("Measures the data path on loopback."))
	k.FatalIfErrorf(k.Run())
}
