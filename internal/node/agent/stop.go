package agent

import (
	"context"
	"time"

	"mangowinch/internal/work/token"
)

const (
	// stopTime bounds a planned stop. Feeds last for hours, and a stop waits for them.
	stopTime = 12 * time.Hour
	// leaveTime is how long a stopping agent stays after its last stream, so that
	// entries hear its word and late datagrams still find it.
	leaveTime = time.Second
)

// stop waits until the requests in progress have ended.
func (a *Agent) stop(ctx context.Context) {
	a.standing.set(bySignal, true)
	go a.sayGoodbye(ctx)
	started := time.Now()
	for time.Since(started) < stopTime && ctx.Err() == nil {
		a.link.leavePeers(time.Now())
		if a.requests.Load() == 0 && time.Since(started) > a.stayTime() {
			break
		}
		time.Sleep(leaveTime / 10)
	}
	a.log.Info().Dur("after", time.Since(started)).Msg("left")
}

// stayTime is how long a stopping agent stays at least. Beside a successor that is
// until the last request key it has issued has lapsed: a caller that uses the key, for
// the first time or again, reaches the successor, which asks this process. Were it gone,
// the outcome would be unknown, though nothing failed.
func (a *Agent) stayTime() time.Duration {
	if a.link.side.alive(time.Now()) {
		return leaveTime + token.DefaultLifetime
	}
	return leaveTime
}

// sayGoodbye asks callers to open their next requests elsewhere.
func (a *Agent) sayGoodbye(ctx context.Context) {
	if err := a.server.Shutdown(ctx); err != nil && ctx.Err() == nil {
		a.log.Error().Err(err).Msg("goodbye to callers")
	}
}

// standingChanged gives waiting work back when the server starts to leave, so that
// it is placed elsewhere at once.
func (a *Agent) standingChanged(accepting bool) {
	if !accepting {
		a.gate.Drain()
	}
}
