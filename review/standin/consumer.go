//go:build review

package main

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// router forwards consumers' packets to the entries in rotation, by a hash modulo their number.
type router struct {
	rec     *record
	conn    *net.UDPConn
	entries []*process
	out     *line // between consumers and entries; nil: no delay

	mu     sync.Mutex
	misses map[*process]int
}

// watch asks each entry twice a second whether it is ready, until stop is closed.
func (r *router) watch(stop <-chan struct{}) {
	client := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		for _, e := range r.entries {
			answer, err := client.Get("http://" + e.ready.String() + readyPath)
			ready := err == nil && answer.StatusCode == http.StatusOK
			if err == nil {
				answer.Body.Close()
			}
			r.note(e, ready)
		}
		select {
		case <-stop:
			return
		case <-tick.C:
		}
	}
}

// missesUntilOut is the number of misses after which an entry is out of rotation.
const missesUntilOut = 2

func (r *router) note(e *process, ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.misses[e] < missesUntilOut
	if ready {
		r.misses[e] = 0
	} else {
		r.misses[e]++
	}
	if now := r.misses[e] < missesUntilOut; now != before {
		r.rec.line("router: %s in rotation: %v", e.name, now)
	}
}

// rotation returns the entries in use: all if fewer than half are ready.
func (r *router) rotation() (list []*process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if r.misses[e] < missesUntilOut {
			list = append(list, e)
		}
	}
	if 2*len(list) < len(r.entries) {
		return r.entries
	}
	return list
}

// allReady reports whether all entries are in rotation.
func (r *router) allReady() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if r.misses[e] >= missesUntilOut {
			return false
		}
	}
	return true
}

// forward sends a consumer's packet to an entry and returns its name.
func (r *router) forward(k flowKey, b []byte) string {
	h := fnv.New32a()
	fmt.Fprint(h, k.caller, k.callerPort, k.called, k.calledPort)
	list := r.rotation()
	e := list[int(h.Sum32())%len(list)]
	r.out.pass(func() { _, _ = r.conn.WriteToUDPAddrPort(b, e.data) }) // lost if no process is there
	return e.name
}

// consumers hold the addresses of the consumers and their flows.
type consumers struct {
	rec    *record
	router *router
	in     *line // between agents and consumers; nil: no delay
	conns  []*net.UDPConn
	addrs  []netip.Addr

	mu       sync.Mutex
	flows    map[flowKey]*request
	sessions map[flowKey]*session
	uploads  map[flowKey]*upload
	outcomes map[string]int // of uploads
	broken   []flowKey      // sessions that were reset while open
	nextPort uint16
	count    int
	done     []*request
	damaged  int
}

// request is one attempt of a consumer: a flow of its own with one request.
type request struct {
	attempt string
	key     flowKey
	route   route
	sent    time.Time // the first opening packet
	ended   time.Time
	outcome string // empty while it lasts
	entry   string // that had the first opening packet
	isn     uint32
	ack     uint32
	open    bool
	data    []byte
	tries   int // attempts before this one
}

// Outcomes of a request.
const (
	answered  = "200"
	refused   = "reset before the flow was open"
	broken    = "reset on the open flow"
	unopened  = "not opened within 1.4 s"
	overdue   = "no answer within the time budget"
	wrongBody = "answer without the server's signature"
)

const (
	openTimeout = 1400 * time.Millisecond
	maxRetries  = 2 // a consumer's further tries
	retryPause  = 100 * time.Millisecond
)

func (c *consumers) listen(addrs []netip.Addr, port uint16) error {
	for _, a := range addrs {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(a, port)))
		if err != nil {
			return err
		}
		c.conns, c.addrs = append(c.conns, conn), append(c.addrs, a)
		go c.read(conn)
	}
	return nil
}

func (c *consumers) read(conn *net.UDPConn) {
	b := make([]byte, 2048)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		datagram := bytes.Clone(b[:n])
		c.in.pass(func() { c.receive(datagram) })
	}
}

func (c *consumers) close() {
	for _, conn := range c.conns {
		conn.Close()
	}
}

