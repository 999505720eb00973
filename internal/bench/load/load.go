// Package load sends lookups to a deployment of real processes at multiples of its capacity. Its results validate those
// of the experiments in virtual time (cmd/exper); it does not compare policies.
//
// Requests start at random times that do not depend on the responses (open loop), on connections that stay open. A
// connection belongs to the caller whose network its address is in. Refused requests are not retried: the figures are
// for single attempts.
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
	warmup     = 3 * time.Second // servers are slow for 2 s after their start
	maxLatency = 10 * time.Second
	precision  = 3 // significant digits of histograms
)

// Plan configures a measurement.
type Plan struct {
	Deployment string
	Binaries   string
	Service    string
	Work       time.Duration // service time of a lookup
	Deadline   time.Duration // sent with each lookup
	Flows      int           // connections
	Times      []float64     // multiples of the service's capacity
	Length     time.Duration // of each load
}

// Row is the result for one load.
type Row struct {
	Times      float64
	Sent       int
	InTime     int           // complete answers within the deadline
	Refused    int           // refused without being run
	Other      int           // late, of unknown outcome, or unanswered
	Goodput    float64       // InTime as a share of the lookups that the slots can process in the time
	P50, P99   time.Duration // time until a complete answer within the deadline
	RefusalP99 time.Duration // time until a refusal
}

// Measure starts the deployment and applies the loads one after the other.
func Measure(ctx context.Context, p Plan) (rows []Row, err error) {
	defer func() { err = errors.Wrap(err, "measure load") }()
	f, err := fleet.Start(ctx, fleet.Settings{Deployment: p.Deployment, Binaries: p.Binaries})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	s := f.Service(p.Service)
	flows, err := dialAll(ctx, f, s, p.Flows)
	if err != nil {
		return nil, err
	}
	defer func() {
		for _, c := range flows {
			c.Close()
		}
	}()
	time.Sleep(warmup)
	p.run(ctx, s, flows, p.Times[0]) // trains the estimators; not reported
	for _, t := range p.Times {
		rows = append(rows, p.run(ctx, s, flows, t))
		time.Sleep(warmup) // queued work ends
	}
	return rows, nil
}

func dialAll(ctx context.Context, f *fleet.Fleet, s *docs.Service, n int) (flows []*client.Caller, err error) {
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

// capacity returns the number of lookups per second that the service's slots can process.
func (p Plan) capacity(s *docs.Service) float64 {
	slots := 0
	for i := range s.Servers {
		slots += s.Servers[i].Slots
	}
	return float64(slots) / p.Work.Seconds()
}

// tally counts lookups by outcome.
type tally struct {
	mu                sync.Mutex // guards row and histograms
	row               Row
	answered, refused *hdrhistogram.Histogram // microseconds
}

// run sends lookups at random times for the plan's length and waits until all have ended.
func (p Plan) run(ctx context.Context, s *docs.Service, flows []*client.Caller, times float64) Row {
	t := &tally{
		row:      Row{Times: times},
		answered: hdrhistogram.New(1, maxLatency.Microseconds(), precision),
		refused:  hdrhistogram.New(1, maxLatency.Microseconds(), precision),
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
	t.row.P50 = time.Duration(t.answered.ValueAtQuantile(50)) * time.Microsecond
	t.row.P99 = time.Duration(t.answered.ValueAtQuantile(99)) * time.Microsecond
	t.row.RefusalP99 = time.Duration(t.refused.ValueAtQuantile(99)) * time.Microsecond
	return t.row
}

// outcome is the answer to a lookup and the time that it took.
type outcome struct {
	answer client.Answer
	took   time.Duration
}

func (p Plan) lookup(ctx context.Context, c *client.Caller, n int) outcome {
	began := time.Now()
	a := c.Do(ctx, client.Request{
		Method:   "POST",
		Path:     fmt.Sprintf("/lookup/load%d?time=%s", n, p.Work),
		Body:     strings.NewReader("claim"),
		Deadline: p.Deadline,
	})
	return outcome{a, time.Since(began)}
}

func (t *tally) add(p Plan, e outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.row.Sent++
	took := min(e.took, maxLatency).Microseconds()
	switch {
	case e.answer.Outcome == result.Ran && e.answer.Err == nil && e.answer.Status < 300 && e.took <= p.Deadline:
		t.row.InTime++
		_ = t.answered.RecordValue(took) // in range, since took is at most maxLatency
	case e.answer.Outcome == result.NotRun:
		t.row.Refused++
		_ = t.refused.RecordValue(took)
	default:
		t.row.Other++
	}
}
