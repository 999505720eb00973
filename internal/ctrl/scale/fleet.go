// Package scale runs many relays in one process, to measure the cost of control traffic at several sizes
// and to extrapolate it to others from the slopes.
//
// The relays, their messages and their limits are the real ones. Only the network is simplified: TCP on
// loopback addresses, or calls within the process if the machine has no room for that many relays on TCP.
// The platform is simulated within the process and called by the real client with its rate limit.
//
// It doesn't test correctness (the tests of package relay do) or the path of callers' packets.
//
// # Usage
//
//	f := scale.Start(scale.Size{Entries: 28, Documents: 100, TextSize: 2000})
//	defer f.Stop()
//	f.Await(f.Processes(), time.Minute)
//	cost := f.Measure(20 * time.Second)
package scale

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/conf/store"
	"mangowinch/internal/ctrl/budget"
	"mangowinch/internal/ctrl/fetch"
	"mangowinch/internal/ctrl/link"
	"mangowinch/internal/ctrl/peers"
	"mangowinch/internal/ctrl/relay"
	"mangowinch/internal/flow/order"
)

// Domains is the number of failure domains of a fleet.
const Domains = 7

// Size is the size of a fleet and its network conditions.
type Size struct {
	Entries   int
	Documents int
	TextSize  int     // bytes of one document
	Services  int     // number of documents whose services have agents
	Agents    int     // of each such service
	InMemory  bool    // calls within the process instead of TCP
	Loss      float64 // fraction of writes that arrive only after a retransmission
}

// Process is one relay with its store and meter.
type Process struct {
	Member  peers.Member
	Service string
	Node    *relay.Node
	Store   *store.Store
	Meter   *budget.Meter
	stop    context.CancelFunc
	ended   chan struct{}
}

// Fleet is a set of running relays.
type Fleet struct {
	Size      Size
	Platform  *Platform
	network   *network
	mu        sync.Mutex
	processes []*Process
}

// documentName returns the name of a document.
func documentName(n int) string { return fmt.Sprintf("service-%04d", n) }

// AddressBase is the second byte of the loopback addresses of entries; agents have the next one. Set it
// before starting the first fleet, to a different value for each of two concurrent measurements.
var AddressBase = 100

// address returns a distinct address in 127/8 for each process.
func address(role, n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(AddressBase + role), byte(n >> 8), byte(n)}), 7000)
}

const (
	entryRole = 0
	agentRole = 1
	seedCount = 5
)

// Start starts a fleet whose platform serves all documents at revision 1.
func Start(size Size) *Fleet {
	f := &Fleet{Size: size, Platform: newPlatform(), network: newNetwork()}
	for n := range size.Documents {
		f.Platform.Set(documentName(n), 1, f.text(n, 1))
	}
	for n := range size.Entries {
		f.Platform.addInstance(fetch.Instance{Name: fmt.Sprint("e", n), Role: "entry", Domain: domain(n), Address: address(entryRole, n), State: "live"})
	}
	for n := range size.Entries {
		f.start(f.entry(n), "", "")
	}
	for s := range size.Services {
		for n := range size.Agents {
			f.start(f.agent(s, n), documentName(s), fmt.Sprint("s", n+1))
		}
	}
	return f
}

func domain(n int) string { return fmt.Sprint("domain-", n%Domains) }

func (f *Fleet) entry(n int) peers.Member {
	return peers.Member{Name: fmt.Sprint("e", n), Role: peers.Entry, Domain: domain(n), Address: address(entryRole, n)}
}

func (f *Fleet) agent(s, n int) peers.Member {
	at := s*f.Size.Agents + n
	return peers.Member{Name: fmt.Sprint("a", at), Role: peers.Agent, Domain: domain(n), Address: address(agentRole, at)}
}

// text generates a document that resembles a real one: a block of lines for each server, cut to the
// document's size.
func (f *Fleet) text(n int, revision order.Revision) []byte {
	var b strings.Builder
	agents := 0
	if n < f.Size.Services {
		agents = f.Size.Agents
	}
	fmt.Fprintf(&b, "%s %d %d\n", documentName(n), n*f.Size.Agents, agents)
	fmt.Fprintf(&b, "; revision %d\n[service]\naddress = 10.%d.%d.1:443\nkey = k%d\n", revision, n>>8, n&255, n)
	for s := 0; b.Len() < f.Size.TextSize; s++ {
		fmt.Fprintf(&b, "[server s%d]\nid = %d\nagent = 10.%d.%d.%d:7001\ndomain = domain-%d\nslots = 4\nconnections = 2000\nweight = %d\n",
			s, s, n>>8, n&255, s, s%Domains, 1+(n*s)%9)
	}
	return []byte(b.String()[:max(f.Size.TextSize, 40)])
}

// parse parses the first line of a generated document, which contains all that a relay needs.
func parse(_ string, text []byte) (*docs.Service, error) {
	var first, agents int
	s := &docs.Service{}
	if _, err := fmt.Sscanf(string(text), "%s %d %d\n", &s.Name, &first, &agents); err != nil {
		return nil, errors.Wrap(err, "parse generated document")
	}
	for n := range agents {
		s.Servers = append(s.Servers, docs.Server{
			Name: fmt.Sprint("s", n+1), ID: uint32(n + 1), Agent: address(agentRole, first+n), Domain: domain(n),
		})
	}
	return s, nil
}

