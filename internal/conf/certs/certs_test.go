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

// writePair generates a pair for the given name and writes both files, or only the certificate.
func writePair(t *testing.T, directory, name string, valid time.Duration, both bool) {
	t.Helper()
	certificate, private, err := SelfSigned(nil, []string{name}, time.Now(), valid)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(filepath.Join(directory, "c.pem"), certificate, 0o600))
	if both {
		assert.NilError(t, os.WriteFile(filepath.Join(directory, "p.pem"), private, 0o600))
	}
}

func openPair(directory string) (*Pair, error) {
	return Open(filepath.Join(directory, "c.pem"), filepath.Join(directory, "p.pem"), zerolog.Nop())
}

func (p *Pair) name() string { return p.current.Load().Leaf.DNSNames[0] }

// connect opens a TLS connection over an in-memory pipe.
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

// Guards against interruptions while a certificate is renewed. The files are
// replaced one after the other and do not match for a while. An open connection
// must continue, handshakes must use the old certificate until the pair matches and the new one
// afterwards, and a later damaged or expired pair must not replace it.
func TestReload(t *testing.T) {
	directory := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		writePair(t, directory, "old", 24*time.Hour, true)
		p, err := openPair(directory)
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		go p.Watch(ctx)
		defer synctest.Wait()
		defer cancel()
		nextReload := func() {
			time.Sleep(Interval)
			synctest.Wait()
		}

		client, server := connect(t, p)
		defer func() { _ = client.Close() }()
		failures := p.bad.Get()
		writePair(t, directory, "half", 24*time.Hour, false)
		nextReload()
		nextReload()
		assert.Equal(t, p.name(), "old")
		assert.Equal(t, p.bad.Get(), failures+1) // once, not at every check

		successes := p.loaded.Get()
		writePair(t, directory, "new", 24*time.Hour, true)
		nextReload()
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

		writePair(t, directory, "expired", -time.Minute, true)
		nextReload()
		assert.Equal(t, p.name(), "new")
		assert.NilError(t, os.Remove(filepath.Join(directory, "c.pem")))
		nextReload()
		assert.Equal(t, p.name(), "new")
		assert.Equal(t, p.bad.Get(), failures+3)
	})
}

func TestOpenRejectsAnInvalidPair(t *testing.T) {
	directory := t.TempDir()
	_, err := openPair(directory)
	assert.ErrorContains(t, err, "no such file")
	writePair(t, directory, "expired", -time.Minute, true)
	_, err = openPair(directory)
	assert.ErrorContains(t, err, "valid from")
}
