package scale

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/ctrl/fetch"
	"mangowinch/internal/flow/order"
)

// watchTimeout is how long a watch waits for a change.
const watchTimeout = 25 * time.Second

// Platform implements the platform's API within the process and counts calls.
type Platform struct {
	mu             sync.Mutex
	index          uint64
	revisions      map[string]order.Revision
	texts          map[string][]byte
	instances      fetch.Instances
	down           bool
	changed        chan struct{}
	seconds        map[int64]int // number of calls by Unix second
	paths          map[string]int
	waitingWatches int
}

func newPlatform() *Platform {
	return &Platform{
		revisions: map[string]order.Revision{},
		texts:     map[string][]byte{},
		changed:   make(chan struct{}),
		seconds:   map[int64]int{},
		paths:     map[string]int{},
	}
}

// Set makes the platform serve a revision of a document.
func (p *Platform) Set(name string, revision order.Revision, text []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index++
	p.revisions[name], p.texts[name] = revision, text
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetDown sets whether every call fails.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) addInstance(i fetch.Instance) {
	p.instances.Instances = append(p.instances.Instances, i)
}

// Calls returns the number of calls since a time, the largest number in one second, and the number of
// watches that wait now.
func (p *Platform) Calls(since time.Time) (all, most, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for second, n := range p.seconds {
		if second >= since.Unix() {
			all += n
			most = max(most, n)
		}
	}
	return all, most, p.waitingWatches
}

// Paths returns the number of calls by path since the previous call of Paths.
func (p *Platform) Paths() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	paths := p.paths
	p.paths = map[string]int{}
	return paths
}

// RoundTrip implements http.RoundTripper.
func (p *Platform) RoundTrip(r *http.Request) (*http.Response, error) {
	kind := strings.Split(strings.TrimPrefix(r.URL.Path, "/"), "/")
	p.mu.Lock()
	p.seconds[time.Now().Unix()]++
	p.paths[kind[0]+strings.Repeat("/NAME", len(kind)-1)]++
	p.mu.Unlock()
	if kind[0] == "watch" {
		if err := p.awaitChange(r); err != nil {
			return nil, err
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.down:
		return nil, errors.New("platform is down")
	case kind[0] == "instances":
		return jsonResponse(p.instances)
	case len(kind) == 2:
		response := newResponse(p.texts[kind[1]])
		response.Header.Set("Revision", strconv.FormatUint(p.revisions[kind[1]].Number(), 10))
		return response, nil
	}
	list := fetch.List{Index: order.Revision(p.index)}
	for _, name := range slices.Sorted(maps.Keys(p.revisions)) {
		list.Documents = append(list.Documents, fetch.Item{Name: name, Revision: p.revisions[name]})
	}
	return jsonResponse(list)
}

func (p *Platform) awaitChange(r *http.Request) error {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		return err
	}
	timer := time.NewTimer(watchTimeout)
	defer timer.Stop()
	p.mu.Lock()
	p.waitingWatches++
	wait, changed := !p.down && p.index <= since, p.changed
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.waitingWatches--
		p.mu.Unlock()
	}()
	if !wait {
		return nil
	}
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
		return r.Context().Err()
	}
	return nil
}

func jsonResponse(v any) (*http.Response, error) {
	b, err := json.Marshal(v)
	return newResponse(b), err
}

func newResponse(b []byte) *http.Response {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(b))}
}
