package verbs

import (
	"context"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/prefs"
	"mangowinch/internal/node/start"
)

// AgentCmd runs an agent.
type AgentCmd struct {
	Settings string `required:"" type:"path" help:"Settings file with an [agent] section."`
}

// Help returns the text that the command's --help shows below the usage line.
func (*AgentCmd) Help() string { return roleHelp }

// Run runs the agent until ctx is done.
func (c *AgentCmd) Run(ctx context.Context) error {
	s, err := prefs.Load(c.Settings)
	if err == nil && s.Agent == nil {
		err = errors.Newf("%s: [agent]: missing", c.Settings)
	}
	if err != nil {
		return withExitCode(exitUsage, err)
	}
	return withExitCode(exitFailure, start.Agent(ctx, s))
}
