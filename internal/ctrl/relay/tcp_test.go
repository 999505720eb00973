package relay_test

import (
	"context"
	"net"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"mangowinch/internal/conf/store"
	"mangowinch/internal/ctrl/budget"
	"mangowinch/internal/ctrl/fetch"
	"mangowinch/internal/ctrl/link"
	"mangowinch/internal/ctrl/peers"
	"mangowinch/internal/ctrl/relay"
	"mangowinch/internal/flow/order"
	"mangowinch/internal/stand/plat"
)

// startTCPEntry starts an entry that is reachable by TCP.
func startTCPEntry(ctx context.Context, t *testing.T, running *sync.WaitGroup, name, platform string, seeds ...netip.AddrPort) (*store.Store, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().(*net.TCPAddr).AddrPort()
	s, meter := store.New(parse), budget.New()
	dialer := link.New(meter)
	n := relay.New(relay.Config{
		Self:  peers.Member{Name: name, Role: peers.Entry, Domain: name, Address: address, Incarnation: 1, State: peers.Live},
		Seeds: seeds, Store: s, Meter: meter, Platform: fetch.NewWith(platform, link.Transport(meter)), Log: zerolog.Nop(),
		Dial: func(a netip.AddrPort) relay.Peer { return dialer.Peer(a) },
	})
	mux := drpcmux.New()
	assert.NilError(t, n.Register(mux))
	running.Go(func() { _ = drpcserver.New(mux).Serve(ctx, l) })
	running.Go(func() {
		n.Run(ctx)
		_ = dialer.Close()
	})
	return s, address
}

// awaitRevision waits until a document reaches at least the given revision, and checks that it is exactly
// that one.
func awaitRevision(ctx context.Context, t *testing.T, s *store.Store, name string, revision order.Revision) {
	t.Helper()
	for {
		changed := s.Changed()
		e := s.View().Documents[name]
		if e != nil && e.Revision >= revision {
			assert.Equal(t, e.Revision, revision)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			t.Fatalf("%s %s is not in force", name, revision)
		}
	}
}

// Two entries communicate by TCP, and one of them can't reach the platform. That one must receive every
// change from the other, and neither may revert when the platform serves an older revision.
func TestFollowsOverTCP(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	directory := t.TempDir()
	write := func(name, revision, text string) {
		assert.NilError(t, os.WriteFile(filepath.Join(directory, name+".rev"), []byte(revision), 0o600))
		assert.NilError(t, os.WriteFile(filepath.Join(directory, name+".ini"), []byte(text), 0o600))
	}
	write("tracing-core", "3", "tracing-core three")
	platform := plat.New(plat.Settings{Directory: directory, Log: zerolog.Nop()})
	var running sync.WaitGroup
	running.Go(func() { platform.Run(ctx) })
	server := httptest.NewServer(platform.Reader())
	defer server.Close()
	one, address := startTCPEntry(ctx, t, &running, "e1", server.URL)
	two, _ := startTCPEntry(ctx, t, &running, "e2", "http://127.0.0.1:1", address)
	awaitRevision(ctx, t, one, "tracing-core", 3)
	awaitRevision(ctx, t, two, "tracing-core", 3)
	write("tracing-core", "7", "tracing-core seven")
	awaitRevision(ctx, t, one, "tracing-core", 7)
	awaitRevision(ctx, t, two, "tracing-core", 7)
	write("tracing-core", "4", "tracing-core four")
	write("doc-intake", "1", "doc-intake one")
	awaitRevision(ctx, t, two, "doc-intake", 1)
	assert.Equal(t, one.View().Documents["tracing-core"].Revision, order.Revision(7))
	assert.Equal(t, two.View().Documents["tracing-core"].Revision, order.Revision(7))
	cancel()
	running.Wait()
}
