// Package start assembles a process from its settings: documents, the entry or agent, and the operators'
// server. It is the only package that depends on all of them, and none of them depends on it.
//
// # Usage
//
//	settings, err := prefs.Load("entry.ini")
//	err = start.Entry(ctx, settings) // until ctx ends and the graceful shutdown is done
package start

import (
	"context"
	"crypto/tls"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"mangowinch/internal/conf/certs"
	"mangowinch/internal/conf/docs"
	"mangowinch/internal/conf/prefs"
	"mangowinch/internal/conf/store"
	"mangowinch/internal/node/agent"
	"mangowinch/internal/node/entry"
	"mangowinch/internal/oper/admin"
	"mangowinch/internal/oper/build"
	"mangowinch/internal/oper/logs"
)

// components holds what the processes of both roles need.
type components struct {
	settings *prefs.Settings
	log      zerolog.Logger
	store    *store.Store
	admin    *admin.Server
	missing  func() int // number of documents of which a peer has a newer revision
}

// runner is a process of either role.
type runner interface {
	Run(ctx context.Context) error
	// InForce returns the number of documents in force at the process.
	InForce() int
}

func newComponents(settings *prefs.Settings, role string) *components {
	p := &components{
		settings: settings,
		log:      logs.New(os.Stderr, role, settings.Process.Name),
		store:    store.New(docs.Parse),
	}
	p.admin = admin.New(settings.Process.Operator, p.log)
	self := Process{
		Name:    settings.Process.Name,
		Role:    role,
		Domain:  settings.Process.Domain,
		Version: build.Version(),
		Since:   time.Now(),
	}
	p.admin.Section("process", func() any { return self })
	p.admin.Section("documents", func() any { return listDocuments(p.store.View()) })
	return p
}

// Entry runs an entry until ctx ends and its graceful shutdown is done.
func Entry(ctx context.Context, settings *prefs.Settings) (err error) {
	p := newComponents(settings, "entry")
	if err := p.admin.Open(); err != nil {
		return err
	}
	e, err := entry.New(settings, p.store, p.log)
	if err != nil {
		return err
	}
	p.admin.Section("services", func() any { return e.Status() })
	control, err := p.relayEntry(ctx, e)
	if err != nil {
		return err
	}
	return p.run(ctx, e, control)
}

// Agent runs an agent until ctx ends and its graceful shutdown is done.
func Agent(ctx context.Context, settings *prefs.Settings) (err error) {
	p := newComponents(settings, "agent")
	if settings.Agent == nil {
		return errors.New("the settings have no section agent")
	}
	if err := p.admin.Open(); err != nil {
		return err
	}
	pair, err := certs.Open(settings.Agent.Certificate, settings.Agent.Private, p.log)
	if err != nil {
		return err
	}
	watchCtx, stop := context.WithCancel(context.WithoutCancel(ctx)) // a graceful shutdown may take hours
	defer stop()
	go pair.Watch(watchCtx)
	a, err := agent.New(settings, p.store, &tls.Config{GetCertificate: pair.GetCertificate}, p.log)
	if err != nil {
		return err
	}
	p.admin.Section("agent", func() any { return a.Status() })
	control, err := p.relayAgent(ctx, a)
	if err != nil {
		return err
	}
	return p.run(ctx, a, control)
}

// run runs the relay, the readiness checks and the operators' server until the process has ended.
func (p *components) run(ctx context.Context, r runner, control func(context.Context) error) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	// A process that shuts down serves its flows for hours, and is not ready for more.
	staying := p.admin.Condition("staying")
	staying.Set(true, "")
	defer context.AfterFunc(ctx, func() { staying.Set(false, "planned stop") })()
	var g errgroup.Group
	g.Go(func() error { return control(inner) })
	g.Go(func() error {
		p.watchReady(inner, r)
		return nil
	})
	g.Go(func() error { return p.admin.Run(inner) })
	g.Go(func() error {
		defer stop()
		return r.Run(ctx)
	})
	return g.Wait()
}
