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

// watchFor is how long the platform lets a watch wait.
const watchFor = 25 * time.Second

// Platform answers the platform's API within the process, and counts calls.
type Platform struct {
	mu        sync.Mutex
	index     uint64
	revisions map[string]order.Revision
	texts     map[string][]byte
	instances fetch.Instances
	down      bool
	changed   chan struct{}
	seconds   map[int64]int // calls by second
	paths     map[string]int
	waiting   int
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

// Set lets the platform serve a revision of a document.
func (p *Platform) Set(name string, revision order.Revision, text []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index++
	p.revisions[name], p.texts[name] = revision, text
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetDown makes every call fail, or ends that.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) list(i fetch.Instance) {
	p.instances.Instances = append(p.instances.Instances, i)
}

// Calls returns the calls since a time: all, the most in one second, and the watches
// that wait now.
func (p *Platform) Calls(since time.Time) (all, most, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for second, n := range p.seconds {
		if second >= since.Unix() {
			all += n
			most = max(most, n)
		}
	}
	return all, most, p.waiting
}

// Paths returns the calls by kind and forgets them.
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
		if err := p.wait(r); err != nil {
			return nil, err
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.down:
		return nil, errors.New("platform is down")
	case kind[0] == "instances":
		return answer(p.instances)
	case len(kind) == 2:
		response := respond(p.texts[kind[1]])
		response.Header.Set("Revision", strconv.FormatUint(p.revisions[kind[1]].Number(), 10))
		return response, nil
	}
	list := fetch.List{Index: order.Revision(p.index)}
	for _, name := range slices.Sorted(maps.Keys(p.revisions)) {
		list.Documents = append(list.Documents, fetch.Item{Name: name, Revision: p.revisions[name]})
	}
	return answer(list)
}

func (p *Platform) wait(r *http.Request) error {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		return err
	}
	timer := time.NewTimer(watchFor)
	defer timer.Stop()
	p.mu.Lock()
	p.waiting++
	wait, changed := !p.down && p.index <= since, p.changed
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.waiting--
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

func answer(v any) (*http.Response, error) {
	b, err := json.Marshal(v)
	return respond(b), err
}

func respond(b []byte) *http.Response {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(b))}
}
