package certs

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// write makes a pair for the given name and writes the two files, or only the first.
func write(t *testing.T, directory, name string, valid time.Duration, both bool) {
	t.Helper()
	certificate, private, err := SelfSigned(nil, []string{name}, time.Now(), valid)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(filepath.Join(directory, "c.pem"), certificate, 0o600))
	if both {
		assert.NilError(t, os.WriteFile(filepath.Join(directory, "p.pem"), private, 0o600))
	}
}

func open(directory string) (*Pair, error) {
	return Open(filepath.Join(directory, "c.pem"), filepath.Join(directory, "p.pem"), zerolog.Nop())
}

func (p *Pair) name() string { return p.current.Load().Leaf.DNSNames[0] }

// connect opens a TLS connection through memory.
func connect(t *testing.T, p *Pair) (client *tls.Conn, server *tls.Conn) {
	t.Helper()
	a, b := net.Pipe()
	client = tls.Client(a, &tls.Config{InsecureSkipVerify: true})
	server = tls.Server(b, &tls.Config{GetCertificate: p.GetCertificate, SessionTicketsDisabled: true})
	done := make(chan error, 1)
	go func() { done <- server.Handshake() }()
	assert.NilError(t, client.Handshake())
	assert.NilError(t, <-done)
	return client, server
}

// A certificate is renewed while a caseworker's feed is open. The files are
// replaced one after the other, and for a while they do not belong together. The
// feed must go on, callers that come meanwhile get the old certificate, and later
// ones the new; a damaged or expired pair later must not lock callers out.
func TestReload(t *testing.T) {
	directory := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		write(t, directory, "old", 24*time.Hour, true)
		p, err := open(directory)
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		go p.Watch(ctx)
		defer synctest.Wait()
		defer cancel()
		look := func() {
			time.Sleep(Interval)
			synctest.Wait()
		}

		client, server := connect(t, p)
		defer func() { _ = client.Close() }()
		failures := p.bad.Get()
		write(t, directory, "half", 24*time.Hour, false)
		look()
		look()
		assert.Equal(t, p.name(), "old")
		assert.Equal(t, p.bad.Get(), failures+1) // once, not at every look

		successes := p.loaded.Get()
		write(t, directory, "new", 24*time.Hour, true)
		look()
		assert.Equal(t, p.name(), "new")
		assert.Equal(t, p.loaded.Get(), successes+1)
		other, _ := connect(t, p)
		assert.Equal(t, other.ConnectionState().PeerCertificates[0].DNSNames[0], "new")
		_ = other.Close()

		go func() { _, _ = server.Write([]byte("still here")) }()
		text := make([]byte, len("still here"))
		n, err := client.Read(text)
		assert.NilError(t, err)
		assert.Equal(t, string(text[:n]), "still here")

		write(t, directory, "expired", -time.Minute, true)
		look()
		assert.Equal(t, p.name(), "new")
		assert.NilError(t, os.Remove(filepath.Join(directory, "c.pem")))
		look()
		assert.Equal(t, p.name(), "new")
		assert.Equal(t, p.bad.Get(), failures+3)
	})
}

func TestOpenRefusesABadPair(t *testing.T) {
	directory := t.TempDir()
	_, err := open(directory)
	assert.ErrorContains(t, err, "no such file")
	write(t, directory, "expired", -time.Minute, true)
	_, err = open(directory)
	assert.ErrorContains(t, err, "valid from")
}
