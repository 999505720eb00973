package hold

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/exper/loop"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/load/parts"
)

// capacity is what the servers can do, in requests per second.
var capacity = float64(servers*slots) / service.Seconds()

// The load: servers whose new flows wait in queues, and requests on open flows that don't.
const (
	servers      = 8
	slots        = 2
	service      = 17 * time.Millisecond
	openFlowPart = 0.3 // part of the capacity that requests on open flows take
	trip         = 2 * time.Millisecond
	loadTarget   = 200 * time.Millisecond
	loadTimeout  = time.Second
	loadTime     = 4 * time.Second
)

var timing = segs.CallerTiming{SendTimes: []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}, GiveUp: 1400 * time.Millisecond}

// result counts the calls of one priority.
type result struct{ asked, inTime, late int }

// server is a server with its agent's queue.
type server struct {
	queue             *Queue
	pending           map[segs.Flow]*attempt
	reserved, running int
	backlog           []func()
}

// call is a caller's request, attempt one of its attempts to have it served.
type call struct {
	priority, tries int
	sent            time.Time
	ended           bool
}

type attempt struct {
	*call
	left bool // or refused
}

type simulation struct {
	*loop.Loop
	random  *rand.Rand
	off     parts.Off
	servers []*server
	ports   uint16
	callers uint16
	results [3]result
	opened  [3]int // flows of each priority that servers received while the load lasted
}

// runLoad simulates a demand of the given multiple of the capacity.
func runLoad(times float64, off parts.Off, seed uint64) *simulation {
	p := &simulation{Loop: loop.New(), random: rand.New(rand.NewPCG(seed, 1)), off: off}
	for range servers {
		p.servers = append(p.servers, &server{queue: New(timing, off), pending: map[segs.Flow]*attempt{}})
	}
	p.arrive(openFlowPart*capacity, func() {
		if s := p.servers[p.random.IntN(servers)]; len(s.backlog) < urgentPerSlot*slots {
			p.serve(s, func() {})
		}
	})
	demand := (times - openFlowPart) * capacity
	for i, part := range []float64{1. / 3, 2. / 3} {
		priority := i + 1
		p.arrive(part*demand, func() {
			p.results[priority].asked++
			p.try(&call{priority: priority, sent: p.Now()})
		})
	}
	p.tick()
	p.Run(loadTime + 2*time.Second)
	return p
}

func (p *simulation) arrive(rate float64, f func()) {
	p.After(time.Duration(-math.Log(1-p.random.Float64())/rate*float64(time.Second)), func() {
		if p.Elapsed() < loadTime {
			f()
			p.arrive(rate, f)
		}
	})
}

func (p *simulation) tick() {
	for _, s := range p.servers {
		p.admit(s)
	}
	p.After(50*time.Millisecond, p.tick)
}

const maxTries = 3

// try starts an attempt at the least loaded of four servers. The caller leaves it after a while.
func (p *simulation) try(c *call) {
	if c.tries == maxTries || c.ended || p.Now().Sub(c.sent) > loadTimeout {
		return
	}
	c.tries++
	a := &attempt{call: c}
	s := p.servers[p.random.IntN(servers)]
	for range 3 {
		if v := p.servers[p.random.IntN(servers)]; v.load() < s.load() {
			s = v
		}
	}
	p.ports++
	if p.ports == 0 {
		p.callers++
	}
	f := segs.Flow{CallerPort: p.ports, Caller: [4]byte{byte(p.callers)}}
	patience := 200*time.Millisecond + time.Duration(p.random.Int64N(int64(300*time.Millisecond)))
	p.After(patience, func() {
		if !a.left && !c.ended {
			a.left = true
			p.try(c)
		}
	})
	for i, d := range timing.SendTimes[1:] {
		p.After(d+trip, func() {
			if !a.left {
				s.queue.Heard(p.Now(), f, i+1)
			}
		})
	}
	p.After(trip, func() {
		s.pending[f] = a
		s.queue.Add(p.Now(), &QueuedFlow{Flow: f, Priority: c.priority, FirstSent: p.Now().Add(-trip), Target: loadTarget, Timeout: loadTimeout}, 30*slots)
		p.admit(s)
	})
}

func (s *server) expected() int { return s.reserved + s.running + len(s.backlog) }
func (s *server) load() int     { return s.expected() + s.queue.Len() }

func (s *server) state() Server {
	return Server{Expected: s.expected(), Slots: slots, Lowest: 2, Service: service}
}

func (p *simulation) admit(s *server) {
	for _, w := range s.queue.Expire(p.Now()) {
		delete(s.pending, w.Flow)
	}
	for w := s.queue.Next(p.Now(), s.state()); w != nil; w = s.queue.Next(p.Now(), s.state()) {
		p.open(s, s.pending[w.Flow])
		delete(s.pending, w.Flow)
	}
}

func (p *simulation) open(s *server, a *attempt) {
	s.reserved++
	if p.Elapsed() < loadTime {
		p.opened[a.priority]++
	}
	p.After(2*trip, func() {
		if a.left {
			p.After(4*trip, func() { s.reserved--; p.admit(s) })
			return
		}
		s.reserved--
		p.serve(s, func() {
			if a.left || a.ended || p.Elapsed() > loadTime {
				return
			}
			a.ended = true
			switch took := p.Now().Add(trip).Sub(a.sent); {
			case took <= loadTarget:
				p.results[a.priority].inTime++
			case took <= loadTimeout:
				p.results[a.priority].late++
			}
		})
	})
}

func (p *simulation) serve(s *server, done func()) {
	s.backlog = append(s.backlog, done)
	p.start(s)
}

func (p *simulation) start(s *server) {
	for s.running < slots && len(s.backlog) > 0 {
		done := s.backlog[0]
		s.backlog = s.backlog[1:]
		s.running++
		p.After(time.Duration(float64(service)*(0.5+p.random.Float64())), func() {
			s.running--
			done()
			p.start(s)
			p.admit(s)
		})
	}
}

// Guards against a lowest priority that gets nothing as long as higher ones ask for all that servers can do.
func TestLowestPriorityKeepsItsFloor(t *testing.T) {
	const interval = floorDivisor * service / slots
	floor := float64(servers * (loadTime / interval))
	with, without := runLoad(5, parts.Off{}, 1), runLoad(5, parts.Off{Floor: true}, 1)
	t.Logf("opened %d for a floor of %.0f, answered %+v; without a floor %d, %+v", with.opened[2], floor, with.results[2], without.opened[2], without.results[2])
	assert.Assert(t, float64(with.opened[2]) > 0.9*floor)
	assert.Assert(t, float64(with.opened[2]) < 1.1*floor, "higher priorities lose more than the floor")
	assert.Assert(t, float64(without.opened[2]) < 0.2*floor)
}

// Guards against opening flows whose callers have left before those of callers that still wait.
func TestFlowWithoutSignOfLifeComesLast(t *testing.T) {
	q := New(timing, parts.Off{})
	for n := range 3 {
		q.Add(now, waiting(n+1, 1, 0), 10)
	}
	q.Add(now, waiting(4, 2, 0), 10)
	for n := range 2 {
		assert.Assert(t, q.Heard(now.Add(202*time.Millisecond), flow(n+2), 1))
	}
	var ports []int
	at := now.Add(300 * time.Millisecond)
	for w := q.Next(at, Server{Slots: 1}); w != nil; w = q.Next(at, Server{Slots: 1}) {
		ports = append(ports, int(w.Flow.CallerPort))
	}
	assert.DeepEqual(t, ports, []int{2, 3, 1, 4})
}
