// Command capacity measures what control costs at several sizes, fits lines, and prints the
// tables that docs/CAPACITY.md quotes. It takes some ten minutes and one machine.
package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kong"

	"mangowinch/internal/ctrl/scale"
)

// options are the command line.
type options struct {
	Only   []string      `help:"Only these tables: entries, documents, agents, mates, changes, spread, calls, failures, partition."`
	Window time.Duration `default:"20s" help:"How long each size is looked at."`
	Base   int           `default:"100" help:"Addresses are 127.BASE.0.0 and 127.BASE+1.0.0 upwards."`
}

// table is one measurement.
type table struct {
	name string
	run  func(o options) error
}

var tables = []table{
	{"entries", entries},
	{"documents", documents},
	{"agents", agents},
	{"mates", mates},
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

// settle is how long a fleet is left alone between its start and a measurement.
const settle = 12 * time.Second

// settled starts a fleet and waits until it is full and quiet. Memory is what it
// takes, in bytes for each process.
func settled(s scale.Size) (f *scale.Fleet, memory float64, err error) {
	before := scale.MemoryInUse()
	f = scale.Start(s)
	if _, err := f.Await(f.Processes(), 2*time.Minute); err != nil {
		return f, 0, err
	}
	time.Sleep(settle)
	return f, (scale.MemoryInUse() - before) / float64(len(f.Processes())), nil
}

// show prints the points of one measure and the line through them.
func show(what, unit string, x, y []float64, at float64) {
	l := scale.Fit(x, y)
	fmt.Printf("| %s (%s) |", what, unit)
	for i := range x {
		fmt.Printf(" %.4g: %.4g |", x[i], y[i])
	}
	fmt.Printf(" %.4g + %.4g x, residual %.2g | %.4g: %.4g |\n", l.Base, l.Slope, l.Residual, at, l.At(at))
}

// head prints the head of a table for a number of sizes.
func head(title, x string, sizes int) {
	fmt.Printf("\n### %s\n\n| measure | %s: value |", title, x)
	for range sizes - 1 {
		fmt.Print(" |")
	}
	fmt.Print(" fit | at the letter's size |\n|---|")
	for range sizes + 2 {
		fmt.Print("---|")
	}
	fmt.Println()
}