// start starts one relay.
func (f *Fleet) start(self peers.Member, service, server string) *Process {
	self.State, self.Incarnation = peers.Live, uint64(time.Now().UnixNano())
	ctx, stop := context.WithCancel(context.Background())
	p := &Process{Member: self, Service: service, Store: store.New(parse), Meter: budget.New(), stop: stop, ended: make(chan struct{})}
	config := relay.Config{
		Self: self, Service: service, Server: server, Store: p.Store, Meter: p.Meter, Log: zerolog.Nop(),
		Platform: fetch.NewWith("http://platform", f.Platform),
	}
	for n := range min(seedCount, f.Size.Entries) {
		config.Seeds = append(config.Seeds, address(entryRole, n))
	}
	var serve func()
	if f.Size.InMemory {
		config.Dial = func(a netip.AddrPort) relay.Peer { return f.network.route(p, a) }
		serve = func() { f.network.add(p); <-ctx.Done(); f.network.remove(p) }
	} else {
		dialer := link.NewWith(p.Meter, f.network.lossy(f.Size.Loss))
		context.AfterFunc(ctx, func() { _ = dialer.Close() })
		config.Dial = func(a netip.AddrPort) relay.Peer { return dialer.Peer(a) }
		serve = func() { f.network.serve(ctx, p, f.Size.Loss) }
	}
	p.Node = relay.New(config)
	go serve()
	go func() {
		defer close(p.ended)
		p.Node.Run(ctx)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
	return p
}

// Processes returns the running processes.
func (f *Fleet) Processes() []*Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Process(nil), f.processes...)
}

// RestartDomain stops all entries of a failure domain at once and starts them again.
func (f *Fleet) RestartDomain(d string) (restarted []*Process) {
	f.mu.Lock()
	var left []*Process
	var stopped []peers.Member
	for _, p := range f.processes {
		if p.Member.Domain == d && p.Member.Role == peers.Entry {
			p.stop()
			stopped = append(stopped, p.Member)
			defer func() { <-p.ended }()
			continue
		}
		left = append(left, p)
	}
	f.processes = left
	f.mu.Unlock()
	time.Sleep(100 * time.Millisecond) // until the listeners are closed
	for _, m := range stopped {
		restarted = append(restarted, f.start(m, "", ""))
	}
	return restarted
}

// Stop ends all processes.
func (f *Fleet) Stop() {
	for _, p := range f.Processes() {
		p.stop()
	}
	for _, p := range f.Processes() {
		<-p.ended
	}
}

// HasAll reports whether a process has all the documents that it should have.
func (f *Fleet) HasAll(p *Process) bool {
	have := len(p.Store.View().Documents)
	if p.Service != "" {
		return have == 1
	}
	return have == f.Size.Documents
}

// Await waits until each of the processes has all its documents.
func (f *Fleet) Await(processes []*Process, limit time.Duration) (took time.Duration, err error) {
	start := time.Now()
	for _, p := range processes {
		for !f.HasAll(p) {
			if time.Since(start) > limit {
				return limit, errors.Newf("%s has %d documents after %v", p.Member.Name, len(p.Store.View().Documents), limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return time.Since(start), nil
}

// serve serves calls of other processes on TCP until ctx ends.
func (n *network) serve(ctx context.Context, p *Process, loss float64) {
	mux := drpcmux.New()
	if err := p.Node.Register(mux); err != nil {
		panic(err) // the relay's service description is invalid
	}
	l, err := net.Listen("tcp", p.Member.Address.String())
	for tries := 0; err != nil && tries < 50; tries++ {
		time.Sleep(100 * time.Millisecond)
		l, err = net.Listen("tcp", p.Member.Address.String())
	}
	if err != nil {
		panic(err) // the address is in use, so that no measurement is possible
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: link.Options()})
	_ = server.Serve(ctx, &lossyListener{l, n, loss})
}

// Change makes the platform serve another revision of a document.
func (f *Fleet) Change(document int, revision order.Revision) {
	f.Platform.Set(documentName(document), revision, f.text(document, revision))
}

// Kill stops the first entries at once, without notifying the others.
func (f *Fleet) Kill(entries int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var left []*Process
	for _, p := range f.processes {
		if entries > 0 && p.Member.Role == peers.Entry {
			p.stop()
			entries--
			continue
		}
		left = append(left, p)
	}
	f.processes = left
}

// SetPartitioned starts or ends a partition between the two regions of a fleet that runs in memory. It
// returns the number of calls that have failed so far.
func (f *Fleet) SetPartitioned(partitioned bool) (failed int) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	f.network.partitioned = partitioned
	return f.network.failed
}

// Offer offers a revision to the first entry, as if only that entry had read it from the platform.
func (f *Fleet) Offer(document int, revision order.Revision) {
	_, _ = f.Processes()[0].Store.Offer(documentName(document), revision, f.text(document, revision), "platform")
}

// CountAtLeast returns how many processes have the given revision of a document or a newer one.
func (f *Fleet) CountAtLeast(document int, revision order.Revision) (have int) {
	for _, p := range f.Processes() {
		if p.Store.View().Revision(documentName(document)) >= revision {
			have++
		}
	}
	return have
}
