// Command capacity measures the cost of the control plane at several fleet sizes, fits lines to the results, and prints
// the tables that docs/CAPACITY.md quotes. It runs on one machine and takes 10 to 15 minutes. It does not measure the
// data path; command bench does.
//
// # Usage
//
//	capacity --only entries,documents --window 20s
package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kong"

	"mangowinch/internal/ctrl/scale"
)

// options holds the command line.
type options struct {
	Only   []string      `help:"Only these tables: entries, documents, agents, mates, changes, spread, calls, failures, partition."`
	Window time.Duration `default:"20s" help:"How long each size is looked at."`
	Base   int           `default:"100" help:"Addresses are 127.BASE.0.0 and 127.BASE+1.0.0 upwards."`
}

// table is a measurement that prints one table.
type table struct {
	name string
	run  func(o options) error
}

var tables = []table{
	{"entries", entries},
	{"documents", documents},
	{"agents", agents},
	{"mates", peers},
	{"changes", changes},
	{"spread", spread},
	{"calls", calls},
	{"failures", failures},
	{"partition", partition},
}

func main() {
	var o options
	kong.Parse(&o)
	scale.AddressBase = o.Base
	for _, t := range tables {
		if len(o.Only) > 0 && !slices.Contains(o.Only, t.name) {
			continue
		}
		if err := t.run(o); err != nil {
			fmt.Fprintln(os.Stderr, t.name, err)
			os.Exit(1)
		}
	}
}

// settleTime is the time between the start of a fleet and a measurement, in which the fleet becomes idle.
const settleTime = 12 * time.Second

// startSettled starts a fleet and waits until every process has all documents and the fleet is idle. It returns the
// memory used per process, in bytes. The caller stops the fleet, also after an error.
func startSettled(s scale.Size) (f *scale.Fleet, memory float64, err error) {
	before := scale.MemoryInUse()
	f = scale.Start(s)
	if _, err := f.Await(f.Processes(), 2*time.Minute); err != nil {
		return f, 0, err
	}
	time.Sleep(settleTime)
	return f, (scale.MemoryInUse() - before) / float64(len(f.Processes())), nil
}

// printRow prints the points of one measure, the line fitted through them, and its value at x = at.
func printRow(what, unit string, x, y []float64, at float64) {
	l := scale.Fit(x, y)
	fmt.Printf("| %s (%s) |", what, unit)
	for i := range x {
		fmt.Printf(" %.4g: %.4g |", x[i], y[i])
	}
	fmt.Printf(" %.4g + %.4g x, residual %.2g | %.4g: %.4g |\n", l.Base, l.Slope, l.Residual, at, l.At(at))
}

// printHead prints the header of a table with the given number of sizes.
func printHead(title, x string, sizes int) {
	fmt.Printf("\n### %s\n\n| measure | %s: value |", title, x)
	for range sizes - 1 {
		fmt.Print(" |")
	}
	fmt.Print(" fit | at the target size |\n|---|")
	for range sizes + 2 {
		fmt.Print("---|")
	}
	fmt.Println()
}
