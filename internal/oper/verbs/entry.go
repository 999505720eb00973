package verbs

import (
	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/prefs"
)

// EntryCmd runs an entry.
type EntryCmd struct {
	Settings string `required:"" type:"path" help:"Settings file with an [entry] section."`
}

// Help is shown under the verb's own --help.
func (*EntryCmd) Help() string { return roleHelp }

const roleHelp = `SIGTERM asks for a planned stop: what is in progress ends first. A second signal ends the process at once.

Exit codes: 0 stopped as planned; 1 failed while it ran; 2 could not start: wrong use or faulty settings.`

// Run runs the entry until it is told to stop.
func (c *EntryCmd) Run() error {
	s, err := prefs.Load(c.Settings)
	if err == nil && s.Entry == nil {
		err = errors.Newf("%s: [entry]: missing", c.Settings)
	}
	if err != nil {
		return fail(exitUse, err)
	}
	return fail(exitFault, errors.New("the entry is not built yet")) // TODO(issue 3)
}
