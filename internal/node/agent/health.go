package agent

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// healthInterval is how often the server is checked. It bounds how soon a draining
	// server gets no new work: two intervals at most, of the 3 s allowed.
	healthInterval = 250 * time.Millisecond
	// healthTimeout bounds one check.
	healthTimeout = time.Second
	// downAfter is how many consecutive checks must fail before the server counts as
	// down, so that one lost connection does not take away its work. A request that finds
	// the server down is refused as not run in any case.
	downAfter = 3
	// maxReportSize bounds the answer to a check, in bytes.
	maxReportSize = 4 << 10
)

// report is the server's answer to /load. Its numbers lag and may be wrong, so they are
// not used for admission, for which the agent's own count is exact. That the server
// drains or cannot be reached is trusted, because refusing work by mistake costs only a
// hop.
type report struct {
	Busy     int  `json:"busy"`
	Slots    int  `json:"slots"`
	Queue    int  `json:"queue"`
	Draining bool `json:"draining"`
}

// health checks the agent's server.
type health struct {
	client  http.Client
	address string
	failed  int
}

func newHealth(server *url.URL) *health {
	return &health{
		client:  http.Client{Timeout: healthTimeout},
		address: server.JoinPath("load").String(),
	}
}

// watchHealth checks the server until ctx ends.
func (a *Agent) watchHealth(ctx context.Context) {
	h := newHealth(a.settings.Agent.Backend)
	t := time.NewTicker(healthInterval)
	defer t.Stop()
	for {
		h.check(ctx, &a.availability)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (h *health) check(ctx context.Context, s *availability) {
	r, err := h.get(ctx)
	if err != nil {
		h.failed++
		if h.failed >= downAfter && ctx.Err() == nil {
			s.set(byDown, true)
		}
		return
	}
	h.failed = 0
	s.set(byDown, false)
	s.set(byServer, r.Draining)
}

func (h *health) get(ctx context.Context) (r report, err error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, h.address, nil)
	if err != nil {
		return report{}, err
	}
	answer, err := h.client.Do(q)
	if err != nil {
		return report{}, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return report{}, errors.Newf("status %d", answer.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(answer.Body, maxReportSize)).Decode(&r)
	return r, err
}