// begin opens a flow for one request on a route.
func (c *consumers) begin(to route, tries int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	c.nextPort++
	q := &request{
		attempt: fmt.Sprintf("a%d", c.count), route: to, sent: time.Now(), isn: rand.Uint32(), tries: tries,
		key: flowKey{c.addrs[c.count%len(c.addrs)], 1024 + c.nextPort, to.host, to.port},
	}
	body := bytes.Repeat([]byte("d"), 500)
	q.data = fmt.Appendf(nil, "POST /doc HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", to.host, q.attempt, len(body), body)
	c.flows[q.key] = q
	for i, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		if at == 0 {
			q.entry = c.open(q, 0)
			continue
		}
		time.AfterFunc(at, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if !q.open && q.outcome == "" {
				c.open(q, uint32(i))
			}
		})
	}
	time.AfterFunc(openTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !q.open {
			c.end(q, unopened)
		}
	})
	time.AfterFunc(to.budget, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.end(q, overdue)
	})
}

// open sends an opening packet; copies is the number of those sent before.
func (c *consumers) open(q *request, copies uint32) (entry string) {
	c.rec.opening(q.key, time.Now())
	return c.send(q, flagSYN, q.isn, copies, nil)
}

func (c *consumers) send(q *request, flags byte, seq, ack uint32, data []byte) (entry string) {
	p := packet{src: q.key.caller, sport: q.key.callerPort, dst: q.key.called, dport: q.key.calledPort, flags: flags, seq: seq, ack: ack, data: data}
	return c.router.forward(q.key, p.encode())
}

// transmit sends the request, and again until it is answered.
func (c *consumers) transmit(q *request, again time.Duration) {
	if q.outcome != "" {
		return
	}
	c.send(q, flagACK, q.isn+1, q.ack, q.data)
	time.AfterFunc(again, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.transmit(q, min(2*again, 1600*time.Millisecond))
	})
}

// resetWindow is the distance from the last acknowledgement within which a reset of an open flow is accepted.
const resetWindow = 76_800

func (c *consumers) receive(b []byte) {
	p, intact, ok := decode(b)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	key := flowKey{p.dst, p.dport, p.src, p.sport}
	if !intact && !p.has(flagRST) {
		c.damaged++
		return
	}
	if f := c.sessions[key]; f != nil {
		c.receiveSession(f, &p)
		return
	}
	if f := c.uploads[key]; f != nil {
		c.receiveUpload(f, &p)
		return
	}
	q := c.flows[key]
	if q == nil {
		return
	}
	if p.has(flagRST) {
		c.receiveReset(q, &p)
		return
	}
	switch {
	case p.has(flagSYN):
		if q.open || q.outcome != "" {
			return
		}
		q.open, q.ack = true, p.seq+1
		c.transmit(q, 200*time.Millisecond)
	case len(p.data) > 0 && q.open && p.seq == q.ack:
		q.ack += uint32(len(p.data))
		c.send(q, flagFIN|flagACK, q.isn+1+uint32(len(q.data)), q.ack, nil)
		outcome := answered
		if header(p.data, "X-Response-Signature") != sign(q.attempt) {
			outcome = wrongBody
		}
		c.end(q, outcome)
	case p.has(flagFIN):
		c.send(q, flagACK, q.isn+2+uint32(len(q.data)), p.seq+1, nil)
	}
}

func (c *consumers) receiveReset(q *request, p *packet) {
	if q.outcome != "" {
		return
	}
	if !q.open {
		c.end(q, refused)
		return
	}
	if d := p.seq - q.ack + resetWindow; d > 2*resetWindow {
		c.rec.line("attempt %s: a reset with number %d on the open flow, outside of the window, is ignored", q.attempt, p.seq)
		return
	}
	c.end(q, broken)
}

// end ends an attempt. A refused one is tried again on a new flow.
func (c *consumers) end(q *request, outcome string) {
	if q.outcome != "" {
		return
	}
	q.outcome, q.ended = outcome, time.Now()
	c.done = append(c.done, q)
	c.rec.line("attempt %s on route %s to %s, try %d, sent at %.3f by %s: %s", q.attempt, q.route.name, q.route.service, q.tries+1,
		q.sent.Sub(c.rec.began).Seconds(), q.entry, outcome)
	if (outcome == refused || outcome == unopened) && q.tries < maxRetries {
		time.AfterFunc(retryPause, func() { c.begin(q.route, q.tries+1) })
	}
	time.AfterFunc(5*time.Second, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.flows, q.key)
	})
}

// ended returns the attempts that have ended.
func (c *consumers) ended() []*request {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*request(nil), c.done...)
}
