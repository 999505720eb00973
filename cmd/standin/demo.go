package main

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/stand/demo"
	"mangowinch/internal/stand/fleet"
)

type demoCommand struct {
	Deployment string `arg:"" optional:"" type:"path" default:"examples/zagreb" help:"Directory with documents and settings."`
	Binaries   string `type:"existingdir" default:"out" help:"Directory with the programs mangowinch and standin."`
	Directory  string `type:"path" help:"Keep the copy, keys and logs here."`
}

// Run runs the demo and fails if an answer was incomplete.
func (c *demoCommand) Run(ctx context.Context) error {
	complete, err := demo.Run(ctx, os.Stdout, fleet.Settings{
		Deployment: c.Deployment,
		Binaries:   c.Binaries,
		Directory:  c.Directory,
	})
	if err != nil {
		return err
	}
	if !complete {
		return errors.New("incomplete answers")
	}
	return nil
}
