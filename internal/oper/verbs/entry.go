package verbs

import (
	"context"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/prefs"
	"mangowinch/internal/node/start"
)

const roleHelp = `SIGTERM asks for a planned stop: what is in progress ends first. A second signal ends the process at once.

Exit codes: 0 stopped as planned; 1 failed: a socket could not be opened, or it broke off; 2 wrong use or faulty
settings.`

// EntryCmd runs an entry.
type EntryCmd struct {
	Settings string `required:"" type:"path" help:"Settings file with an [entry] section."`
}

// Help returns the text that the command's --help shows below the usage line.
func (*EntryCmd) Help() string { return roleHelp }

// Run runs the entry until ctx is done.
func (c *EntryCmd) Run(ctx context.Context) error {
	s, err := prefs.Load(c.Settings)
	if err == nil && s.Entry == nil {
		err = errors.Newf("%s: [entry]: missing", c.Settings)
	}
	if err != nil {
		return withExitCode(exitUsage, err)
	}
	return withExitCode(exitFailure, start.Entry(ctx, s))
}
