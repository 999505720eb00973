package main

import (
	"context"
	"fmt"
	"time"

	"mangowinch/internal/bench/docs"
)

type documentsCommand struct {
	Deployment string `default:"examples/zagreb" help:"Directory of a deployment."`
	Binaries   string `default:"bin" help:"Directory of the programs."`
	Service    string `default:"tracing-core" help:"Service whose document changes."`
	Rounds     int    `default:"20" help:"Documents, one after the other."`
}

// Run prints the propagation times of documents, with a healthy platform and with one that goes down as soon as one
// process has the document.
func (c *documentsCommand) Run() error {
	fmt.Printf("%-28s %10s %8s %8s %8s\n", "platform", "processes", "p50", "p99", "max")
	for _, platformDown := range []bool{false, true} {
		r, err := docs.Measure(context.Background(), docs.Plan{Deployment: c.Deployment, Binaries: c.Binaries, Service: c.Service, Rounds: c.Rounds, Down: platformDown})
		if err != nil {
			return err
		}
		name := "sound"
		if platformDown {
			name = "down after the first receipt"
		}
		fmt.Printf("%-28s %10d %8s %8s %8s\n", name, r.Processes, r.At(0.5).Round(time.Millisecond),
			r.At(0.99).Round(time.Millisecond), r.At(1).Round(time.Millisecond))
	}
	return nil
}
