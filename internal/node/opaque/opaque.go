// Package opaque assembles a process of the system for opaque flows: sockets, belief, the entry or agent,
// the operators' server, and the graceful shutdown.
//
// It makes no decisions about flows. What depends on the platform, a codec for packets and a source of
// configuration, is passed in, so that the process can run on any platform.
//
// Sockets are opened first, and the configuration is read concurrently. An agent forwards packets of its
// own server's flows without any configuration, and callers' packets that arrive before its sockets are
// open are lost.
//
// # Usage
//
//	err := opaque.Entry(ctx, settings, opaque.Adapter{Codec: codec, Callers: callers, Source: source}, os.Stdout)
package opaque

import (
	"context"
	"io"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"mangowinch/internal/conf/carry"
	"mangowinch/internal/ctrl/belief"
	"mangowinch/internal/ctrl/follow"
	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/load/parts"
	"mangowinch/internal/node/pause"
	"mangowinch/internal/node/prober"
	"mangowinch/internal/oper/admin"
	"mangowinch/internal/oper/build"
	"mangowinch/internal/oper/event"
)

// Adapter holds what the process needs of the platform.
type Adapter struct {
	Codec   segs.Codec
	Callers segs.CallerTiming
	Source  follow.Source
	Reload  func() (*carry.Settings, error) // reads the settings again
}

// process holds what both roles need.
type process struct {
	settings *carry.Settings
	reload   func() (*carry.Settings, error)
	events   *event.Log
	log      *belief.Log
	follow   *follow.Node
	admin    *admin.Server
	metrics  *admin.Server // nil: none
	sockets  *sockets
	prober   *prober.Node
	started  time.Time
}

// newProcess opens the sockets and creates the parts that both roles need.
func newProcess(ctx context.Context, s *carry.Settings, a Adapter, role msgs.Role, out io.Writer, changed func()) (p *process, err error) {
	name := "entry"
	if role == msgs.Agent {
		name = "agent"
	}
	p = &process{settings: s, reload: a.Reload, events: event.New(out, name, s.Process.Name), log: belief.New(), started: time.Now()}
	p.events.State("start").Str("version", build.Version()).Str("domain", s.Process.Domain).Stringer("link", s.Link).Send()
	if s.Without != (parts.Off{}) {
		p.events.State("without").Any("parts", s.Without).Send()
	}
	if p.sockets, err = openSockets(ctx, s); err != nil {
		return nil, err
	}
	p.follow = follow.New(follow.Config{
		Self:             s.Link.Addr(),
		Role:             role,
		Domain:           s.Process.Domain,
		Seeds:            addrsOf(s.Seeds),
		Log:              p.log,
		Source:           a.Source,
		Send:             p.sockets.ToPeer,
		Fetch:            follow.Dial(s.Link.Port()),
		Events:           p.events,
		PropagationBound: s.Bounds.Change,
		Changed:          changed,
	})
	p.prober = prober.New(s.Link.Addr(), p.sockets.ToPeer)
	p.admin = admin.New(s.Process.Operator, p.events.Logger())
	if s.Process.Metrics.IsValid() {
		p.metrics = admin.New(s.Process.Metrics, p.events.Logger())
		if err := p.metrics.Open(); err != nil {
			return nil, err
		}
	}
	return p, p.admin.Open()
}

// newRand returns a random source of the process's own: processes must not make the same choices.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func addrsOf(list []netip.AddrPort) (a []netip.Addr) {
	for _, s := range list {
		a = append(a, s.Addr())
	}
	return a
}

// serve runs all parts until ctx ends and the graceful shutdown, shutDown, has returned. Changed settings
// are passed to apply.
func (p *process) serve(ctx context.Context, tick func(time.Time), apply func(*carry.Settings), shutDown func(), readers ...func() error) (err error) {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var g errgroup.Group
	for _, r := range readers {
		g.Go(r)
	}
	g.Go(func() error {
		p.follow.Run(inner)
		return nil
	})
	g.Go(func() error { return follow.Serve(inner, p.sockets.fetchListener, p.log) })
	g.Go(func() error { return p.admin.Run(inner) })
	if p.metrics != nil {
		g.Go(func() error { return p.metrics.Run(inner) })
	}
	g.Go(func() error {
		pause.Watch(inner, func(length time.Duration) { p.events.State("woken").Dur("pause", length).Send() })
		return nil
	})
	g.Go(func() error {
		watchTraffic(inner, p.events)
		return nil
	})
	g.Go(func() error {
		p.watchSettings(inner, p.reload, apply)
		return nil
	})
	g.Go(func() error {
		p.ticks(inner, tick)
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		p.events.State("leaving").Send()
		shutDown()
		stop()
		p.sockets.close()
		return nil
	})
	err = g.Wait()
	p.events.State("stop").Dur("after", time.Since(p.started)).AnErr("cause", err).Send()
	p.events.Close()
	return errors.Wrap(err, "run")
}

// tickEvery is how often tick is called. The tables are swept once a second.
const tickEvery = 50 * time.Millisecond

func (p *process) ticks(ctx context.Context, tick func(time.Time)) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			tick(now)
		}
	}
}

// Belief is the section of /status on the process's view of the configuration and servers.
type Belief struct {
	Revision  string   `json:"revision"` // era and number
	Version   int64    `json:"version"`
	Age       string   `json:"age"`
	Reading   bool     `json:"reading"`
	Agents    int      `json:"agents"`
	Entries   int      `json:"entries"`
	Evacuated []string `json:"evacuated,omitempty"` // failure domains
}

func (p *process) status() Belief {
	v := p.log.View()
	age := "unknown"
	if d, ok := p.follow.Age(time.Now()); ok {
		age = d.Round(time.Millisecond).String()
	}
	return Belief{
		Revision:  v.Revision.String(),
		Version:   v.Version(),
		Age:       age,
		Reading:   p.follow.Reading(),
		Agents:    len(v.Homes.Agents()),
		Entries:   len(p.follow.Entries()),
		Evacuated: v.EvacuatedDomains(),
	}
}
