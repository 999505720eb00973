package opaque

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"mangowinch/internal/conf/carry"
)

// reloadEvery is how often the settings file is read again, since it may change without a signal. Reading
// its 500 bytes takes about 50 us.
const reloadEvery = 2 * time.Second

// watchSettings reads the settings again on SIGHUP and every reloadEvery. Changes of the seeds and of an
// agent's service take effect at once, changes of addresses and bounds at the next start. Invalid settings
// are logged and otherwise ignored.
func (p *process) watchSettings(ctx context.Context, load func() (*carry.Settings, error), apply func(*carry.Settings)) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	t := time.NewTicker(reloadEvery)
	defer t.Stop()
	lastErr := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-t.C:
		}
		s, err := load()
		if err != nil {
			if err.Error() != lastErr {
				lastErr = err.Error()
				p.events.State("settings-bad").Err(err).Send()
			}
			continue
		}
		lastErr = ""
		if sameSettings(p.settings, s) {
			continue
		}
		p.events.State("settings-changed").Send()
		p.settings = s
		p.follow.SetSeeds(addrsOf(s.Seeds))
		apply(s)
	}
}

// sameSettings reports whether two settings are equal.
func sameSettings(a, b *carry.Settings) bool {
	if a.Process != b.Process || a.Platform != b.Platform || a.Link != b.Link || a.LinkBind != b.LinkBind || a.Bounds != b.Bounds || len(a.Seeds) != len(b.Seeds) {
		return false
	}
	for i := range a.Seeds {
		if a.Seeds[i] != b.Seeds[i] {
			return false
		}
	}
	if a.Entry != nil && b.Entry != nil {
		return *a.Entry == *b.Entry
	}
	if a.Agent != nil && b.Agent != nil {
		return *a.Agent == *b.Agent
	}
	return a.Entry == b.Entry && a.Agent == b.Agent
}
