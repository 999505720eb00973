// Package demo demonstrates a deployment of separate processes on loopback: it sends
// lookups, a feed and an upload, whose packets the fabric sprays over all entries, and
// kills an entry while the feed is open.
//
// It exists as an introduction to the project. It is not a thorough test: package
// faults tests deployments under many faults.
//
// # Usage
//
//	complete, err := demo.Run(ctx, os.Stdout, fleet.Settings{Deployment: "examples/zagreb", Binaries: "out"})
package demo

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/stand/client"
	"mangowinch/internal/stand/fleet"
	"mangowinch/internal/work/result"
)

const (
	feedLines    = 150
	feedInterval = 20 * time.Millisecond
	killDelay    = time.Second
	uploadSize   = 4 << 20
	timeout      = time.Minute
)

// step is one request and its response, a line of the printed table.
type step struct {
	description string
	answer      client.Answer
	want        string
	took        time.Duration
}

func (s step) complete() bool { return s.answer.Outcome == result.Ran && s.answer.Body == s.want }

// Run starts the deployment, sends the requests, prints their results and stops the deployment. It reports whether every
// response was complete.
func Run(ctx context.Context, out io.Writer, settings fleet.Settings) (complete bool, err error) {
	defer func() { err = errors.Wrap(err, "demo") }()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	begun := time.Now()
	f, err := fleet.Start(ctx, settings)
	if err != nil {
		return false, err
	}
	defer f.Close()
	fmt.Fprintf(out, "%d processes ready after %s\n\n", len(f.Names()), time.Since(begun).Round(time.Millisecond))

	caller, err := dial(ctx, f)
	if err != nil {
		return false, err
	}
	defer caller.Close()
	body := bytes.Repeat([]byte("document"), uploadSize/8)
	steps := []step{
		lookup(ctx, caller, "before"),
		upload(ctx, caller, "scan", body),
		feedWithKill(ctx, f, caller),
		lookup(ctx, caller, "after"),
	}
	return report(out, steps), nil
}

func dial(ctx context.Context, f *fleet.Fleet) (*client.Caller, error) {
	s := f.Services[len(f.Services)-1]
	local := s.Callers[0].Networks[0].Addr().Next()
	return client.Dial(ctx, client.Settings{Local: local, Service: s.Address, Name: s.Name, Roots: f.Roots})
}

func lookup(ctx context.Context, c *client.Caller, name string) step {
	path := "/lookup/" + name
	return run(ctx, c, "lookup "+name+" the kill", path+" claim\n",
		client.Request{Method: "POST", Path: path, Body: strings.NewReader("claim")})
}

func upload(ctx context.Context, c *client.Caller, name string, body []byte) step {
	path := "/upload/" + name
	want := fmt.Sprintf("%s %d %x\n", path, len(body), sha256.Sum256(body))
	return run(ctx, c, fmt.Sprintf("upload of %d MiB", len(body)>>20), want,
		client.Request{Method: "POST", Path: path, Body: bytes.NewReader(body)})
}

// feedWithKill opens a feed and kills an entry while it is open.
func feedWithKill(ctx context.Context, f *fleet.Fleet, c *client.Caller) step {
	path := fmt.Sprintf("/feed/trace?n=%d&every=%s", feedLines, feedInterval)
	var want strings.Builder
	for i := 1; i <= feedLines; i++ {
		fmt.Fprintf(&want, "%d %s\n", i, path)
	}
	victim := f.Entries()[0].Process.Name
	timer := time.AfterFunc(killDelay, func() { f.Process(victim).Kill() })
	defer timer.Stop()
	description := fmt.Sprintf("feed of %s, entry %s killed after %s", feedLines*feedInterval, victim, killDelay)
	return run(ctx, c, description, want.String(), client.Request{Method: "GET", Path: path})
}

func run(ctx context.Context, c *client.Caller, description, want string, r client.Request) step {
	begun := time.Now()
	answer := c.Do(ctx, r)
	return step{description: description, answer: answer, want: want, took: time.Since(begun)}
}

func report(out io.Writer, steps []step) (complete bool) {
	complete = true
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "request\toutcome\tanswer\ttook")
	for _, s := range steps {
		answer := "whole"
		if !s.complete() {
			complete = false
			answer = fmt.Sprintf("%d of %d bytes: %v %s", len(s.answer.Body), len(s.want), s.answer.Err, s.answer.Reason)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", s.description, s.answer.Outcome, answer, s.took.Round(time.Millisecond))
	}
	_ = table.Flush() // the writer is a terminal or a test's output, so an error is ignored
	return complete
}
