package relay_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/ctrl/fetch"
	"mangowinch/internal/flow/order"
)

// platform is the stand-in for the platform, with the revisions that it serves.
type platform struct {
	mu      sync.Mutex
	era     uint16
	index   order.Revision
	serves  map[string]order.Revision
	texts   map[string]string // by name and revision; others are made up
	list    fetch.Instances
	down    bool
	changed chan struct{}
	calls   []time.Time
}

var errDown = errors.New("platform is down")

func (p *platform) call() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, time.Now())
	if p.down {
		return errDown
	}
	return nil
}

// set lets the platform serve a revision; a lower one makes it stale.
func (p *platform) set(name string, revision order.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index++
	p.serves[name] = revision
	close(p.changed)
	p.changed = make(chan struct{})
}

// comeBack brings the platform back from a copy in which a document has a revision. Its index goes back as well.
func (p *platform) comeBack(name string, revision order.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.era++
	p.index -= p.serves[name] - revision
	p.serves[name] = revision
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *platform) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	close(p.changed) // waiting watches break off
	p.changed = make(chan struct{})
}

func (p *platform) Documents(context.Context) (fetch.List, error) {
	if err := p.call(); err != nil {
		return fetch.List{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := fetch.List{Index: p.told(p.index)}
	for name, revision := range p.serves {
		list.Documents = append(list.Documents, fetch.Item{Name: name, Revision: p.told(revision)})
	}
	return list, nil
}

func (p *platform) Watch(ctx context.Context, since order.Revision) (fetch.List, error) {
	p.mu.Lock()
	wait, changed := since.Era() == p.era && p.told(p.index) <= since && !p.down, p.changed
	p.mu.Unlock()
	if wait {
		timer := time.NewTimer(25 * time.Second)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return fetch.List{}, ctx.Err()
		}
	}
	return p.Documents(ctx)
}

func (p *platform) Document(_ context.Context, name string) (fetch.Document, error) {
	if err := p.call(); err != nil {
		return fetch.Document{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.serves[name] == 0 {
		return fetch.Document{}, fetch.ErrNotFound
	}
	return fetch.Document{Name: name, Revision: p.told(p.serves[name]), Text: p.text(name, p.serves[name])}, nil
}

// told is a number as the platform tells it, in its era.
func (p *platform) told(number order.Revision) order.Revision {
	return order.At(p.era, number.Number())
}

// setText says what the text of a revision is.
func (p *platform) setText(name string, revision order.Revision, text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.texts[fmt.Sprint(name, revision)] = text
}

func (p *platform) text(name string, revision order.Revision) []byte {
	if text, ok := p.texts[fmt.Sprint(name, revision)]; ok {
		return []byte(text)
	}
	return []byte(name)
}

func (p *platform) Instances(context.Context) (fetch.Instances, error) {
	if err := p.call(); err != nil {
		return fetch.Instances{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list, nil
}

// busiest returns the most calls in any second since a time.
func (p *platform) busiest(since time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	seconds, most := map[int64]int{}, 0
	for _, at := range p.calls {
		if at.After(since) {
			seconds[at.Unix()]++
			most = max(most, seconds[at.Unix()])
		}
	}
	return most
}

// window is the platform as one process reaches it.
type window struct {
	*platform
	fleet *fleet
	from  netip.AddrPort
}

func (w *window) open() error {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.fleet.cut && w.fleet.side[w.from] != 0 {
		return errDown
	}
	return nil
}

func (w *window) Watch(ctx context.Context, since order.Revision) (fetch.List, error) {
	if err := w.open(); err != nil {
		return fetch.List{}, err
	}
	list, err := w.platform.Watch(ctx, since)
	return list, errors.CombineErrors(err, w.open())
}

func (w *window) Documents(ctx context.Context) (fetch.List, error) {
	if err := w.open(); err != nil {
		return fetch.List{}, err
	}
	return w.platform.Documents(ctx)
}

func (w *window) Document(ctx context.Context, name string) (fetch.Document, error) {
	if err := w.open(); err != nil {
		return fetch.Document{}, err
	}
	return w.platform.Document(ctx, name)
}

func (w *window) Instances(ctx context.Context) (fetch.Instances, error) {
	if err := w.open(); err != nil {
		return fetch.Instances{}, err
	}
	return w.platform.Instances(ctx)
}
