// Package logs sets up the logger of a process, so that the lines of all processes
// have the same fields.
//
// A line is written only on a change of state: a document in force, a server that
// starts to leave, readiness gained or lost. Whatever happens per request or per
// datagram is counted (package admin shows the counters) and never logged, since a
// flood of traffic would be a flood of lines.
//
// # Usage
//
//	logger := logs.New(os.Stderr, "entry", "e1")
//	logger.Info().Str("service", name).Uint64("revision", r).Msg("document in force")
package logs

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// New returns a logger that writes one JSON object a line to w, each with the time
// in UTC, the role of the process and its name.
func New(w io.Writer, role, name string) zerolog.Logger {
	return zerolog.New(w).Hook(clock{}).With().Str("role", role).Str("process", name).Logger()
}

// clock adds the time in UTC with milliseconds whatever zone an instance is set
// to, so that lines of two regions can be put in one order.
type clock struct{}

// Run adds the time to a line.
func (clock) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str("time", time.Now().UTC().Format("2006-01-02T15:04:05.000Z"))
}
