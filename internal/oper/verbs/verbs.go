// Package verbs implements the command line of mangowinch. Each command is a struct in a
// file named after it.
//
// A command parses its flags, calls the package that does the work, and converts the
// result to text and an exit code. The package makes no decisions about traffic.
//
// # Usage
//
//	func main() {
//		os.Exit(verbs.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
//	}
package verbs

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"mangowinch/internal/oper/build"
)

// Exit codes. The help of each command describes what they mean for it.
const (
	exitOK      = 0 // success
	exitFailure = 1 // the command failed or its result is negative: faults found, not ready, not run
	exitUsage   = 2 // the command could not be carried out: wrong usage, unreadable file, no response
	exitUnknown = 3 // call only: the request may or may not have run
)

const description = `mangowinch is a layer-4 load balancer: QUIC from callers, HTTP to backend servers.

An entry forwards datagrams, an agent beside each backend server ends connections. Teams declare their
services in documents that the platform publishes; each process has a settings file of its own.

Exit codes: 0 done; 1 the answer is no (faults found, not ready, not run); 2 could not be asked (wrong use,
unreadable file, nothing answers); 3 a request may or may not have run.`

// commands declares the commands and global flags for kong.
type commands struct {
	Entry    EntryCmd    `cmd:"" help:"Run an entry: forward the datagrams of flows to the agents of their servers."`
	Agent    AgentCmd    `cmd:"" help:"Run an agent beside a backend server: end connections, let requests in, place them."`
	Check    CheckCmd    `cmd:"" help:"Check settings files and service documents and list every fault."`
	Status   StatusCmd   `cmd:"" help:"Ask a running process what it knows and why it decided so."`
	Compare  CompareCmd  `cmd:"" help:"Ask several processes whether they are ready with the same documents."`
	Headroom HeadroomCmd `cmd:"" help:"Ask processes how much room services have, and what would be refused without some servers."`
	Call     CallCmd     `cmd:"" help:"Send one request as a caller and show what became of it."`
	Explain  ExplainCmd  `cmd:"" help:"Tell from collected log lines what became of one opaque flow."`
	Certify  CertifyCmd  `cmd:"" help:"Make a certificate and keys for a demonstration; never for real callers."`

	Version kong.VersionFlag `help:"Print the version and end."`
}

// console holds the standard streams of a command.
type console struct {
	in  io.Reader
	out io.Writer // results
	err io.Writer // messages for the user
}

// exitError is an error with an exit code.
type exitError struct {
	code  int
	cause error
}

func (e *exitError) Error() string { return e.cause.Error() }
func (e *exitError) Unwrap() error { return e.cause }

// withExitCode returns an error that makes Main return the given code, or nil if cause is nil.
func withExitCode(code int, cause error) error {
	if cause == nil {
		return nil
	}
	return &exitError{code: code, cause: cause}
}

// Main runs one command line and returns the exit code. SIGINT and SIGTERM cancel the context of the
// command, which then shuts down gracefully; a second signal terminates the process immediately.
func Main(args []string, in io.Reader, out, err io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop)
	defer stop()

	c := &console{in: in, out: out, err: err}
	helpShown := false // help or the version was requested and has been written
	parser := kong.Must(&commands{},
		kong.Name("mangowinch"),
		kong.Description(description),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 110}),
		kong.Vars{"version": build.Version()},
		kong.Writers(out, err),
		kong.Exit(func(int) { helpShown = true }),
		kong.Bind(c),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	parsed, failure := parser.Parse(args)
	if helpShown {
		return exitOK
	}
	if failure != nil {
		fmt.Fprintf(err, "mangowinch: %v (see --help)\n", failure)
		return exitUsage
	}
	failure = parsed.Run()
	if failure == nil {
		return exitOK
	}
	if text := failure.Error(); text != "" {
		fmt.Fprintf(err, "mangowinch: %s\n", text)
	}
	var e *exitError
	if errors.As(failure, &e) {
		return e.code
	}
	return exitFailure
}
