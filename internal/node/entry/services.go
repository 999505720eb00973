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

// beforeFor is how long the servers of the document before are asked about flows:
// a handshake takes 10 s at most by our settings, and entries get a document
// within 7 s of each other.
const beforeFor = 17 * time.Second

// leavingFor is how long a server's word that it leaves is believed after it was last
// heard. A leaving server with flows repeats it in each frame. One that was started again
// is given no flow while it is believed, so it sends none and could not take its word
// back. Believing it too short costs a flow one hop: its agent passes it on.
const leavingFor = 5 * time.Second

// loadScale is what frames carry for a demand of all of a server's slots.
const loadScale = 1000

// service is what the entry knows of one service.
type service struct {
	name  string
	tag   uint64
	now   atomic.Pointer[snapshot]
	door  atomic.Pointer[door]
	count counters
	// hinted is the last call of Hooks.Newer.
	hinted stamp.Time

	// mu guards the beliefs that snapshots are made of.
	mu      sync.Mutex
	watch   *route.Detector
	weights *shift.Weights
	stepped time.Time            // when weights last moved
	leaving map[uint32]time.Time // when a server last said itself that it leaves
	before  []route.Server
	changed time.Time // when the servers last changed by document
}

// snapshot is immutable.
type snapshot struct {
	document *docs.Service
	revision order.Revision
	ring     *ident.Ring
	table    route.Table
	agents   map[uint32]netip.AddrPort
}

// keepServices is the controller that makes services and doors what the documents say.
func (e *Entry) keepServices(ctx context.Context) {
	t := time.NewTicker(refreshEvery)
	defer t.Stop()
	for {
		changed := e.store.Changed()
		e.apply(e.store.View())
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				e.closeDoors()
				return
			case <-changed:
				waiting = false
			case now := <-t.C:
				e.refreshAll(now)
			}
		}
	}
}

// apply takes a view of the documents into force.
func (e *Entry) apply(v *store.View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, d := range v.Entries {
		s := e.services[d.Name]
		if s == nil {
			s = newService(d.Name)
			e.services[d.Name] = s
		}
		if old := s.now.Load(); old == nil || old.revision != d.Revision {
			e.take(s, d)
		}
	}
	tags := make(map[uint64]*service, len(e.services))
	for _, s := range e.services {
		if s.now.Load() != nil {
			tags[s.tag] = s
		}
	}
	e.tags.Store(&tags)
	e.openDoors()
}

func newService(name string) *service {
	return &service{
		name:    name,
		tag:     ident.ServiceTag(name),
		watch:   route.NewDetector(),
		weights: shift.New(shift.Default),
		leaving: make(map[uint32]time.Time),
		count:   newCounters(name),
	}
}

// take makes a document the service's own. A document that names an unknown key
// leaves the last good one in force.
func (e *Entry) take(s *service, d *store.Entry) {
	ring, err := rings.New(e.settings.Keys, d.Service)
	if err != nil {
		s.count.unusable.Inc()
		e.log.Error().Err(err).Stringer("revision", d.Revision).Msg("document cannot be used here; the last good one stays")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if old := s.now.Load(); old != nil && !slices.Equal(ids(old.document), ids(d.Service)) {
		s.before = old.table.Current
		s.changed = now
	}
	s.watch.Retain(ids(d.Service))
	maps.DeleteFunc(s.leaving, func(id uint32, _ time.Time) bool {
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

// publish fills in the beliefs of this moment and makes a snapshot current. The
// caller holds s.mu.
func (s *service) publish(now time.Time, next *snapshot) {
	next.table.Current = nil
	shares := s.weights.Weights()
	for i := range next.document.Servers {
		d := &next.document.Servers[i]
		next.table.Current = append(next.table.Current, route.Server{
			ID:           d.ID,
			Weight:       coarse(shares, d.ID),
			Leaving:      d.State == docs.Leaving || s.leaves(now, d.ID),
			Unresponsive: s.watch.Unresponsive(now, d.ID),
		})
	}
	next.table.Previous = nil
	if now.Sub(s.changed) < beforeFor {
		next.table.Previous = s.before
	}
	s.now.Store(next)
}

func shiftServers(d *docs.Service) (list []shift.Server) {
	for i := range d.Servers {
		s := &d.Servers[i]
		list = append(list, shift.Server{ID: s.ID, Weight: s.Weight, Leaving: s.State == docs.Leaving})
	}
	return list
}

// coarse rounds a server's weight to steps of an eighth. Entries hear the same
// reports at different moments; with fine weights hardly two would rank all flows alike, and
// the second datagram of a first flight would go another way more often.
func coarse(shares []shift.Weight, id uint32) float64 {
	const steps = 8
	for _, w := range shares {
		if w.ID == id {
			return max(1, math.Round(w.Share*steps)) / steps
		}
	}
	return 1
}

// refreshAll lets beliefs that time has ended out of the snapshots.
func (e *Entry) refreshAll(now time.Time) {
	for _, s := range *e.tags.Load() {
		s.mu.Lock()
		if now.Sub(s.stepped) >= shift.Default.Interval {
			s.weights.Step(now)
			s.stepped = now
		}
		s.refresh(now)
		s.mu.Unlock()
	}
}

// refresh makes a snapshot anew from the beliefs of now. The caller holds s.mu.
func (s *service) refresh(now time.Time) {
	next := *s.now.Load()
	s.publish(now, &next)
}

// leaves says whether a server is believed to leave by its own word. The caller holds
// s.mu.
func (s *service) leaves(now time.Time, server uint32) bool {
	said, ok := s.leaving[server]
	return ok && now.Sub(said) < leavingFor
}

// heard takes in what a server's frame says of the server.
func (s *service) heard(now time.Time, h *frame.Header) {
	server, leaving := h.Server, h.Flags&frame.Leaving != 0
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.now.Load().agents[server]; !ok {
		return // of another document; what is believed is bounded by the one in force
	}
	changed := s.watch.Received(now, server)
	s.weights.Report(now, server, shift.Load{Demand: float64(h.Load) / loadScale, Leaving: leaving})
	changed = changed || s.leaves(now, server) != leaving
	delete(s.leaving, server)
	if leaving {
		s.leaving[server] = now
	}
	if changed {
		s.refresh(now)
	}
}

// opened notes that a flow was sent to a server.
func (s *service) opened(now time.Time, server uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watch.SentOpening(now, server) {
		s.count.silent.Inc()
		s.refresh(now)
	}
}
