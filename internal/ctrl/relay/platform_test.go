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

// platform is an in-memory platform.
type platform struct {
	mu      sync.Mutex
	era     uint16
	index   order.Revision
	serves  map[string]order.Revision
	texts   map[string]string // by name and revision; the default text is the name
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

// set makes the platform serve a revision. A lower revision than before makes the platform stale.
func (p *platform) set(name string, revision order.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index++
	p.serves[name] = revision
	close(p.changed)
	p.changed = make(chan struct{})
}

// restore simulates that the platform is restored from a backup in which the document has the given revision.
// The platform's index decreases too.
func (p *platform) restore(name string, revision order.Revision) {
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
	close(p.changed) // ends the waiting watches
	p.changed = make(chan struct{})
}

func (p *platform) Documents(context.Context) (fetch.List, error) {
	if err := p.call(); err != nil {
		return fetch.List{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := fetch.List{Index: p.inEra(p.index)}
	for name, revision := range p.serves {
		list.Documents = append(list.Documents, fetch.Item{Name: name, Revision: p.inEra(revision)})
	}
	return list, nil
}

func (p *platform) Watch(ctx context.Context, since order.Revision) (fetch.List, error) {
	p.mu.Lock()
	wait, changed := since.Era() == p.era && p.inEra(p.index) <= since && !p.down, p.changed
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
	return fetch.Document{Name: name, Revision: p.inEra(p.serves[name]), Text: p.text(name, p.serves[name])}, nil
}

// inEra returns the revision with the given number in the platform's era.
func (p *platform) inEra(number order.Revision) order.Revision {
	return order.At(p.era, number.Number())
}

// setText sets the text of a revision.
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

// peakRate returns the largest number of calls in any second since a time.
func (p *platform) peakRate(since time.Time) int {
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

// platformView is the platform as one process of a fleet reaches it.
type platformView struct {
	*platform
	fleet *fleet
	from  netip.AddrPort
}

func (w *platformView) reachable() error {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.fleet.platformCut && w.fleet.side[w.from] != 0 {
		return errDown
	}
	return nil
}

func (w *platformView) Watch(ctx context.Context, since order.Revision) (fetch.List, error) {
	if err := w.reachable(); err != nil {
		return fetch.List{}, err
	}
	list, err := w.platform.Watch(ctx, since)
	return list, errors.CombineErrors(err, w.reachable())
}

func (w *platformView) Documents(ctx context.Context) (fetch.List, error) {
	if err := w.reachable(); err != nil {
		return fetch.List{}, err
	}
	return w.platform.Documents(ctx)
}

func (w *platformView) Document(ctx context.Context, name string) (fetch.Document, error) {
	if err := w.reachable(); err != nil {
		return fetch.Document{}, err
	}
	return w.platform.Document(ctx, name)
}

func (w *platformView) Instances(ctx context.Context) (fetch.Instances, error) {
	if err := w.reachable(); err != nil {
		return fetch.Instances{}, err
	}
	return w.platform.Instances(ctx)
}
