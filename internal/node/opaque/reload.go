package opaque

import (
	"context"
	"net/netip"
	"os"
	"os/signal"
	"reflect"
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
		changed := changedSections(p.settings, s)
		if len(changed) == 0 {
			continue
		}
		p.events.State("settings-changed").Strs("changed", changed).Send()
		p.settings = s
		p.follow.SetSeeds(addrsOf(s.Seeds))
		apply(s)
	}
}

// changedSections returns the names of the settings that differ. Those that take effect at the next start only count
// too.
func changedSections(a, b *carry.Settings) (changed []string) {
	sections := []struct {
		name   string
		before any
		after  any
	}{
		{"process", a.Process, b.Process},
		{"platform", a.Platform, b.Platform},
		{"link", link{a.Link, a.LinkBind, a.Rate}, link{b.Link, b.LinkBind, b.Rate}},
		{"peers", a.Seeds, b.Seeds},
		{"bounds", a.Bounds, b.Bounds},
		{"entry", a.Entry, b.Entry},
		{"agent", a.Agent, b.Agent},
		{"without", a.Without, b.Without},
	}
	for _, s := range sections {
		if !reflect.DeepEqual(s.before, s.after) {
			changed = append(changed, s.name)
		}
	}
	return changed
}

// link holds the settings of the section about the link.
type link struct {
	address, bind netip.AddrPort
	rate          float64
}
