package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/stand/faults"
)

type faultsCommand struct {
	Deployment string   `type:"path" default:"examples/zagreb" help:"Directory with documents and settings."`
	Binaries   string   `type:"path" default:"out" help:"Directory with the programs mangowinch and standin."`
	Seeds      int      `default:"1" help:"Runs of each scenario."`
	First      uint64   `default:"1" help:"The first seed."`
	Verbose    bool     `help:"Print requests of unknown outcome."`
	Only       []string `help:"Only scenarios whose name contains one of these."`
}

// Run runs the scenarios and fails if any promise was broken.
func (c *faultsCommand) Run(ctx context.Context) error {
	begun := time.Now()
	results, err := faults.Run(ctx, faults.Settings{
		Deployment: c.Deployment,
		Binaries:   c.Binaries,
		FirstSeed:  c.First,
		Seeds:      c.Seeds,
		Only:       c.Only,
		Verbose:    c.Verbose,
		Out:        os.Stdout,
	})
	attempts, executions, violations := 0, 0, 0
	for _, r := range results {
		attempts += r.Attempts
		executions += r.Executions
		violations += len(r.Violations)
	}
	fmt.Printf("%d histories checked: %d attempts, %d executions, %d violations in %s\n",
		len(results), attempts, executions, violations, time.Since(begun).Round(time.Second))
	if err != nil {
		return err
	}
	if violations > 0 {
		return errors.Newf("%d violations", violations)
	}
	return nil
}
