package entry

import (
	"context"
	"maps"
	"math"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/conf/store"
	"mangowinch/internal/flow/frame"
	"mangowinch/internal/flow/ident"
	"mangowinch/internal/flow/order"
	"mangowinch/internal/flow/route"
	"mangowinch/internal/load/shift"
	"mangowinch/internal/node/rings"
	"mangowinch/internal/node/stamp"
)

// previousFor is how long the servers of the previous document are still queried about flows, since they
// may hold them. A handshake takes up to 10 s (handshakeTimeout of package agent), and entries receive a
// document within 7 s of each other.
const previousFor = 17 * time.Second

// leavingFor is how long a server counts as leaving after the last frame in which it said so. A leaving
// server with flows repeats this in each frame. A server that was restarted gets no flow while it counts as
// leaving, so it sends no frames that would correct the state. If the time is too short, a flow takes one
// more hop: the agent forwards its packets.
const leavingFor = 5 * time.Second

// loadScale is the value in frames for a load of all of a server's slots.
const loadScale = 1000

// service is the entry's state of one service.
type service struct {
	name    string
	tag     uint64
	current atomic.Pointer[snapshot]
	socket  atomic.Pointer[serviceSocket]
	count   counters
	// lastHint is the time of the last call of Hooks.NewerDocument.
	lastHint stamp.Time

	// mu guards the fields below, from which snapshots are made.
	mu              sync.Mutex
	detector        *route.Detector
	weights         *shift.Weights
	lastStep        time.Time            // when weights last moved
	leavingReported map[uint32]time.Time // when a server last reported that it is leaving
	previous        []route.Server
	serversChanged  time.Time // when a document last changed the set of servers
}

// snapshot is the immutable state by which datagrams of a service are forwarded.
type snapshot struct {
	document *docs.Service
	revision order.Revision
	ring     *ident.Ring
	table    route.Table
	agents   map[uint32]netip.AddrPort
}

// syncServices keeps services and sockets in line with the documents until ctx ends.
func (e *Entry) syncServices(ctx context.Context) {
	t := time.NewTicker(refreshEvery)
	defer t.Stop()
	for {
		changed := e.store.Changed()
		e.apply(e.store.View())
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				e.closeSockets()
				return
			case <-changed:
				waiting = false
			case now := <-t.C:
				e.refreshAll(now)
			}
		}
	}
}

// apply puts the documents of a view in force.
func (e *Entry) apply(v *store.View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, d := range v.Documents {
		s := e.services[d.Name]
		if s == nil {
			s = newService(d.Name)
			e.services[d.Name] = s
		}
		if old := s.current.Load(); old == nil || old.revision != d.Revision {
			e.setDocument(s, d)
		}
	}
	tags := make(map[uint64]*service, len(e.services))
	for _, s := range e.services {
		if s.current.Load() != nil {
			tags[s.tag] = s
		}
	}
	e.tags.Store(&tags)
	e.openSockets()
}

func newService(name string) *service {
	return &service{
		name:            name,
		tag:             ident.ServiceTag(name),
		detector:        route.NewDetector(),
		weights:         shift.New(shift.Default),
		leavingReported: make(map[uint32]time.Time),
		count:           newCounters(name),
	}
}

