//go:build review

// Command standin plays a case of the review: it starts the programs of the deploy file as separate processes on
// loopback addresses, and stands in for the platform, its store, consumers and servers as the users' pages describe
// them. With TROUBLE=0 it leaves the disruption out.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	held     = 0
	violated = 1
	notRun   = 2
)

// route is a route of the configuration.
type route struct {
	name    string
	host    netip.Addr
	port    uint16
	service string
	budget  time.Duration
	target  time.Duration
}

// world is everything around the system.
type world struct {
	*deployment
	store     *store
	http      *http.Server
	router    *router
	consumers *consumers
	entries   []*process
	agents    []*process
	servers   []*server
	stop      chan struct{}
	trouble   bool
	version   int
	turn      int // of sessions
	// clientDelay is the time that a packet takes between a consumer and the system, one way.
	clientDelay time.Duration
	// priorities holds the priorities of routes by name; others have 1.
	priorities map[string]int
}

// scenario is a case: it plays it and reports whether the rule was broken.
type scenario func(w *world) (broken bool, err error)

var scenarios = map[string]scenario{
	"foreign-entries":   foreignEntries,
	"cold-agent-killed": coldAgentKilled,
	"full-server":       fullServer,
}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO REPOSITORY RECORD")
		os.Exit(notRun)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(s scenario, root, path string) (code int) {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer rec.close()
	w, err := newWorld(root, rec)
	if err != nil {
		rec.say("could not run: %v", err)
		return notRun
	}
	defer w.close()
	go w.giveUp()
	broken, err := s(w)
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		w.keepLogs()
		return notRun
	case broken:
		rec.say("the rule was broken")
		w.keepLogs()
		return violated
	default:
		w.keepLogs()
		rec.say("the rule held")
		return held
	}
}

// maxRun is the time after which a case that has not ended is given up.
const maxRun = 110 * time.Second

// giveUp ends all processes and this one after maxRun or a signal.
func (w *world) giveUp() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxRun):
	}
	w.deployment.close()
	w.rec.say("could not run: given up")
	w.rec.close()
	os.Exit(notRun)
}

// keepLogs copies the processes' logs to the folder that LOGS names, if it does.
func (w *world) keepLogs() {
	to := os.Getenv("LOGS")
	if to == "" {
		return
	}
	_ = os.MkdirAll(to, 0o755)
	for _, p := range w.list {
		if text, err := os.ReadFile(filepath.Join(w.folder, p.name+".log")); err == nil {
			_ = os.WriteFile(filepath.Join(to, p.name+".log"), text, 0o600)
		}
	}
}

func newWorld(root string, rec *record) (w *world, err error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	root, err = filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, folder: folder, rec: rec, zones: map[string]string{"zone-a": "region"}}
	w = &world{deployment: d, store: newStore(), stop: make(chan struct{}), trouble: os.Getenv("TROUBLE") != "0"}
	var listener net.Listener
	for range 50 { // a free second byte of the addresses
		d.net = byte(64 + rand.IntN(180))
		if listener, err = net.Listen("tcp4", netip.AddrPortFrom(d.addr(0, 1), portStore).String()); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	w.http = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}
	go func() { _ = w.http.Serve(listener) }() // until it is closed
	rec.line("disruption: %v; addresses 127.%d.*", w.trouble, d.net)
	return w, nil
}

func (w *world) close() {
	close(w.stop)
	w.deployment.close()
	w.http.Close()
	if w.consumers != nil {
		w.consumers.close()
	}
	for _, s := range w.servers {
		s.stop()
	}
	os.RemoveAll(w.folder)
}

// addEntries adds n machines for consumers.
func (w *world) addEntries(n int) {
	for i := range n {
		p := w.newProcess("entry", fmt.Sprintf("front-%d", i+1), w.addr(1, i+1), "zone-a", "")
		w.entries = append(w.entries, p)
		w.seeds = append(w.seeds, p.ip)
	}
}

// addServer adds a machine with an agent and a server, which are not started yet.
func (w *world) addServer(service string, work, coldFor time.Duration) (*process, *server) {
	n := len(w.agents) + 1
	p := w.newProcess("agent", fmt.Sprintf("side-%d", n), w.addr(2, n), "zone-a", service)
	s := &server{
		name: p.name, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: p.zone,
		app: netip.AddrPortFrom(p.ip, portApp), outbound: netip.AddrPortFrom(p.ip, portOutbound),
		slots: 4, work: work, coldFor: coldFor, rec: w.rec, store: w.store,
	}
	w.agents, w.servers = append(w.agents, p), append(w.servers, s)
	return p, s
}

// startAll starts the servers and processes, and waits until the entries are ready.
func (w *world) startAll() error {
	for _, s := range w.servers {
		if err := s.start(); err != nil {
			return err
		}
	}
	for _, p := range w.list {
		if err := w.start(p); err != nil {
			return err
		}
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(w.addr(0, 2), 0)))
	if err != nil {
		return err
	}
	var out, in *line
	if w.clientDelay > 0 {
		out, in = newLine(w.clientDelay), newLine(w.clientDelay)
	}
	w.router = &router{rec: w.rec, conn: conn, entries: w.entries, misses: map[*process]int{}, out: out}
	for _, e := range w.entries {
		w.router.misses[e] = missesUntilOut
	}
	go w.router.watch(w.stop)
	w.consumers = &consumers{rec: w.rec, router: w.router, in: in, flows: map[flowKey]*request{}, sessions: map[flowKey]*session{}, uploads: map[flowKey]*upload{}, outcomes: map[string]int{}}
	var addrs []netip.Addr
	for i := range 8 {
		addrs = append(addrs, w.addr(100, i+1))
	}
	if err := w.consumers.listen(addrs, portData); err != nil {
		return err
	}
	for began := time.Now(); !w.router.allReady(); time.Sleep(50 * time.Millisecond) {
		if time.Since(began) > 15*time.Second {
			w.keepLogs()
			return fmt.Errorf("the entries are not ready after 15 s")
		}
	}
	w.rec.line("all entries are ready")
	return nil
}

// newRoute returns a route at an address of its own.
func (w *world) newRoute(n int, service string, budget, target time.Duration) route {
	return route{name: fmt.Sprintf("r-%d", n), host: w.addr(200, n), port: 8443, service: service, budget: budget, target: target}
}

// configure writes the next version of the configuration and returns when the store has confirmed it.
func (w *world) configure(routes []route, services ...map[string]any) (confirmed time.Time) {
	w.version += 1 + rand.IntN(3)
	var list []map[string]any
	for _, r := range routes {
		priority, ok := w.priorities[r.name]
		if !ok {
			priority = 1
		}
		list = append(list, map[string]any{
			"name": r.name, "host": r.host.String(), "prefix": fmt.Sprintf("/%d/", r.port), "kind": "unsafe", "service": r.service,
			"timeout_ms": r.budget.Milliseconds(), "target_latency_ms": r.target.Milliseconds(), "priority": priority, "max_attempts": 2,
		})
	}
	w.store.put("op/config", map[string]any{
		"version": w.version, "routes": list, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.rec.line("operator: the store has confirmed version %d with %d routes", w.version, len(routes))
	return time.Now()
}

// load begins perSecond requests a second on a route until end.
func (w *world) load(to route, perSecond int, end time.Time) {
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for now := range tick.C {
		if now.After(end) {
			return
		}
		w.consumers.begin(to, 0)
	}
}
