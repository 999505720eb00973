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

// heartbeatPeriod is the longest time between two heartbeats of a pair of agents of a service. One agent of
// the pair sends a heartbeat and the other's reply is its own heartbeat, so that 7 agents send 21 a second.
const heartbeatPeriod = time.Second

// PeerAgent is what an agent knows about another agent of its service. It is a hint: the other agent
// decides itself which work it accepts.
type PeerAgent struct {
	Server       uint32         `json:"server"` // server ID in the service document
	Name         string         `json:"name"`   // name of the server section
	Address      netip.AddrPort `json:"address"`
	Incarnation  uint64         `json:"incarnation"`
	State        peers.State    `json:"state"`
	Load         Load           `json:"load"`
	Revision     order.Revision `json:"revision"`       // of the document in force at that agent
	LastReceived time.Time      `json:"heard,omitzero"` // zero: never
	Failures     int            `json:"failures"`       // consecutive heartbeats without a reply
}

// PeerAgents returns what is known about the other agents of the service, by server ID.
func (n *Node) PeerAgents() map[uint32]PeerAgent {
	n.mu.Lock()
	defer n.mu.Unlock()
	copies := map[uint32]PeerAgent{}
	for id, m := range n.peerAgents {
		copies[id] = *m
	}
	return copies
}

// heartbeatLoop sends heartbeats to the other agents of the service.
func (n *Node) heartbeatLoop(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	slots := make(chan struct{}, concurrentSends)
	for sleep(ctx, n.jitter(heartbeatPeriod/2)) {
		for _, m := range n.heartbeatsDue() {
			select {
			case slots <- struct{}{}:
			default:
				countRefused("beats")
				continue
			}
			running.Go(func() {
				defer func() { <-slots }()
				n.sendHeartbeat(ctx, m)
			})
		}
	}
}

// heartbeatsDue updates the list of peer agents from the service document and returns those to which a
// heartbeat is due.
func (n *Node) heartbeatsDue() []PeerAgent {
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
	for id := range n.peerAgents {
		if _, ok := listed[id]; !ok {
			delete(n.peerAgents, id)
		}
	}
	var due []PeerAgent
	for id, s := range listed {
		m := n.peerAgents[id]
		if m == nil || m.Address != s.Agent {
			m = &PeerAgent{Server: id, Name: s.Name, Address: s.Agent, State: peers.Live}
			n.peerAgents[id] = m
		}
		if time.Since(m.LastReceived) >= heartbeatPeriod*3/4 {
			due = append(due, *m)
		}
	}
	return due
}

func (n *Node) sendHeartbeat(ctx context.Context, m PeerAgent) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	in, err := n.Dial(m.Address).Beat(ctx, n.newHeartbeat())
	if err != nil {
		countHeartbeat("failed")
		n.mu.Lock()
		defer n.mu.Unlock()
		if k := n.peerAgents[m.Server]; k != nil && k.Address == m.Address {
			k.Failures++
		}
		return
	}
	countHeartbeat("done")
	n.receiveHeartbeat(in)
}

// Beat replies to a heartbeat of another agent of the service with a heartbeat of this agent.
func (n *Node) Beat(_ context.Context, in *wire.Pulse) (out *wire.Pulse, err error) {
	defer func() { n.Meter.CountAnswered(proto.Size(in), proto.Size(out)) }()
	if n.Service == "" || in.GetService() != n.Service {
		// The address now belongs to another service: the sender's document is outdated.
		countRefused("service")
		return nil, ErrService
	}
	if !n.answerLimiter.Allow() {
		countRefused("rate")
		return nil, ErrBusy
	}
	n.receiveHeartbeat(in)
	return n.newHeartbeat(), nil
}

// receiveHeartbeat updates the peer agent that sent a heartbeat.
func (n *Node) receiveHeartbeat(in *wire.Pulse) {
	from, ok := memberFromWire(in.GetFrom())
	if !ok || in.GetService() != n.Service {
		countRefused("service")
		return
	}
	theirs := itemFromWire(&wire.Item{Name: n.Service, Revision: in.GetRevision(), Newest: in.GetNewest()})
	n.queueNewer(map[string]digest.Item{n.Service: theirs}, from.Address)
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.peerAgents[in.GetServer()]
	if m == nil || m.Address != from.Address || from.Incarnation < m.Incarnation {
		// The sender is not in the local document, or the heartbeat is from an earlier incarnation.
		countRefused("mate")
		return
	}
	m.Incarnation, m.State, m.Revision = from.Incarnation, from.State, theirs.Revision
	m.Load = Load{Busy: int(in.GetBusy()), Slots: int(in.GetSlots()), Queue: int(in.GetQueue()), Draining: in.GetDraining()}
	m.LastReceived, m.Failures = time.Now(), 0
}

// newHeartbeat returns a heartbeat with the current state of this agent.
func (n *Node) newHeartbeat() *wire.Pulse {
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
	p.From = memberToWire(n.table.Self())
	return p
}
