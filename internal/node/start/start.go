// Package start puts a process together from its settings: documents, the process
// of its role, and the operators' server. It is the one place that knows all parts;
// none of them knows it.
//
// # Usage
//
//	settings, err := prefs.Load("entry.ini")
//	err = start.Entry(ctx, settings) // until ctx ends and the planned stop is done
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

// components are what every process has.
type components struct {
	settings *prefs.Settings
	log      zerolog.Logger
	store    *store.Store
	admin    *admin.Server
	missing  func() int // documents that a peer has newer
}

// runner is a process of either role.
type runner interface {
	Run(ctx context.Context) error
	// InForce is the number of documents that the process works by.
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

// Entry runs an entry until ctx ends and its planned stop is done.
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

// Agent runs an agent until ctx ends and its planned stop is done.
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
	watchCtx, stop := context.WithCancel(context.WithoutCancel(ctx)) // a planned stop may take hours
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

// run keeps documents and the operators' server going until the process has ended.
func (p *components) run(ctx context.Context, r runner, control func(context.Context) error) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	// A process that is being stopped works on for hours and is not ready for more.
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
