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

// Timings and limits of pulls.
const (
	pullTimeout       = 2500 * time.Millisecond
	pullHedge         = 600 * time.Millisecond // after which another peer is asked too; the first may wait half a second for its budget
	concurrentPulls   = 6                      // enough that slow peers don't block all pulls
	namesPerPull      = 256                    // documents requested in one call
	maxPartialBytes   = 4 << 20                // of incomplete texts
	maxWantLinks      = 4                      // peers remembered for one document
	maxWantFailures   = 6                      // consecutive failed calls for a document, after which failing peers are not retried; a later exchange queues it again
	uselessPullPeriod = 30 * time.Second       // before a useless pull is repeated
	pullRetry         = 250 * time.Millisecond
)

// want is a document of which a peer has a newer revision than this process.
type want struct {
	item     digest.Item
	links    []netip.AddrPort // peers that have it; the first is asked next
	due      time.Time
	inFlight bool
	failures int // consecutive failed calls
}

// partial is a text of which only the beginning has been received.
type partial struct {
	revision, size uint64
	text           []byte
}

// uselessPull records a pulled text that this process couldn't use. Without it, a text that this version of
// the program can't parse but a peer's version can would be pulled every second.
type uselessPull struct {
	item digest.Item
	at   time.Time
}

// puller is the state of pulls. The node's lock guards it.
type puller struct {
	wants    map[string]*want
	partials map[string]*partial
	useless  map[string]uselessPull
	wake     chan struct{}
}

func newPuller() puller {
	return puller{
		wants:    map[string]*want{},
		partials: map[string]*partial{},
		useless:  map[string]uselessPull{},
		wake:     make(chan struct{}, 1),
	}
}

// queuePull queues a pull of a document from the peer at link.
func (n *Node) queuePull(i digest.Item, link netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t, ok := n.pull.useless[i.Name]; ok && !i.Newer(t.item) && time.Since(t.at) < uselessPullPeriod {
		return
	}
	w := n.pull.wants[i.Name]
	if w == nil {
		if len(n.pull.wants) >= store.MaxNames {
			countRefused("wants")
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
	w.links = w.links[:min(len(w.links), maxWantLinks)]
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

// pullLoop pulls the wanted documents.
func (n *Node) pullLoop(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	slots := make(chan struct{}, concurrentPulls)
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

// nextPull chooses a peer and returns the wanted documents that it has and that are not being pulled.
func (n *Node) nextPull() (link netip.AddrPort, batch map[string]digest.Item) {
	n.mu.Lock()
	defer n.mu.Unlock()
	batch = map[string]digest.Item{}
	for name, w := range n.pull.wants {
		if w.inFlight || time.Now().Before(w.due) || len(batch) >= namesPerPull {
			continue
		}
		if len(w.links) == 0 {
			delete(n.pull.wants, name) // a later exchange queues it again
			continue
		}
		if len(batch) == 0 {
			link = w.links[0]
		}
		for _, l := range w.links {
			if l == link {
				w.inFlight = true
				batch[name] = w.item
			}
		}
	}
	return link, batch
}

// pullFrom pulls a batch of documents from one peer and updates their wants.
func (n *Node) pullFrom(ctx context.Context, link netip.AddrPort, batch map[string]digest.Item) {
	parts, err := n.sendPull(ctx, link, batch)
	if err != nil {
		countPull("failed")
	} else {
		countPull("done")
	}
	got := map[string]partResult{}
	for _, p := range parts {
		if _, asked := batch[p.GetName()]; asked {
			got[p.GetName()] = n.takePart(p, link)
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
		w.inFlight = false
		own := digest.ItemOf(view, name)
		if !w.item.Newer(own) {
			delete(n.pull.wants, name)
			delete(n.pull.useless, name)
			continue
		}
		switch got[name] {
		case partProgress:
			w.failures = 0
			continue
		case partUseless:
			n.pull.useless[name] = uselessPull{w.item, time.Now()}
			delete(n.pull.wants, name)
		}
		w.links = without(w.links, link)
		if err != nil && w.failures < maxWantFailures {
			// The call timed out or the peer is over its budget: another peer is asked next, and this one
			// again later.
			w.failures++
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

// sendPull makes one Pull call and decompresses the reply.
func (n *Node) sendPull(ctx context.Context, link netip.AddrPort, batch map[string]digest.Item) (parts []*wire.Part, err error) {
	view := n.Store.View()
	in := &wire.Wants{From: memberToWire(n.Self)}
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

// hedge makes documents of a slow pull available for pulls from other peers. Otherwise, with a fifth of the
// messages lost, one in sixty texts would be delayed by three timeouts.
func (n *Node) hedge(link netip.AddrPort, batch map[string]digest.Item) {
	countPull("slow")
	n.mu.Lock()
	defer n.mu.Unlock()
	for name := range batch {
		if w := n.pull.wants[name]; w != nil {
			w.inFlight = false
			w.links = append(without(w.links, link), link)
		}
	}
	n.wakePuller()
}
