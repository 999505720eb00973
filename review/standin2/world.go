//go:build review

package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment (sites/zrmt-platforma on the users' page).
const (
	configBound  = 3 * time.Second
	stableWindow = 4 * time.Second
	graceTime    = 6 * time.Second
	addrReuse    = 2 * time.Second        // addr_reuse_s
	restartDelay = 500 * time.Millisecond // "restarted after a short delay"
)

// metricsPort is the port of the deploy file at which processes serve their metrics.
const metricsPort = 9180

// ports are the ports of one run. All machines have the same.
type ports struct {
	data, ready, control, link, app, outbound, store uint16
	nextCaller                                       int
}

// world holds the stand-ins and the processes. Everything runs under mu.
type world struct {
	mu          sync.Mutex
	net         byte // second byte of all addresses
	ports       ports
	began       time.Time
	record      *bufio.Writer
	folder      string
	store       *store
	entries     []*process
	agents      []*process
	servers     []*server
	callers     map[netip.AddrPort]*caller
	all         []*caller
	toEntries   *net.UDPConn
	violations  []string
	done        bool
	routes      map[string]string // called address to service, as last confirmed
	onTaken     func(s *server, p *packet)
	onReset     func(c *caller)
	onRan       func(s *server, f *served, id string)
	requestsOf  map[string]*caller
	runs        map[string]int
	everAllowed map[string]map[string]bool
}

// zones are the zones of the deployment.
var zones = []string{"zg-dubrava", "zg-jankomir", "zg-zitnjak"}

func (w *world) addr(kind, i byte) netip.Addr { return netip.AddrFrom4([4]byte{127, w.net, kind, i}) }

func (w *world) callerAddr(i int) netip.Addr { return w.addr(3, byte(1+i%16)) }

func newWorld(folder string, out *bufio.Writer) (w *world, err error) {
	w = &world{folder: folder, record: out, began: time.Now(), callers: map[netip.AddrPort]*caller{}, routes: map[string]string{}, requestsOf: map[string]*caller{}, runs: map[string]int{}, everAllowed: map[string]map[string]bool{}}
	for range 50 {
		w.net = byte(20 + rand.IntN(200))
		base := uint16(20000 + rand.IntN(400)*100)
		w.ports = ports{data: base, ready: base + 1, control: base + 2, link: base + 3, app: base + 4, outbound: base + 5, store: base + 6}
		// The metrics port is the same in all runs: the first run with a second byte keeps it for itself.
		if _, err = net.Listen("tcp4", netip.AddrPortFrom(w.addr(9, 3), metricsPort).String()); err != nil {
			continue
		}
		var l net.Listener
		if l, err = net.Listen("tcp4", netip.AddrPortFrom(w.addr(9, 1), w.ports.store).String()); err != nil {
			continue
		}
		w.store = newStore(l)
		if err = w.openCallers(); err == nil {
			return w, nil
		}
	}
	return nil, err
}

// openCallers opens the sockets at the callers' addresses.
func (w *world) openCallers() (err error) {
	if w.toEntries, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(w.addr(9, 2), 0))); err != nil {
		return err
	}
	for i := range 16 {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(w.callerAddr(i), w.ports.data)))
		if err != nil {
			return err
		}
		w.read(conn, func(b []byte) {
			p, ok := decode(b)
			if c := w.callers[p.dst]; ok && c != nil {
				c.receive(&p)
			}
		})
	}
	return nil
}

// read passes each datagram of a socket to handle, under mu.
func (w *world) read(conn *net.UDPConn, handle func([]byte)) {
	go func() {
		b := make([]byte, 4096)
		for {
			n, err := conn.Read(b)
			if err != nil {
				return
			}
			w.mu.Lock()
			if !w.done {
				handle(append([]byte(nil), b[:n]...))
			}
			w.mu.Unlock()
		}
	}()
}

// after calls do after d, under mu.
func (w *world) after(d time.Duration, do func()) {
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.done {
			do()
		}
	})
}

// every calls do at an interval until it returns false.
func (w *world) every(d time.Duration, do func() bool) {
	w.after(d, func() {
		if do() {
			w.every(d, do)
		}
	})
}

// locked calls do under mu.
func (w *world) locked(do func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	do()
}

// note writes a line to the record.
func (w *world) note(words ...any) {
	fmt.Fprintf(w.record, "%8.3f ", time.Since(w.began).Seconds())
	fmt.Fprintln(w.record, words...)
}

func (w *world) violation(rule, text string) {
	w.violations = append(w.violations, rule+": "+text)
	w.note("BROKEN", rule, text)
}

func (w *world) sent(c *caller, id string) {
	w.requestsOf[id] = c
	w.note("request", id, "sent to", c.called)
}

