package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"mangowinch/internal/stand/fabric"
	"mangowinch/internal/stand/plat"
	"mangowinch/internal/stand/server"
)

const (
	headerTimeout = 10 * time.Second // a client that never sends its headers holds no connection for longer
	drainTimeout  = 10 * time.Minute // a server told to stop lets its feeds and uploads end
)

type platformCommand struct {
	Directory string         `arg:"" type:"existingdir" help:"Directory with NAME.ini, NAME.rev (optional) and instances.json."`
	Address   netip.AddrPort `required:"" help:"Where readers reach the platform."`
	Admin     netip.AddrPort `required:"" help:"Where tests set faults and count calls."`
	Lag       time.Duration  `default:"0s" help:"The instance list is served as it was this long ago."`
}

// Run serves until the context ends.
func (c *platformCommand) Run(ctx context.Context, log zerolog.Logger) error {
	platform := plat.New(plat.Settings{Directory: c.Directory, Lag: c.Lag, Log: log})
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { platform.Run(ctx); return nil })
	group.Go(func() error { return serve(ctx, c.Address, platform.Reader(), 0, 0) })
	group.Go(func() error { return serve(ctx, c.Admin, platform.Admin(), 0, 0) })
	return group.Wait()
}

type fabricCommand struct {
	Service []netip.AddrPort `required:"" help:"Where callers reach a service."`
	Entry   []netip.Addr     `required:"" help:"The bind address of an entry."`
	Admin   netip.AddrPort   `required:"" help:"Where tests set faults and read counts."`
	Idle    time.Duration    `default:"5m" help:"A caller that is silent this long is forgotten."`
	Callers int              `default:"20000" help:"Callers known at a time."`
}

// Run carries datagrams until the context ends.
func (c *fabricCommand) Run(ctx context.Context, log zerolog.Logger) error {
	f, err := fabric.Listen(fabric.Settings{
		Services:    c.Service,
		Entries:     c.Entry,
		IdleTimeout: c.Idle,
		MaxCallers:  c.Callers,
		Log:         log,
	})
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.Run(ctx) })
	group.Go(func() error { return serve(ctx, c.Admin, f.Admin(), 0, 0) })
	return group.Wait()
}

type serverCommand struct {
	Address     netip.AddrPort `required:"" help:"Where the agent reaches the server."`
	Slots       int            `default:"4" help:"Lookups and uploads that run at a time."`
	Queue       int            `default:"4" help:"Lookups and uploads that wait for a slot."`
	Connections int            `default:"2000" help:"Connections held open."`
	Service     time.Duration  `default:"5ms" help:"Service time of a lookup that names none."`
	Cold        time.Duration  `default:"2s" help:"Time after the start in which work is slow."`
	Lag         time.Duration  `default:"0s" help:"Health and load are reported as they were this long ago."`
	Lie         bool           `help:"Report a load of none."`
	Journal     string         `type:"path" help:"File that gets a line at the start and the end of each execution."`
}

// Run serves until the context ends, then drains.
func (c *serverCommand) Run(ctx context.Context, log zerolog.Logger) error {
	settings := server.Settings{
		Slots:       c.Slots,
		Queue:       c.Queue,
		ServiceTime: c.Service,
		WarmUp:      c.Cold,
		Lag:         c.Lag,
		ReportIdle:  c.Lie,
		Log:         log,
	}
	if c.Journal != "" {
		file, err := os.OpenFile(c.Journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			return errors.Wrap(err, "open journal")
		}
		defer file.Close()
		settings.Journal = file
	}
	s := server.New(settings)
	stop := context.AfterFunc(ctx, s.Drain)
	defer stop()
	return serve(ctx, c.Address, s.Handler(), c.Connections, drainTimeout)
}

// serve answers HTTP/1.1 until the context ends, then waits for what runs, up to grace.
func serve(ctx context.Context, address netip.AddrPort, handler http.Handler, connections int, grace time.Duration) (err error) {
	defer func() { err = errors.Wrapf(err, "serve %s", address) }()
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	if connections > 0 {
		listener = netutil.LimitListener(listener, connections)
	}
	web := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		rest, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
		defer cancel()
		if web.Shutdown(rest) != nil {
			_ = web.Close() // the grace is over; nothing is left to do about an error
		}
	})
	defer stop()
	if err := web.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-stopped
	return nil
}
