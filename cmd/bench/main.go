// Command bench measures the data path on loopback; see scripts/bench.
package main

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"mangowinch/internal/bench/entry"
	"mangowinch/internal/bench/relay"
)

type command struct {
	Relay relayCommand `cmd:"" help:"Be a bare UDP relay."`
	Entry entryCommand `cmd:"" help:"Measure an entry against a bare UDP relay."`
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

func main() {
	var c command
	k := kong.Parse(&c, kong.Name("bench"), kong.Description("Measures the data path on loopback."))
	k.FatalIfErrorf(k.Run())
}
