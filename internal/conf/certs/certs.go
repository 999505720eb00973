// Package certs holds the TLS certificate of a process and reloads it when it is renewed,
// without a restart.
//
// A certificate is used only during handshakes, so a new one interrupts no open flow.
// The two files of a pair are replaced one after the other, so in between
// the certificate does not match the private key. Such a pair, a damaged one
// and one that is not currently valid are counted and retried, and the last valid pair
// stays in use.
//
// The package does not check whether callers trust the certificate, and it does not handle
// the keys of connection IDs, which are rotated by documents.
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

// Interval is the time between two checks of the files. Certificates are renewed
// hours before they expire; ten seconds is soon enough and costs two small reads.
const Interval = 10 * time.Second

// Pair is a certificate and its private key, read from two files.
type Pair struct {
	certificate, private string // paths
	logger               zerolog.Logger
	current              atomic.Pointer[tls.Certificate]
	loaded, bad          *metrics.Counter // registered only in processes with a certificate
	expiry               *metrics.Gauge   // Unix time at which the certificate in use expires

	// Used only by Open and Watch.
	inUse     pairFiles
	lastError string // error of the last rejected files; a repeated error is not counted and logged again
}

// pairFiles holds the contents of the two files.
type pairFiles struct {
	certificate, private []byte
}

func (f pairFiles) equal(g pairFiles) bool {
	return bytes.Equal(f.certificate, g.certificate) && bytes.Equal(f.private, g.private)
}

// Open reads a pair of PEM files. The certificate must be currently valid.
func Open(certificate, private string, logger zerolog.Logger) (pair *Pair, err error) {
	defer func() { err = errors.Wrap(err, "certificate") }()

	p := &Pair{
		certificate: certificate,
		private:     private,
		logger:      logger,
		loaded:      metrics.GetOrCreateCounter(`mangowinch_certificate_reloads_total{result="loaded"}`),
		bad:         metrics.GetOrCreateCounter(`mangowinch_certificate_reloads_total{result="bad"}`),
		expiry:      metrics.GetOrCreateGauge(`mangowinch_certificate_until_seconds`, nil),
	}
	files, err := p.read()
	if err != nil {
		return nil, err
	}
	if err := p.use(files); err != nil {
		return nil, err
	}
	return p, nil
}

// GetCertificate returns the pair in use. It is meant for the field of the same name in tls.Config.
func (p *Pair) GetCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return p.current.Load(), nil
}

// Watch checks the files every Interval until the context is done.
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

// reload starts to use a changed pair if it is valid. A rejected pair is
// tried again each time, since a pair that is not valid yet can become valid.
func (p *Pair) reload() {
	files, err := p.read()
	if err == nil {
		if files.equal(p.inUse) {
			p.lastError = ""
			return
		}
		err = p.use(files)
	}
	if err != nil {
		p.reject(err)
		return
	}
	p.lastError = ""
	p.loaded.Inc()
	p.logger.Info().Time("until", p.current.Load().Leaf.NotAfter).Msg("certificate in use")
}

func (p *Pair) reject(err error) {
	if err.Error() == p.lastError {
		return
	}
	p.lastError = err.Error()
	p.bad.Inc()
	p.logger.Error().Err(err).Msg("certificate rejected; keeping the last valid one")
}

func (p *Pair) read() (files pairFiles, err error) {
	if files.certificate, err = os.ReadFile(p.certificate); err != nil {
		return pairFiles{}, err
	}
	if files.private, err = os.ReadFile(p.private); err != nil {
		return pairFiles{}, err
	}
	return files, nil
}

// use parses a pair and makes it the one that new handshakes use.
func (p *Pair) use(files pairFiles) error {
	pair, err := tls.X509KeyPair(files.certificate, files.private)
	if err != nil {
		return err
	}
	now := time.Now()
	if now.Before(pair.Leaf.NotBefore) || now.After(pair.Leaf.NotAfter) {
		return errors.Newf("not valid now: valid from %s to %s", pair.Leaf.NotBefore.UTC(), pair.Leaf.NotAfter.UTC())
	}
	p.inUse = files
	p.current.Store(&pair)
	p.expiry.Set(float64(pair.Leaf.NotAfter.Unix()))
	return nil
}
