// Command standin simulates the platform, the fabric and backend servers in tests and demos, and runs the demo and the
// fault scenarios. It is not for production.
//
// # Usage
//
//	standin demo --binaries out
//	standin faults --binaries out --seeds 3
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"
)

type command struct {
	Platform platformCommand `cmd:"" help:"Serve a directory of service documents and an instance list, read only."`
	Fabric   fabricCommand   `cmd:"" help:"Spray the datagrams of callers over entries."`
	Server   serverCommand   `cmd:"" help:"Be a backend server."`
	Demo     demoCommand     `cmd:"" help:"Start a deployment, call it, kill an entry under a feed, say what happened."`
	Faults   faultsCommand   `cmd:"" help:"Break parts of a deployment under load and compare what callers were told with what ran."`
	Matrix   matrixCommand   `cmd:"" help:"Print docs/FAULTS.md from the registry of what is proved."`
}

func main() {
	var c command
	parsed := kong.Parse(&c,
		kong.Name("standin"),
		kong.Description("Stands in for what surrounds mangowinch, in tests and demos."),
		kong.UsageOnError(),
	)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log := zerolog.New(os.Stderr).With().Timestamp().Str("standin", parsed.Command()).Logger()
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.FatalIfErrorf(parsed.Run(log))
}
