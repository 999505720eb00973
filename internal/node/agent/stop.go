package agent

import (
	"context"
	"time"

	"mangowinch/internal/work/token"
)

const (
	// stopTimeout bounds a graceful shutdown, which waits for feeds that last for hours.
	stopTimeout = 12 * time.Hour
	// lingerTime is how long a stopping agent keeps running after its last stream, so
	// that entries receive its state and late datagrams still reach it.
	lingerTime = time.Second
)

// stop waits until the requests in progress have ended.
func (a *Agent) stop(ctx context.Context) {
	a.availability.set(bySignal, true)
	go a.shutdownHTTP(ctx)
	started := time.Now()
	for time.Since(started) < stopTimeout && ctx.Err() == nil {
		a.link.retirePeerListener(time.Now())
		if a.requests.Load() == 0 && time.Since(started) > a.minLinger() {
			break
		}
		time.Sleep(lingerTime / 10)
	}
	a.log.Info().Dur("after", time.Since(started)).Msg("left")
}

// minLinger returns how long a stopping agent keeps running at least. Beside a successor
// that is until the last request key that it has issued has expired: a caller that uses
// the key, for the first time or again, reaches the successor, which asks this process.
// If this process had ended, the outcome would be unknown although nothing failed.
func (a *Agent) minLinger() time.Duration {
	if a.link.side.alive(time.Now()) {
		return lingerTime + token.DefaultLifetime
	}
	return lingerTime
}

// shutdownHTTP asks callers (GOAWAY) to send their next requests on other connections.
func (a *Agent) shutdownHTTP(ctx context.Context) {
	if err := a.server.Shutdown(ctx); err != nil && ctx.Err() == nil {
		a.log.Error().Err(err).Msg("cannot shut down the HTTP/3 server gracefully")
	}
}

// availabilityChanged returns the waiting requests when the server starts to leave, so
// that they are placed elsewhere at once.
func (a *Agent) availabilityChanged(accepting bool) {
	if !accepting {
		a.gate.Drain()
	}
}
