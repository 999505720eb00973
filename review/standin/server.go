//go:build review

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// heartbeat is how often a server writes to the store, and expiry after how long a silent one is removed.
const (
	heartbeat = 770 * time.Millisecond
	expiry    = 3 * heartbeat
)

// server is a backend server on the machine of an agent.
type server struct {
	name     string // machine
	id       string
	service  string
	zone     string
	app      netip.AddrPort
	outbound netip.AddrPort
	slots    int
	queued   int // requests that it queues beside those in its slots; 0: any number
	work     time.Duration
	spread   float64       // of the work, as a part of it, either way
	coldFor  time.Duration // 0: it starts warm
	rec      *record
	store    *store

	mu       sync.Mutex
	conn     *net.UDPConn
	born     time.Time
	seq      int
	state    string
	flows    map[flowKey]*serverFlow
	running  int
	queue    []*serverFlow
	closed   bool
	taken    []opening // opening packets that the server has taken
	rejected int       // requests
	resets   int       // that it has sent
	damaged  int
}

// opening is an opening packet that a server has taken.
type opening struct {
	sent    time.Time // by the consumer, the copy that was taken
	arrived time.Time
	cold    bool
}

type flowKey struct {
	caller     netip.Addr
	callerPort uint16
	called     netip.Addr
	calledPort uint16
}

type serverFlow struct {
	key      flowKey
	isn      uint32
	next     uint32 // next sequence number of the consumer
	open     bool
	ended    bool
	attempt  string
	missing  int    // bytes of the present request that have not arrived
	sent     uint32 // sequence number of the last response
	response []byte // the last response
	acked    uint32 // the consumer's last acknowledgement
	copy     opening
}

// start opens the server's socket, registers it and serves until stop.
func (s *server) start() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.app))
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.conn, s.born, s.state, s.flows = conn, time.Now(), "ready", map[flowKey]*serverFlow{}
	s.mu.Unlock()
	s.rec.line("server %s of %s on %s starts, cold for %s", s.id, s.service, s.name, s.coldFor)
	s.write()
	go s.beat()
	go s.read()
	return nil
}

// stop ends the server. Its entry lapses when it has been silent for three heartbeats.
func (s *server) stop() {
	s.mu.Lock()
	s.closed = true
	s.conn.Close()
	s.mu.Unlock()
	s.rec.line("server %s on %s ends", s.id, s.name)
	time.AfterFunc(expiry, func() { s.store.remove("servers/" + s.id) })
}

// drain reports the server as draining.
func (s *server) drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.write()
	s.rec.line("server %s on %s: the store has accepted that it is draining", s.id, s.name)
}

func (s *server) coldLeft() time.Duration { return max(0, s.coldFor-time.Since(s.born)) }

// write writes the server's entry.
func (s *server) write() {
	s.mu.Lock()
	s.seq++
	entry := map[string]any{
		"service": s.service, "addr": s.app.String(), "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state,
		"warmup_left_ms": s.coldLeft().Milliseconds(), "seq": s.seq, "born": s.born.UnixMilli(),
	}
	s.mu.Unlock()
	s.store.put("servers/"+s.id, entry)
}

// beat writes the entry at each heartbeat while more than its count changes, which is while the server is cold.
func (s *server) beat() {
	cold := s.coldFor > 0
	for range time.Tick(heartbeat) {
		s.mu.Lock()
		closed := s.closed
		s.seq++
		left := s.coldLeft()
		s.mu.Unlock()
		if closed {
			return
		}
		if cold {
			s.write()
			cold = left > 0
		}
	}
}

func (s *server) read() {
	b := make([]byte, 2048)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		s.receive(bytes.Clone(b[:n]))
	}
}

func (s *server) send(b []byte) {
	_, _ = s.conn.WriteToUDPAddrPort(b, s.outbound) // lost while no agent runs
}

// receive handles a packet of a consumer.
func (s *server) receive(b []byte) {
	now := time.Now()
	p, intact, ok := decode(b)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ok || !intact || s.closed {
		s.damaged++
		return
	}
	key := flowKey{p.src, p.sport, p.dst, p.dport}
	f := s.flows[key]
	switch {
	case p.has(flagSYN):
		if f == nil {
			f = &serverFlow{key: key, isn: rand.Uint32(), next: p.seq + 1, copy: opening{s.rec.sentAt(key, p.ack), now, s.coldLeft() > 0}}
			f.sent = f.isn + 1
			s.flows[key] = f
			s.taken = append(s.taken, f.copy)
		}
		s.reply(f, flagSYN|flagACK, f.isn, nil)
	case f == nil || !f.open && p.ack != f.isn+1:
		b[26] |= flagBounced
		b[27] = 0
		s.send(b)
	case p.has(flagRST):
		f.ended = true
	default:
		s.receiveOpen(f, &p)
	}
}

