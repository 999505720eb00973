// Package flows measures a deployment of real processes on loopback: how many
// flows a second open, and what an open flow takes of an agent's and an entry's
// memory.
//
// Callers run in the measuring process; its own cost is not in the figures but
// shares the machine with them.
//
// # Usage
//
//	report, err := flows.Measure(ctx, flows.Plan{Deployment: "examples/zagreb", Binaries: "out", Steps: []int{250, 500}})
package flows

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/stand/client"
	"mangowinch/internal/stand/fleet"
)

const (
	parallel  = 64 // flows being opened at a time
	settle    = 2 * time.Second
	keepAlive = 5 * time.Second
	idleLimit = 5 * time.Minute
)

// Plan says what to measure.
type Plan struct {
	Deployment string
	Binaries   string
	Service    string
	Steps      []int         // open flows, over all agents of the service, ascending
	Rate       time.Duration // how long flows are opened and closed for the rate
}

// Point is the memory at one number of open flows.
type Point struct {
	Flows    int
	Agent    int64 // resident bytes, mean of the agents
	Entry    int64 // resident bytes, mean of the entries
	Answered int   // flows that answered a request after settling
}

// Report is what was measured.
type Report struct {
	Agents, Entries int
	Points          []Point
	PerAgentFlow    float64 // bytes of an agent for each of its flows: slope of the fit
	BaseMemory      float64 // bytes of an agent without flows: intercept
	RSquared        float64 // R squared
	PerEntryFlow    float64 // bytes of an entry for each flow of the deployment: slope
	Rate            float64 // flows opened, used once and closed in a second
	Failed          int64   // flows that did not open
}

// Measure starts the deployment and measures it.
func Measure(ctx context.Context, p Plan) (r Report, err error) {
	defer func() { err = errors.Wrap(err, "measure flows") }()
	f, err := fleet.Start(ctx, fleet.Settings{Deployment: p.Deployment, Binaries: p.Binaries})
	if err != nil {
		return Report{}, err
	}
	defer f.Close()
	s := f.Service(p.Service)
	r = Report{Agents: len(f.Agents(p.Service)), Entries: len(f.Entries())}
	r.Rate, r.Failed = rate(ctx, f, s, p.Rate)
	var open []*client.Caller
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	for _, n := range p.Steps {
		more, err := dialMany(ctx, f, s, n-len(open))
		if err != nil {
			return Report{}, err
		}
		open = append(open, more...)
		point, err := measure(ctx, f, p.Service, open)
		if err != nil {
			return Report{}, err
		}
		r.Points = append(r.Points, point)
	}
	r.fit()
	return r, nil
}

func dial(ctx context.Context, f *fleet.Fleet, s *docs.Service, i int) (*client.Caller, error) {
	base := s.Callers[0].Networks[0].Addr().As4()
	base[3] = byte(1 + i%250)
	return client.Dial(ctx, client.Settings{
		Local:       netip.AddrFrom4(base),
		Service:     s.Address,
		Name:        s.Name,
		Roots:       f.Roots,
		IdleTimeout: idleLimit,
		KeepAlive:   keepAlive,
	})
}

func dialMany(ctx context.Context, f *fleet.Fleet, s *docs.Service, n int) (callers []*client.Caller, err error) {
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(parallel)
	for i := range n {
		g.Go(func() error {
			c, err := dial(ctx, f, s, i)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			callers = append(callers, c)
			return nil
		})
	}
	return callers, g.Wait()
}

// measure lets the flows settle, uses each once so that it has its whole state,
// and reads the memory of agents and entries.
func measure(ctx context.Context, f *fleet.Fleet, service string, open []*client.Caller) (p Point, err error) {
	p.Flows = len(open)
	var heard atomic.Int64
	var g errgroup.Group
	g.SetLimit(parallel / 8)
	for i, c := range open {
		g.Go(func() error {
			if a := c.Do(ctx, client.Request{Method: "GET", Path: fmt.Sprintf("/status/%d", i)}); a.Status != 0 {
				heard.Add(1)
			}
			return nil
		})
	}
	_ = g.Wait() // its functions give no errors
	p.Answered = int(heard.Load())
	time.Sleep(settle)
	var names []string
	for _, n := range f.Agents(service) {
		names = append(names, n.Process.Name)
	}
	if p.Agent, err = resident(f, names); err != nil {
		return Point{}, err
	}
	names = names[:0]
	for _, n := range f.Entries() {
		names = append(names, n.Process.Name)
	}
	p.Entry, err = resident(f, names)
	return p, err
}

// resident is the mean resident memory of processes, in bytes.
func resident(f *fleet.Fleet, names []string) (mean int64, err error) {
	for _, n := range names {
		b, err := residentOf(f.Process(n).ID())
		if err != nil {
			return 0, err
		}
		mean += b
	}
	return mean / int64(len(names)), nil
}

func residentOf(id int) (bytes int64, err error) {
	defer func() { err = errors.Wrapf(err, "memory of process %d", id) }()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kib << 10, err
		}
	}
	return 0, errors.New("no VmRSS")
}

// rate opens flows, uses each for one request and closes it.
func rate(ctx context.Context, f *fleet.Fleet, s *docs.Service, length time.Duration) (perSecond float64, failed int64) {
	began := time.Now()
	var opened, lost atomic.Int64
	var g errgroup.Group
	for w := range parallel {
		g.Go(func() error {
			for i := w; time.Since(began) < length; i += parallel {
				c, err := dial(ctx, f, s, i)
				if err != nil {
					lost.Add(1)
					continue
				}
				c.Close()
				opened.Add(1)
			}
			return nil
		})
	}
	_ = g.Wait() // its functions give no errors
	return float64(opened.Load()) / time.Since(began).Seconds(), lost.Load()
}

func (r *Report) fit() {
	var flows, all, agent, entry []float64
	for _, p := range r.Points {
		flows = append(flows, float64(p.Flows)/float64(r.Agents))
		all = append(all, float64(p.Flows))
		agent = append(agent, float64(p.Agent))
		entry = append(entry, float64(p.Entry))
	}
	r.BaseMemory, r.PerAgentFlow = stat.LinearRegression(flows, agent, nil, false)
	r.RSquared = stat.RSquared(flows, agent, nil, r.BaseMemory, r.PerAgentFlow)
	_, r.PerEntryFlow = stat.LinearRegression(all, entry, nil, false)
}
