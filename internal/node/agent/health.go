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
	// healthEvery is how often the own server is asked. It decides how soon a
	// draining server gets no new work: two intervals at most, of 3 s allowed.
	healthEvery = 250 * time.Millisecond
	// healthTime bounds one question.
	healthTime = time.Second
	// downAfter is how many questions in a row must fail to reach the server, so
	// that one lost connection does not empty it. A request that meets the
	// server down is refused as not run in any case.
	downAfter = 3
	// maxReport bounds the answer read, in bytes.
	maxReport = 4 << 10
)

// report is the server's answer to /load. It lags and may mislead, so that its
// numbers are not used for admission, where the own count is exact. That the server
// drains or cannot be reached is believed: refusing work by mistake costs a hop.
type report struct {
	Busy     int  `json:"busy"`
	Slots    int  `json:"slots"`
	Queue    int  `json:"queue"`
	Draining bool `json:"draining"`
}

// health asks the own server how it does.
type health struct {
	client  http.Client
	address string
	failed  int
}

func newHealth(server *url.URL) *health {
	return &health{
		client:  http.Client{Timeout: healthTime},
		address: server.JoinPath("load").String(),
	}
}

// keepHealth asks until ctx ends.
func (a *Agent) keepHealth(ctx context.Context) {
	h := newHealth(a.settings.Agent.Backend)
	t := time.NewTicker(healthEvery)
	defer t.Stop()
	for {
		h.ask(ctx, &a.standing)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (h *health) ask(ctx context.Context, s *standing) {
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
	err = json.NewDecoder(io.LimitReader(answer.Body, maxReport)).Decode(&r)
	return r, err
}