// receiveOpen handles a packet of a flow that the server holds.
func (s *server) receiveOpen(f *serverFlow, p *packet) {
	f.acked = p.ack
	if !f.open {
		f.open = true
		s.rec.opened(f.key, s.id)
	}
	switch {
	case p.has(flagFIN) && f.ended:
		s.reply(f, flagACK, f.after(), nil)
	case p.has(flagFIN):
		f.ended = true
		f.next = p.seq + uint32(len(p.data)) + 1
		s.reply(f, flagFIN|flagACK, f.after(), nil)
	case f.ended && len(p.data) > 0:
		s.resets++
		s.reply(f, flagRST, f.after(), nil)
	case len(p.data) > 0 && p.seq == f.next:
		f.next += uint32(len(p.data))
		s.receiveData(f, p.data)
	case len(p.data) > 0 && p.ack != f.after():
		s.reply(f, flagACK, f.sent, f.response)
	case len(p.data) > 0:
		s.reply(f, flagACK, f.after(), nil)
	}
}

// receiveData handles new data of a request. A server that is full rejects a request when it has its head. If the rest
// of the request is still to come, it ends the flow.
func (s *server) receiveData(f *serverFlow, data []byte) {
	if f.missing > 0 {
		f.missing -= len(data)
	} else {
		f.attempt = header(data, "X-Attempt-Id")
		length, _ := strconv.Atoi(header(data, "Content-Length"))
		_, body, _ := bytes.Cut(data, []byte("\r\n\r\n"))
		f.missing = length - len(body)
		if s.queued > 0 && s.running+len(s.queue) >= s.slots+s.queued {
			s.reject(f)
			return
		}
	}
	if f.missing > 0 {
		s.reply(f, flagACK, f.after(), nil)
		return
	}
	s.queue = append(s.queue, f)
	s.runQueued()
}

// reject answers that a request has not been run.
func (s *server) reject(f *serverFlow) {
	s.rejected++
	s.rec.line("attempt %s: server %s is full and rejects it, %d bytes of it are still to come", f.attempt, s.id, f.missing)
	f.sent = f.after()
	f.response = fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: true\r\nContent-Length: 0\r\n\r\n", f.attempt)
	s.reply(f, flagACK, f.sent, f.response)
	if f.missing > 0 {
		f.missing, f.ended = 0, true
		s.reply(f, flagFIN|flagACK, f.after(), nil)
	}
}

// holds reports whether the server has a flow open.
func (s *server) holds(k flowKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[k]
	return f != nil && f.open && !f.ended && !s.closed
}

// after is the sequence number after what the server has sent.
func (f *serverFlow) after() uint32 { return f.sent + uint32(len(f.response)) }

// runQueued begins with queued requests while slots are free.
func (s *server) runQueued() {
	for s.running < s.slots && len(s.queue) > 0 {
		f := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		s.rec.ran(f.attempt, s.id, s.service)
		work := time.Duration(float64(s.work) * (1 + s.spread*(2*rand.Float64()-1)))
		if s.coldLeft() > 0 {
			work = work * 16 / 10
		}
		time.AfterFunc(work, func() { s.finish(f) })
	}
}

func (s *server) finish(f *serverFlow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.closed {
		return
	}
	body := bytes.Repeat([]byte("x"), 300)
	f.sent = f.after()
	f.response = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", f.attempt, sign(f.attempt), len(body), body)
	s.reply(f, flagACK, f.sent, f.response)
	s.repeat(f, f.sent, 200*time.Millisecond, 8)
	s.runQueued()
}

// repeat sends a response again until the consumer has sent something after it.
func (s *server) repeat(f *serverFlow, sent uint32, after time.Duration, left int) {
	next := f.next
	time.AfterFunc(after, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if f.next != next || f.sent != sent || s.closed || left == 0 || f.ended || f.acked == f.after() {
			return
		}
		s.reply(f, flagACK, f.sent, f.response)
		s.repeat(f, sent, min(2*after, 1600*time.Millisecond), left-1)
	})
}

func (s *server) reply(f *serverFlow, flags byte, seq uint32, data []byte) {
	p := packet{src: f.key.called, sport: f.key.calledPort, dst: f.key.caller, dport: f.key.callerPort, flags: flags, seq: seq, ack: f.next, data: data}
	s.send(p.encode())
}

// sign stands for the signature by which a consumer knows a response of a server.
func sign(attempt string) string {
	return strconv.FormatUint(uint64(sum(append(make([]byte, headSize), attempt...))), 16)
}

// header returns a field of an HTTP message.
func header(message []byte, name string) string {
	_, rest, found := bytes.Cut(message, []byte("\r\n"+name+": "))
	if !found {
		return ""
	}
	value, _, _ := bytes.Cut(rest, []byte("\r\n"))
	return string(value)
}