// ran records that a server begins to work on a request.
func (w *world) ran(s *server, f *served, id string) {
	w.runs[id]++
	w.note("request", id, "runs at", s.id, "of", s.service)
	if w.onRan != nil {
		w.onRan(s, f, id)
	}
	if w.requestsOf[id] == nil {
		w.violation("UNASKED", "server "+s.id+" runs "+id+", which nobody sent")
	}
	if w.runs[id] > 1 {
		w.violation("TWICE", "request "+id+" runs twice")
	}
}

// taken records that a server takes an opening packet.
func (w *world) taken(s *server, p *packet) {
	if w.onTaken != nil {
		w.onTaken(s, p)
	}
}

// opened records that a flow is open at a server.
func (w *world) opened(s *server, f *served) {
	w.note("flow", f.caller, "opens at", s.id)
	if c := w.callers[f.caller]; c != nil {
		c.holder = s
	}
}

// wasReset records that a caller's open flow was reset by the system.
func (w *world) wasReset(c *caller) {
	if c.holder == nil {
		w.note("flow", c.self, "is reset by the system before it is open at a server")
		return
	}
	w.note("flow", c.self, "is reset by the system; it opened at", c.holder.id)
	if w.onReset != nil {
		w.onReset(c)
	}
}

// process is one process of the system.
type process struct {
	w        *world
	name     string
	role     string
	machine  netip.Addr
	settings map[string]string
	boot     string
	command  *exec.Cmd
	exited   chan struct{}
	log      *os.File
	misses   int
	inUse    bool
	ready    bool
	stopping bool // an end is expected
}

// newProcess returns a process with rendered settings.
func (w *world) newProcess(role string, i int, zone string) *process {
	kind := byte(1)
	if role == "agent" {
		kind = 2
	}
	p := &process{w: w, role: role, name: fmt.Sprintf("%s-%d", role, i), machine: w.addr(kind, byte(i+1))}
	at := func(port uint16) string { return netip.AddrPortFrom(p.machine, port).String() }
	p.settings = map[string]string{
		"node_id": p.name, "zone": zone, "ip": p.machine.String(), "platform.addr": netip.AddrPortFrom(w.addr(9, 1), w.ports.store).String(),
		"port_range.0": fmt.Sprint(w.ports.link), "seeds": w.seeds(), "limits.link_mbps": "1000.0",
		"bounds.config_ms": fmt.Sprint(configBound.Milliseconds()), "bounds.flow_ttl_s": "60", "bounds.grace_s": "6",
		"listen.data_addr": at(w.ports.data), "listen.ready_addr": at(w.ports.ready), "listen.control": at(w.ports.control),
		"listen.outbound": at(w.ports.outbound), "app": at(w.ports.app),
	}
	p.boot = filepath.Join(w.folder, p.name+".ini")
	return p
}

