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

// Help is shown under the verb's own --help.
func (*AgentCmd) Help() string { return roleHelp }

// Run runs the agent until it is told to stop.
func (c *AgentCmd) Run(ctx context.Context) error {
	s, err := prefs.Load(c.Settings)
	if err == nil && s.Agent == nil {
		err = errors.Newf("%s: [agent]: missing", c.Settings)
	}
	if err != nil {
		return fail(exitUse, err)
	}
	return fail(exitFault, start.Agent(ctx, s))
}
