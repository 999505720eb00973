package relay

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/ctrl/digest"
	"mangowinch/internal/ctrl/peers"
	"mangowinch/internal/ctrl/wire"
	"mangowinch/internal/flow/order"
)

// beatEvery is the longest that two agents of a service go without a heartbeat. One
// of the two begins it, the other's answer is its own: so 7 agents send 21 a second.
const beatEvery = time.Second

// PeerAgent is what an agent knows of another agent of its service. It's a hint: the
// other one decides on its own what it takes.
type PeerAgent struct {
	Server       uint32         `json:"server"` // its ID in the document
	Name         string         `json:"name"`   // of its server section
	Address      netip.AddrPort `json:"address"`
	Incarnation  uint64         `json:"incarnation"`
	State        peers.State    `json:"state"`
	Load         Load           `json:"load"`
	Revision     order.Revision `json:"revision"`       // of the document in force there
	LastReceived time.Time      `json:"heard,omitzero"` // zero: never
	Failures     int            `json:"failures"`       // heartbeats in a row without an answer
}

// PeerAgents returns what is known of the other agents of the service, by server ID.
func (n *Node) PeerAgents() map[uint32]PeerAgent {
	n.mu.Lock()
	defer n.mu.Unlock()
	mates := map[uint32]PeerAgent{}
	for id, m := range n.mates {
		mates[id] = *m
	}
	return mates
}

// beat is an agent's loop of heartbeats to the other agents of its service.
func (n *Node) beat(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	slots := make(chan struct{}, tellsAtOnce)
	for sleep(ctx, n.jitter(beatEvery/2)) {
		for _, m := range n.silent() {
			select {
			case slots <- struct{}{}:
			default:
				refused("beats")
				continue
			}
			running.Go(func() {
				defer func() { <-slots }()
				n.beatOne(ctx, m)
			})
		}
	}
}

// silent fits the mates to the document and returns those to whom a heartbeat is due.
func (n *Node) silent() []PeerAgent {
	e := n.Store.View().Documents[n.Service]
	if e == nil {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	listed := map[uint32]docs.Server{}
	for _, s := range e.Service.Servers {
		if s.Name != n.Server {
			listed[s.ID] = s
		}
	}
	for id := range n.mates {
		if _, ok := listed[id]; !ok {
			delete(n.mates, id)
		}
	}
	var due []PeerAgent
	for id, s := range listed {
		m := n.mates[id]
		if m == nil || m.Address != s.Agent {
			m = &PeerAgent{Server: id, Name: s.Name, Address: s.Agent, State: peers.Live}
			n.mates[id] = m
		}
		if time.Since(m.LastReceived) >= beatEvery*3/4 {
			due = append(due, *m)
		}
	}
	return due
}

func (n *Node) beatOne(ctx context.Context, m PeerAgent) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	in, err := n.Dial(m.Address).Beat(ctx, n.pulse())
	if err != nil {
		beaten("failed")
		n.mu.Lock()
		defer n.mu.Unlock()
		if k := n.mates[m.Server]; k != nil && k.Address == m.Address {
			k.Failures++
		}
		return
	}
	beaten("done")
	n.feel(in)
}

// Beat answers the heartbeat of another agent of the service.
func (n *Node) Beat(_ context.Context, in *wire.Pulse) (out *wire.Pulse, err error) {
	defer func() { n.Meter.CountAnswered(proto.Size(in), proto.Size(out)) }()
	if n.Service == "" || in.GetService() != n.Service {
		// An address that was given to another service: the other side's document is old.
		refused("service")
		return nil, ErrService
	}
	if !n.answers.Allow() {
		refused("rate")
		return nil, ErrBusy
	}
	n.feel(in)
	return n.pulse(), nil
}

// feel takes in a heartbeat.
func (n *Node) feel(in *wire.Pulse) {
	from, ok := memberOf(in.GetFrom())
	if !ok || in.GetService() != n.Service {
		refused("service")
		return
	}
	theirs := itemOf(&wire.Item{Name: n.Service, Revision: in.GetRevision(), Newest: in.GetNewest()})
	n.lack(map[string]digest.Item{n.Service: theirs}, from.Address)
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.mates[in.GetServer()]
	if m == nil || m.Address != from.Address || from.Incarnation < m.Incarnation {
		// Not in the document here, or not yet; or the last words of an earlier life.
		refused("mate")
		return
	}
	m.Incarnation, m.State, m.Revision = from.Incarnation, from.State, theirs.Revision
	m.Load = Load{Busy: int(in.GetBusy()), Slots: int(in.GetSlots()), Queue: int(in.GetQueue()), Draining: in.GetDraining()}
	m.LastReceived, m.Failures = time.Now(), 0
}

// pulse is this agent's heartbeat.
func (n *Node) pulse() *wire.Pulse {
	view := n.Store.View()
	own := digest.ItemOf(view, n.Service)
	p := &wire.Pulse{Service: n.Service, Revision: uint64(own.Revision), Newest: uint64(own.Newest)}
	if e := view.Documents[n.Service]; e != nil {
		for _, s := range e.Service.Servers {
			if s.Name == n.Server {
				p.Server = s.ID
			}
		}
	}
	if n.Load != nil {
		l := n.Load()
		p.Busy, p.Slots, p.Queue, p.Draining = uint32(l.Busy), uint32(l.Slots), uint32(l.Queue), l.Draining
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	p.From = memberTo(n.table.Self())
	return p
}