func (w *world) seeds() string {
	var list []string
	for i := range 2 {
		list = append(list, netip.AddrPortFrom(w.addr(1, byte(i+1)), w.ports.control).String())
	}
	return strings.Join(list, ",")
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// render writes the settings file from the template of the deploy file's role.
func (p *process) render() error {
	text, err := os.ReadFile(filepath.Join("deploy", p.role+".ini"))
	if err != nil {
		return err
	}
	out := section.ReplaceAllString(string(text), "$2")
	out = placeholder.ReplaceAllStringFunc(out, func(m string) string { return p.settings[strings.Trim(m, "{}")] })
	temporary := p.boot + ".new"
	if err := os.WriteFile(temporary, []byte(out), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, p.boot)
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	if err := p.render(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.w.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.log = log
	p.command = exec.Command("target/mangowinch", p.role)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MANGOWINCH_BOOT=" + p.boot}
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	p.stopping = false
	exited := make(chan struct{})
	p.exited = exited
	command := p.command
	go func() {
		err := command.Wait()
		close(exited)
		log.Close()
		p.w.mu.Lock()
		defer p.w.mu.Unlock()
		if !p.w.done && p.exited == exited && !p.stopping {
			p.w.violation("ENDS", fmt.Sprintf("%s ended by itself: %v", p.name, err))
		}
	}()
	p.w.note("process", p.name, "starts")
	return nil
}

func (p *process) signal(s os.Signal) { _ = p.command.Process.Signal(s) }

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	p.stopping = true
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.w.note("process", p.name, "is killed")
}

// stopAndRestart sends SIGTERM, waits for the end (SIGKILL after the grace time), and starts the process again after
// restartDelay. It is called without mu.
func (p *process) stopAndRestart() { p.stopAndRestartAfter(restartDelay) }

// stopAndRestartAfter is stopAndRestart with another delay.
func (p *process) stopAndRestartAfter(delay time.Duration) {
	p.w.locked(func() {
		p.stopping = true
		p.w.note("process", p.name, "gets SIGTERM")
		p.signal(syscall.SIGTERM)
	})
	select {
	case <-p.exited:
	case <-time.After(graceTime):
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	time.Sleep(delay)
	p.w.locked(func() {
		if err := p.start(); err != nil {
			p.w.note("cannot start", p.name, err)
		}
	})
}

// probe asks each entry for its readiness, as the routers do twice a second.
func (w *world) probe() {
	client := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, e := range w.entries {
		go func() {
			for {
				ready := false
				if r, err := client.Get("http://" + netip.AddrPortFrom(e.machine, w.ports.ready).String() + "/healthz"); err == nil {
					r.Body.Close()
					ready = r.StatusCode == http.StatusOK
				}
				w.mu.Lock()
				done := w.done
				e.answered(ready)
				w.mu.Unlock()
				if done {
					return
				}
				time.Sleep(500 * time.Millisecond)
			}
		}()
	}
}

// answered notes the result of a probe.
func (p *process) answered(ready bool) {
	before := p.inUse
	p.ready = ready
	if ready {
		p.misses, p.inUse = 0, true
	} else if p.misses++; p.misses >= 2 {
		p.inUse = false
	}
	if before != p.inUse {
		p.w.note("routers:", p.name, "in rotation:", p.inUse)
	}
}

// toEntry sends a caller's packet by way of the routers, which hash by mod.
func (w *world) toEntry(c *caller, p packet) {
	var in []*process
	for _, e := range w.entries {
		if e.inUse {
			in = append(in, e)
		}
	}
	if 2*len(in) < len(w.entries) {
		in = w.entries
	}
	a, b := c.self.Addr().As4(), c.called.Addr().As4()
	h := uint32(2166136261)
	for _, x := range append(append(a[:], b[:]...), byte(c.self.Port()), byte(c.self.Port()>>8), byte(c.called.Port()), byte(c.called.Port()>>8)) {
		h = (h ^ uint32(x)) * 16777619
	}
	h ^= h >> 15
	h *= 0x2c1b3c6d
	h ^= h >> 12
	e := in[int(h%uint32(len(in)))]
	_, _ = w.toEntries.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(e.machine, w.ports.data))
}

// deploy starts the given number of entries, and an agent and a server for each service listed.
func (w *world) deploy(entries int, services []string) error {
	for i, service := range services {
		zone := zones[i%len(zones)]
		p := w.newProcess("agent", i, zone)
		p.settings["service"] = service
		w.agents = append(w.agents, p)
		s := w.newServer(fmt.Sprintf("s%d-a", i), service, zone, p.machine)
		w.servers = append(w.servers, s)
	}
	for i := range entries {
		w.entries = append(w.entries, w.newProcess("entry", i, zones[i%len(zones)]))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		if err := s.start(); err != nil {
			return err
		}
	}
	for _, p := range append(append([]*process{}, w.entries...), w.agents...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	w.probe()
	return nil
}

func (w *world) newServer(id, service, zone string, machine netip.Addr) *server {
	return &server{w: w, id: id, service: service, zone: zone, machine: machine, outbound: netip.AddrPortFrom(machine, w.ports.outbound), work: 30 * time.Millisecond, slots: 4}
}

// waitReady waits until all entries are in rotation.
func (w *world) waitReady() error {
	for range 150 {
		time.Sleep(100 * time.Millisecond)
		all := true
		w.locked(func() {
			for _, e := range w.entries {
				all = all && e.inUse
			}
		})
		if all {
			return nil
		}
	}
	return fmt.Errorf("the entries are not ready after 15 s")
}

// configure writes a configuration and returns the time of its confirmation.
func (w *world) configure(version int, routes map[string]string) time.Time {
	var list []map[string]any
	var names []string
	for called := range routes {
		names = append(names, called)
	}
	sort.Strings(names)
	for _, called := range names {
		host, port, _ := strings.Cut(called, ":")
		list = append(list, map[string]any{
			"name": "r-" + strings.ReplaceAll(called, ".", "-"), "host": host, "prefix": "/" + port + "/", "kind": "safe", "timeout_ms": 2500,
			"target_latency_ms": 150, "priority": 2, "service": routes[called], "max_attempts": 2,
		})
	}
	value := encode(map[string]any{
		"version": version, "routes": list,
		"services": []any{
			map[string]any{"name": "tracing-core", "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false},
			map[string]any{"name": "doc-intake", "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	at := w.store.put("op/config", value)
	for called, service := range routes {
		if w.everAllowed[called] == nil {
			w.everAllowed[called] = map[string]bool{}
		}
		w.everAllowed[called][service] = true
	}
	w.routes = routes
	w.note("the store confirms version", version, "of the configuration:", routes)
	return at
}

// close ends all processes.
func (w *world) close() {
	w.mu.Lock()
	w.done = true
	w.mu.Unlock()
	for _, p := range append(append([]*process{}, w.entries...), w.agents...) {
		if p.command == nil {
			continue
		}
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		select {
		case <-p.exited:
		case <-time.After(5 * time.Second):
		}
	}
	w.store.server.Close()
}
