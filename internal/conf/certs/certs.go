// Package certs holds a process's TLS certificate and takes a renewed one into use
// while the process runs.
//
// A certificate is looked at only during a handshake, so a new one cuts no flow that
// is open. The two files of a pair are replaced one after the other, and a reader in
// between sees a certificate with another's private key; such a pair, a damaged one
// or one that is not valid now leaves the last good one in use, is counted and is
// tried again.
//
// The package does not check that callers trust the certificate, and it has nothing
// to do with the keys of connection IDs, which documents rotate.
//
// # Usage
//
//	pair, err := certs.Open(settings.Agent.Certificate, settings.Agent.Private, logger)
//	if err != nil {
//		return err
//	}
//	go pair.Watch(ctx)
//	config := &tls.Config{GetCertificate: pair.GetCertificate}
package certs

import (
	"bytes"
	"context"
	"crypto/tls"
	"os"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// Interval is the time between two looks at the files. Certificates are renewed
// hours before they end; ten seconds is soon enough and costs two small reads.
const Interval = 10 * time.Second

// Pair is a certificate and its private key, read from two files.
type Pair struct {
	certificate, private string // paths
	logger               zerolog.Logger
	current              atomic.Pointer[tls.Certificate]
	loaded, bad          *metrics.Counter // only a process with a certificate has them
	until                *metrics.Gauge   // Unix time at which the certificate in use ends

	// Owned by Watch.
	inUse  text
	failed string // why the files were turned down last, so that it is counted and logged once
}

// text is what the two files hold.
type text struct {
	certificate, private []byte
}

func (t text) equal(u text) bool {
	return bytes.Equal(t.certificate, u.certificate) && bytes.Equal(t.private, u.private)
}

// Open reads a pair of PEM files. The pair must be valid now.
func Open(certificate, private string, logger zerolog.Logger) (pair *Pair, err error) {
	defer func() { err = errors.Wrap(err, "certificate") }()

	p := &Pair{
		certificate: certificate,
		private:     private,
		logger:      logger,
		loaded:      metrics.GetOrCreateCounter(`mangowinch_certificate_reloads_total{result="loaded"}`),
		bad:         metrics.GetOrCreateCounter(`mangowinch_certificate_reloads_total{result="bad"}`),
		until:       metrics.GetOrCreateGauge(`mangowinch_certificate_until_seconds`, nil),
	}
	t, err := p.read()
	if err != nil {
		return nil, err
	}
	if err := p.use(t); err != nil {
		return nil, err
	}
	return p, nil
}

// GetCertificate returns the pair in use; it is for tls.Config.
func (p *Pair) GetCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return p.current.Load(), nil
}

// Watch looks at the files every Interval until the context is done.
func (p *Pair) Watch(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.reload()
		}
	}
}

// reload takes a changed pair into use if it is good. A pair that was turned down is
// tried again each time, since one that is not valid yet becomes so.
func (p *Pair) reload() {
	t, err := p.read()
	if err == nil {
		if t.equal(p.inUse) {
			p.failed = ""
			return
		}
		err = p.use(t)
	}
	if err != nil {
		p.turnDown(err)
		return
	}
	p.failed = ""
	p.loaded.Inc()
	p.logger.Info().Time("until", p.current.Load().Leaf.NotAfter).Msg("certificate in use")
}

func (p *Pair) turnDown(err error) {
	if err.Error() == p.failed {
		return
	}
	p.failed = err.Error()
	p.bad.Inc()
	p.logger.Error().Err(err).Msg("certificate cannot be used; the last good one stays")
}

func (p *Pair) read() (t text, err error) {
	if t.certificate, err = os.ReadFile(p.certificate); err != nil {
		return text{}, err
	}
	if t.private, err = os.ReadFile(p.private); err != nil {
		return text{}, err
	}
	return t, nil
}

// use parses a pair and makes it the one that handshakes get.
func (p *Pair) use(t text) error {
	pair, err := tls.X509KeyPair(t.certificate, t.private)
	if err != nil {
		return err
	}
	now := time.Now()
	if now.Before(pair.Leaf.NotBefore) || now.After(pair.Leaf.NotAfter) {
		return errors.Newf("valid from %s to %s only", pair.Leaf.NotBefore.UTC(), pair.Leaf.NotAfter.UTC())
	}
	p.inUse = t
	p.current.Store(&pair)
	p.until.Set(float64(pair.Leaf.NotAfter.Unix()))
	return nil
}
