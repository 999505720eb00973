package opaque

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"mangowinch/internal/conf/carry"
)

// reloadEvery is how often the settings file is read again: it may change without a signal. Reading its half
// kilobyte takes some 50 us.
const reloadEvery = 2 * time.Second

// watchSettings reads the settings again on SIGHUP and every now and then. Seeds and an agent's service
// count at once, addresses and bounds from the next start. Settings that can't be used change nothing.
func (p *process) watchSettings(ctx context.Context, load func() (*carry.Settings, error), apply func(*carry.Settings)) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	t := time.NewTicker(reloadEvery)
	defer t.Stop()
	bad := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-t.C:
		}
		s, err := load()
		if err != nil {
			if err.Error() != bad {
				bad = err.Error()
				p.events.State("settings-bad").Err(err).Send()
			}
			continue
		}
		bad = ""
		if sameSettings(p.settings, s) {
			continue
		}
		p.events.State("settings-changed").Send()
		p.settings = s
		p.follow.SetSeeds(addresses(s.Seeds))
		apply(s)
	}
}

// sameSettings says whether two settings say the same.
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
