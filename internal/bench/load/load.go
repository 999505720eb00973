// Package load puts a deployment of real processes under lookups at a multiple of its
// capacity, to be held against what package exper's runs in virtual time show.
//
// Requests start at random times whatever the answers are (open loop), spread over
// connections that stay open; each connection counts as its caller's network says. A refused
// request is not sent again: what is measured is one try.
//
// # Usage
//
//	rows, err := load.Measure(ctx, load.Plan{Deployment: "examples/zagreb", Binaries: "bin", Service: "doc-intake", ...})
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/stand/client"
	"mangowinch/internal/stand/fleet"
	"mangowinch/internal/work/result"
)

const (
	warmup    = 3 * time.Second // servers are cold for two
	longest   = 10 * time.Second
	precision = 3 // significant digits of histograms
)

// Plan says what to measure.
type Plan struct {
	Deployment string
	Binaries   string
	Service    string
	Work       time.Duration // of each lookup at its server
	Deadline   time.Duration // told with each lookup
	Flows      int           // connections
	Times      []float64     // multiples of the service's capacity
	Length     time.Duration // of each load
}

// Row is one load.
type Row struct {
	Times      float64
	Sent       int
	InTime     int           // whole answers within the deadline
	Refused    int           // not run
	Other      int           // late, unknown, or without an answer
	Goodput    float64       // InTime as a share of what the slots can do in the time
	P50, P99   time.Duration // of whole answers
	RefusalP99 time.Duration // p99 until a refusal was answered
}

// Measure starts the deployment and puts the loads on it, one after the other.
func Measure(ctx context.Context, p Plan) (rows []Row, err error) {
	defer func() { err = errors.Wrap(err, "measure load") }()
	f, err := fleet.Start(ctx, fleet.Settings{Deployment: p.Deployment, Binaries: p.Binaries})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	s := f.Service(p.Service)
	flows, err := open(ctx, f, s, p.Flows)
	if err != nil {
		return nil, err
	}
	defer func() {
		for _, c := range flows {
			c.Close()
		}
	}()
	time.Sleep(warmup)
	p.play(ctx, s, flows, p.Times[0]) // estimates begin with it; not in the table
	for _, t := range p.Times {
		rows = append(rows, p.play(ctx, s, flows, t))
		time.Sleep(warmup) // what waits has ended
	}
	return rows, nil
}

func open(ctx context.Context, f *fleet.Fleet, s *docs.Service, n int) (flows []*client.Caller, err error) {
	flows = make([]*client.Caller, n)
	var g errgroup.Group
	g.SetLimit(16)
	for i := range n {
		caller := s.Callers[i%len(s.Callers)]
		base := caller.Networks[0].Addr().As4()
		base[3] = byte(1 + i%250)
		g.Go(func() (err error) {
			flows[i], err = client.Dial(ctx, client.Settings{Local: netip.AddrFrom4(base), Service: s.Address, Name: s.Name, Roots: f.Roots, KeepAlive: time.Second})
			return err
		})
	}
	return flows, g.Wait()
}

// capacity is how many lookups a second the service's slots can do.
func (p Plan) capacity(s *docs.Service) float64 {
	slots := 0
	for i := range s.Servers {
		slots += s.Servers[i].Slots
	}
	return float64(slots) / p.Work.Seconds()
}

// tally counts what became of lookups.
type tally struct {
	mu            sync.Mutex // guards row and histograms
	row           Row
	whole, refuse *hdrhistogram.Histogram // microseconds
}

// play sends lookups at random times for the plan's length and waits for their ends.
func (p Plan) play(ctx context.Context, s *docs.Service, flows []*client.Caller, times float64) Row {
	t := &tally{
		row:    Row{Times: times},
		whole:  hdrhistogram.New(1, longest.Microseconds(), precision),
		refuse: hdrhistogram.New(1, longest.Microseconds(), precision),
	}
	rate := times * p.capacity(s)
	random := rand.New(rand.NewPCG(1, uint64(times*1000)))
	began := time.Now()
	var all sync.WaitGroup
	due := time.Duration(0)
	for n := 0; due < p.Length; n++ {
		time.Sleep(time.Until(began.Add(due)))
		c := flows[random.IntN(len(flows))]
		all.Go(func() { t.add(p, p.lookup(ctx, c, n)) })
		due += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	}
	all.Wait()
	t.row.Goodput = float64(t.row.InTime) / (p.capacity(s) * p.Length.Seconds())
	t.row.P50 = time.Duration(t.whole.ValueAtQuantile(50)) * time.Microsecond
	t.row.P99 = time.Duration(t.whole.ValueAtQuantile(99)) * time.Microsecond
	t.row.RefusalP99 = time.Duration(t.refuse.ValueAtQuantile(99)) * time.Microsecond
	return t.row
}

// ended is a lookup's end and the time until it.
type ended struct {
	answer client.Answer
	took   time.Duration
}

func (p Plan) lookup(ctx context.Context, c *client.Caller, n int) ended {
	began := time.Now()
	a := c.Do(ctx, client.Request{
		Method:   "POST",
		Path:     fmt.Sprintf("/lookup/load%d?time=%s", n, p.Work),
		Body:     strings.NewReader("claim"),
		Deadline: p.Deadline,
	})
	return ended{a, time.Since(began)}
}

func (t *tally) add(p Plan, e ended) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.row.Sent++
	took := min(e.took, longest).Microseconds()
	switch {
	case e.answer.Outcome == result.Ran && e.answer.Err == nil && e.answer.Status < 300 && e.took <= p.Deadline:
		t.row.InTime++
		_ = t.whole.RecordValue(took) // in range by longest
	case e.answer.Outcome == result.NotRun:
		t.row.Refused++
		_ = t.refuse.RecordValue(took)
	default:
		t.row.Other++
	}
}
