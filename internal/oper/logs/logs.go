// Package logs creates the logger of a process, so that the lines of all processes
// have the same fields.
//
// A line is written only on a change of state: a document in force, a server that
// starts to leave, a change of readiness. Events per request or per
// datagram are counted (package admin shows the counters) and never logged with this logger, since a
// flood of traffic would cause a flood of lines. Sampled events of single flows are logged by package event.
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

// New returns a logger that writes one JSON object per line to w, each with the time
// in UTC, the role of the process and its name.
func New(w io.Writer, role, name string) zerolog.Logger {
	return zerolog.New(w).Hook(timestampHook{}).With().Str("role", role).Str("process", name).Logger()
}

// timestampHook adds the time in UTC with milliseconds, whatever time zone an instance is configured
// with, so that lines of several regions can be sorted together.
type timestampHook struct{}

// Run implements zerolog.Hook.
func (timestampHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str("time", time.Now().UTC().Format("2006-01-02T15:04:05.000Z"))
}
