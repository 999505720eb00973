// Package scale runs many relays in one process, to measure what control costs at
// several sizes and to work out from the slopes what it costs at others.
//
// The relays, their messages and their limits are the real ones; what is
// smaller is the network: TCP on loopback addresses, or calls within the process when
// more relays are wanted than one machine has room for. The platform is answered in the
// process, through the real client with its rate limit.
//
// It proves nothing about correctness (tests of package relay do) and nothing about
// the path of callers' packets.
//
// # Usage
//
//	f := scale.Start(scale.Size{Entries: 28, Documents: 100, Text: 2000})
//	defer f.Stop()
//	f.Await(time.Minute)
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

// Domains is how many failure domains the processes are spread over.
const Domains = 7

// Size is what a fleet consists of.
type Size struct {
	Entries   int
	Documents int
	TextSize  int     // bytes of one document
	Services  int     // of the documents, those that have agents
	Agents    int     // of each such service
	InMemory  bool    // calls within the process instead of TCP
	Loss      float64 // share of writes that arrive only after retransmission
}

// Process is one relay with what is its own.
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

// name returns the name of a document.
func name(n int) string { return fmt.Sprintf("service-%04d", n) }

// AddressBase is the second byte of the loopback addresses of entries; agents have the next
// one. It's to be set before the first fleet, so that two measurements can run at a time.
var AddressBase = 100

// address gives each process an address of its own in 127/8.
func address(role, n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(AddressBase + role), byte(n >> 8), byte(n)}), 7000)
}

const (
	entryRole = 0
	agentRole = 1
	seedCount = 5
)

// Start starts a fleet whose platform has all documents at revision 1.
func Start(size Size) *Fleet {
	f := &Fleet{Size: size, Platform: newPlatform(), network: newNetwork()}
	for n := range size.Documents {
		f.Platform.Set(name(n), 1, f.text(n, 1))
	}
	for n := range size.Entries {
		f.Platform.list(fetch.Instance{Name: fmt.Sprint("e", n), Role: "entry", Domain: domain(n), Address: address(entryRole, n), State: "live"})
	}
	for n := range size.Entries {
		f.start(f.entry(n), "", "")
	}
	for s := range size.Services {
		for n := range size.Agents {
			f.start(f.agent(s, n), name(s), fmt.Sprint("s", n+1))
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

// text makes a document as they are: some lines for each of 5 servers, and then
// classes and callers up to its size.
func (f *Fleet) text(n int, revision order.Revision) []byte {
	var b strings.Builder
	agents := 0
	if n < f.Size.Services {
		agents = f.Size.Agents
	}
	fmt.Fprintf(&b, "%s %d %d\n", name(n), n*f.Size.Agents, agents)
	fmt.Fprintf(&b, "; revision %d\n[service]\naddress = 10.%d.%d.1:443\nkey = k%d\n", revision, n>>8, n&255, n)
	for s := 0; b.Len() < f.Size.TextSize; s++ {
		fmt.Fprintf(&b, "[server s%d]\nid = %d\nagent = 10.%d.%d.%d:7001\ndomain = domain-%d\nslots = 4\nconnections = 2000\nweight = %d\n",
			s, s, n>>8, n&255, s, s%Domains, 1+(n*s)%9)
	}
	return []byte(b.String()[:max(f.Size.TextSize, 40)])
}

// parse reads what text wrote: its first line says everything that a relay needs.
func parse(_ string, text []byte) (*docs.Service, error) {
	var first, agents int
	s := &docs.Service{}
	if _, err := fmt.Sscanf(string(text), "%s %d %d\n", &s.Name, &first, &agents); err != nil {
		return nil, errors.Wrap(err, "made-up document")
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

// Processes returns those that run now.
func (f *Fleet) Processes() []*Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Process(nil), f.processes...)
}

// RestartDomain ends all entries of a failure domain at once, and starts them again.
func (f *Fleet) RestartDomain(d string) (restarted []*Process) {
	f.mu.Lock()
	var left []*Process
	var gone []peers.Member
	for _, p := range f.processes {
		if p.Member.Domain == d && p.Member.Role == peers.Entry {
			p.stop()
			gone = append(gone, p.Member)
			defer func() { <-p.ended }()
			continue
		}
		left = append(left, p)
	}
	f.processes = left
	f.mu.Unlock()
	time.Sleep(100 * time.Millisecond) // listeners have closed
	for _, m := range gone {
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

// HasAll says whether a process has all the documents that it is to have.
func (f *Fleet) HasAll(p *Process) bool {
	have := len(p.Store.View().Documents)
	if p.Service != "" {
		return have == 1
	}
	return have == f.Size.Documents
}

// Await waits until all of the given processes are full.
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

// serve answers other processes on TCP until ctx ends.
func (n *network) serve(ctx context.Context, p *Process, loss float64) {
	mux := drpcmux.New()
	if err := p.Node.Register(mux); err != nil {
		panic(err) // the relay's own description is wrong
	}
	l, err := net.Listen("tcp", p.Member.Address.String())
	for tries := 0; err != nil && tries < 50; tries++ {
		time.Sleep(100 * time.Millisecond)
		l, err = net.Listen("tcp", p.Member.Address.String())
	}
	if err != nil {
		panic(err) // the address is taken: nothing can be measured
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: link.Options()})
	_ = server.Serve(ctx, &lossyListener{l, n, loss})
}

// Change lets the platform serve another revision of a document.
func (f *Fleet) Change(document int, revision order.Revision) {
	f.Platform.Set(name(document), revision, f.text(document, revision))
}

// Kill ends the first entries at once, without a word.
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

// SetPartitioned keeps the two regions from reaching each other, or ends that. It's for fleets in
// memory. Failed is the number of calls that nobody has answered so far.
func (f *Fleet) SetPartitioned(parted bool) (failed int) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	f.network.parted = parted
	return f.network.failed
}

// Offer gives a revision to the first entry, as if it alone had seen it at the platform.
func (f *Fleet) Offer(document int, revision order.Revision) {
	_, _ = f.Processes()[0].Store.Offer(name(document), revision, f.text(document, revision), "platform")
}

// CountAtLeast returns how many processes have at least a revision of a document.
func (f *Fleet) CountAtLeast(document int, revision order.Revision) (have int) {
	for _, p := range f.Processes() {
		if p.Store.View().Revision(name(document)) >= revision {
			have++
		}
	}
	return have
}
