package relay

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"mangowinch/internal/conf/store"
	"mangowinch/internal/ctrl/digest"
	"mangowinch/internal/ctrl/wire"
)

// Bounds of pulling.
const (
	pullTimeout = 2500 * time.Millisecond
	pullHedge   = 600 * time.Millisecond // then another one is asked as well; the first may have waited half a second for its budget
	pullsAtOnce = 6                      // so that slow peers don't hold up all
	namesAtOnce = 256                    // of one call
	maxPartial  = 4 << 20                // of texts that came in part
	linksOfWant = 4                      // peers that are known to have one document
	failsOfWant = 6                      // then comparing brings it up again
	triedFor    = 30 * time.Second
	pullRetry   = 250 * time.Millisecond
)

// want is a document of which somebody has more than this process.
type want struct {
	item   digest.Item
	links  []netip.AddrPort // who has it; the first is asked next
	due    time.Time
	active bool
	failed int // calls in a row
}

// partial is a text that came in part.
type partial struct {
	revision, size uint64
	text           []byte
}

// trial remembers what was pulled in vain: a text that this program can't read
// and another one can would else be pulled every second.
type trial struct {
	item digest.Item
	at   time.Time
}

// puller is the state of pulling. The node's lock guards it.
type puller struct {
	wants    map[string]*want
	partials map[string]*partial
	tried    map[string]trial
	wake     chan struct{}
}

func newPuller() puller {
	return puller{
		wants:    map[string]*want{},
		partials: map[string]*partial{},
		tried:    map[string]trial{},
		wake:     make(chan struct{}, 1),
	}
}

// want asks for a document from somebody who has it.
func (n *Node) want(i digest.Item, link netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t, ok := n.pull.tried[i.Name]; ok && !i.Newer(t.item) && time.Since(t.at) < triedFor {
		return
	}
	w := n.pull.wants[i.Name]
	if w == nil {
		if len(n.pull.wants) >= store.MaxNames {
			refused("wants")
			return
		}
		w = &want{}
		n.pull.wants[i.Name] = w
	}
	if i.Newer(w.item) {
		w.item = i
		w.links = append([]netip.AddrPort{link}, w.links...)
	} else {
		w.links = append(w.links, link)
	}
	w.links = unique(w.links)
	w.links = w.links[:min(len(w.links), linksOfWant)]
	n.wakePuller()
}

func unique(links []netip.AddrPort) []netip.AddrPort {
	var u []netip.AddrPort
	seen := map[netip.AddrPort]bool{}
	for _, l := range links {
		if !seen[l] {
			seen[l] = true
			u = append(u, l)
		}
	}
	return u
}

func (n *Node) wakePuller() {
	select {
	case n.pull.wake <- struct{}{}:
	default:
	}
}

// pulls is the loop that fetches what is wanted.
func (n *Node) pulls(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	slots := make(chan struct{}, pullsAtOnce)
	for ctx.Err() == nil {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		link, batch := n.nextPull()
		if len(batch) > 0 {
			running.Go(func() {
				n.pullFrom(ctx, link, batch)
				<-slots
			})
			continue
		}
		<-slots
		timer := time.NewTimer(pullRetry)
		select {
		case <-n.pull.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// nextPull chooses a peer, and everything that it has and is not being pulled.
func (n *Node) nextPull() (link netip.AddrPort, batch map[string]digest.Item) {
	n.mu.Lock()
	defer n.mu.Unlock()
	batch = map[string]digest.Item{}
	for name, w := range n.pull.wants {
		if w.active || time.Now().Before(w.due) || len(batch) >= namesAtOnce {
			continue
		}
		if len(w.links) == 0 {
			delete(n.pull.wants, name) // comparing brings it up again
			continue
		}
		if len(batch) == 0 {
			link = w.links[0]
		}
		for _, l := range w.links {
			if l == link {
				w.active = true
				batch[name] = w.item
			}
		}
	}
	return link, batch
}

// pullFrom carries out one call.
func (n *Node) pullFrom(ctx context.Context, link netip.AddrPort, batch map[string]digest.Item) {
	parts, err := n.ask(ctx, link, batch)
	if err != nil {
		pulled("failed")
	} else {
		pulled("done")
	}
	got := map[string]taken{}
	for _, p := range parts {
		if _, asked := batch[p.GetName()]; asked {
			got[p.GetName()] = n.take(p, link)
		}
	}
	view := n.Store.View()
	n.mu.Lock()
	defer n.mu.Unlock()
	for name := range batch {
		w := n.pull.wants[name]
		if w == nil {
			continue
		}
		w.active = false
		own := digest.ItemOf(view, name)
		if !w.item.Newer(own) {
			delete(n.pull.wants, name)
			delete(n.pull.tried, name)
			continue
		}
		switch got[name] {
		case forward:
			w.failed = 0
			continue
		case useless:
			n.pull.tried[name] = trial{w.item, time.Now()}
			delete(n.pull.wants, name)
		}
		w.links = without(w.links, link)
		if err != nil && w.failed < failsOfWant {
			// Lost, or over its budget: another one is asked next, and this one later.
			w.failed++
			w.links = append(w.links, link)
		}
		w.due = time.Now().Add(time.Duration(n.Rand.Int64N(int64(pullRetry))))
	}
	n.wakePuller()
}

func without(links []netip.AddrPort, link netip.AddrPort) []netip.AddrPort {
	var left []netip.AddrPort
	for _, l := range links {
		if l != link {
			left = append(left, l)
		}
	}
	return left
}

// ask sends one call and unpacks its answer.
func (n *Node) ask(ctx context.Context, link netip.AddrPort, batch map[string]digest.Item) (parts []*wire.Part, err error) {
	view := n.Store.View()
	in := &wire.Wants{From: memberTo(n.Self)}
	n.mu.Lock()
	for name := range batch {
		own := digest.ItemOf(view, name)
		w := &wire.Want{Name: name, Revision: uint64(own.Revision), Newest: uint64(own.Newest)}
		if p := n.pull.partials[name]; p != nil {
			w.Partial, w.Offset = p.revision, uint64(len(p.text))
		}
		in.Wants = append(in.Wants, w)
	}
	n.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	hedge := time.AfterFunc(pullHedge, func() { n.hedge(link, batch) })
	out, err := n.Dial(link).Pull(call, in)
	hedge.Stop()
	if err != nil {
		return nil, err
	}
	n.Meter.TimeCPU(func() { parts, err = inflate(out.GetDeflated()) })
	n.Meter.Charge(ctx, len(out.GetDeflated()))
	return parts, err
}

// hedge lets others be asked for what this peer was slow to give. With a fifth of
// the messages lost, one in sixty texts would else be late by three timeouts.
func (n *Node) hedge(link netip.AddrPort, batch map[string]digest.Item) {
	pulled("slow")
	n.mu.Lock()
	defer n.mu.Unlock()
	for name := range batch {
		if w := n.pull.wants[name]; w != nil {
			w.active = false
			w.links = append(without(w.links, link), link)
		}
	}
	n.wakePuller()
}