// setDocument puts a document of a service in force. If the document names an unknown key, the last valid
// document stays in force.
func (e *Entry) setDocument(s *service, d *store.Document) {
	ring, err := rings.New(e.settings.Keys, d.Service)
	if err != nil {
		s.count.unusable.Inc()
		e.log.Error().Err(err).Stringer("revision", d.Revision).Msg("document rejected; keeping the last valid one")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if old := s.current.Load(); old != nil && !slices.Equal(ids(old.document), ids(d.Service)) {
		s.previous = old.table.Current
		s.serversChanged = now
	}
	s.detector.Retain(ids(d.Service))
	maps.DeleteFunc(s.leavingReported, func(id uint32, _ time.Time) bool {
		_, ok := d.Service.Server(id)
		return !ok
	})
	s.weights.SetServers(shiftServers(d.Service))
	next := &snapshot{document: d.Service, revision: d.Revision, ring: ring, agents: agents(d.Service)}
	s.publish(now, next)
	e.log.Info().Str("service", s.name).Stringer("revision", d.Revision).Str("source", d.Source).Msg("document in force")
}

func ids(d *docs.Service) (list []uint32) {
	for i := range d.Servers {
		list = append(list, d.Servers[i].ID)
	}
	return list
}

func agents(d *docs.Service) map[uint32]netip.AddrPort {
	m := make(map[uint32]netip.AddrPort, len(d.Servers))
	for i := range d.Servers {
		m[d.Servers[i].ID] = d.Servers[i].Agent
	}
	return m
}

// publish updates a snapshot with the present state of the servers and makes it current. The caller holds
// s.mu.
func (s *service) publish(now time.Time, next *snapshot) {
	next.table.Current = nil
	shares := s.weights.Weights()
	for i := range next.document.Servers {
		d := &next.document.Servers[i]
		next.table.Current = append(next.table.Current, route.Server{
			ID:           d.ID,
			Weight:       coarseWeight(shares, d.ID),
			Leaving:      d.State == docs.Leaving || s.isLeaving(now, d.ID),
			Unresponsive: s.detector.Unresponsive(now, d.ID),
		})
	}
	next.table.Previous = nil
	if now.Sub(s.serversChanged) < previousFor {
		next.table.Previous = s.previous
	}
	s.current.Store(next)
}

func shiftServers(d *docs.Service) (list []shift.Server) {
	for i := range d.Servers {
		s := &d.Servers[i]
		list = append(list, shift.Server{ID: s.ID, Weight: s.Weight, Leaving: s.State == docs.Leaving})
	}
	return list
}

// coarseWeight rounds a server's weight to steps of 1/8. Entries receive the same reports at different
// times. With exact weights, hardly any two entries would rank all flows alike, and the second datagram of
// a first flight would go to another server more often.
func coarseWeight(shares []shift.Weight, id uint32) float64 {
	const steps = 8
	for _, w := range shares {
		if w.ID == id {
			return max(1, math.Round(w.Share*steps)) / steps
		}
	}
	return 1
}

// refreshAll moves the weights of services for which that is due, and removes expired state from the
// snapshots.
func (e *Entry) refreshAll(now time.Time) {
	for _, s := range *e.tags.Load() {
		s.mu.Lock()
		if now.Sub(s.lastStep) >= shift.Default.Interval {
			s.weights.Step(now)
			s.lastStep = now
		}
		s.refresh(now)
		s.mu.Unlock()
	}
}

// refresh replaces the snapshot by one with the present state. The caller holds s.mu.
func (s *service) refresh(now time.Time) {
	next := *s.current.Load()
	s.publish(now, &next)
}

// isLeaving reports whether a server counts as leaving by its own frames. The caller holds s.mu.
func (s *service) isLeaving(now time.Time, server uint32) bool {
	said, ok := s.leavingReported[server]
	return ok && now.Sub(said) < leavingFor
}

// recordFrame records what a server's frame says about the server.
func (s *service) recordFrame(now time.Time, h *frame.Header) {
	server, leaving := h.Server, h.Flags&frame.Leaving != 0
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.current.Load().agents[server]; !ok {
		return // of another document; only servers of the one in force are tracked, so that memory stays bounded
	}
	changed := s.detector.Received(now, server)
	s.weights.Report(now, server, shift.Load{Demand: float64(h.Load) / loadScale, Leaving: leaving})
	changed = changed || s.isLeaving(now, server) != leaving
	delete(s.leavingReported, server)
	if leaving {
		s.leavingReported[server] = now
	}
	if changed {
		s.refresh(now)
	}
}

// recordOpened records that a flow was sent to a server.
func (s *service) recordOpened(now time.Time, server uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.detector.SentOpening(now, server) {
		s.count.silent.Inc()
		s.refresh(now)
	}
}
