//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"
)

// heartbeat is how often a server writes to the store (heartbeat_ms of the settings on the users' page).
const heartbeat = 770 * time.Millisecond

// server is a stand-in of one incarnation of an application server. Its methods run under world.mu.
type server struct {
	w        *world
	id       string
	service  string
	zone     string
	machine  netip.Addr
	conn     *net.UDPConn
	outbound netip.AddrPort
	work     time.Duration
	slots    int
	state    string
	born     int64
	coldFor  time.Duration // 0: it started before traffic
	seq      int
	alive    bool
	flows    map[netip.AddrPort]map[netip.AddrPort]*served // by caller, then by called address
	running  int
	queue    []*served
	lastSeen time.Time // of its entry in the store
}

// served is a flow that a server holds.
type served struct {
	caller, called netip.AddrPort
	first          uint32 // first sequence number of the server
	next           uint32 // next one to send
	acked          uint32 // highest acknowledgement of the caller
	expected       uint32 // next sequence number of the caller
	open, ended    bool
	request        string
	closing        bool // the flow is closed after the next response
}

func (s *server) app() netip.AddrPort { return netip.AddrPortFrom(s.machine, s.w.ports.app) }

// start binds the server's address and begins its heartbeats.
func (s *server) start() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.app()))
	if err != nil {
		return err
	}
	s.conn, s.alive, s.state, s.born = conn, true, "ready", time.Now().UnixMilli()
	s.flows = map[netip.AddrPort]map[netip.AddrPort]*served{}
	s.w.note("server", s.id, "starts", s.service, "at", s.app())
	s.w.read(conn, s.receive)
	s.w.every(heartbeat, func() bool { s.beat(); return s.alive })
	s.beat()
	return nil
}

// fallSilent ends the server without notice. Its port stays open until another server takes it, and its entry in the
// store expires after three heartbeats.
func (s *server) fallSilent() {
	s.alive = false
	s.w.note("server", s.id, "falls silent")
	s.w.after(3*heartbeat, func() { s.w.store.remove("servers/" + s.id) })
}

// beat writes the server's entry, if more than its count has changed.
func (s *server) beat() {
	if !s.alive {
		return
	}
	s.seq++
	key := "servers/" + s.id
	var stored map[string]any
	if json.Unmarshal(s.w.store.value(key), &stored) == nil && stored["state"] == s.state && stored["addr"] == s.app().String() &&
		stored["born"] == float64(s.born) && stored["warmup_left_ms"] == float64(s.warmUpLeft()) {
		return
	}
	value, _ := json.Marshal(s.entry())
	s.w.store.put(key, value)
}

func (s *server) entry() map[string]any {
	return map[string]any{
		"service": s.service, "addr": s.app().String(), "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": s.state, "warmup_left_ms": s.warmUpLeft(), "seq": s.seq, "born": s.born,
	}
}

// warmUpLeft returns how much longer the server stays cold after its start during traffic, in milliseconds.
func (s *server) warmUpLeft() int64 {
	if s.coldFor == 0 {
		return 0
	}
	return max(0, s.born+s.coldFor.Milliseconds()-time.Now().UnixMilli())
}

func (s *server) send(p packet) {
	_, _ = s.conn.WriteToUDPAddrPort(p.encode(), s.outbound)
}

// reply sends a packet on a flow.
func (s *server) reply(f *served, flags byte, seq uint32, data string) {
	s.send(packet{src: f.called, dst: f.caller, flags: flags, seq: seq, ack: f.expected, data: []byte(data)})
}

func (s *server) flow(p *packet) *served { return s.flows[p.src][p.dst] }

// receive handles a caller's packet.
func (s *server) receive(b []byte) {
	p, ok := decode(b)
	if !ok || !s.alive {
		return
	}
	if p.sum != p.correct || p.pad != 0 || p.echo != 0 {
		s.w.violation("UNASKED", fmt.Sprintf("server %s got a packet that no caller wrote so: %+v", s.id, p))
		return
	}
	f := s.flow(&p)
	switch {
	case p.has(flagSyn) && !p.has(flagAck):
		s.accept(f, &p)
	case f == nil || !f.open && p.ack != f.next:
		b[26] |= flagBounced
		b[27] = 0
		_, _ = s.conn.WriteToUDPAddrPort(b, s.outbound)
	case f.ended:
		if len(p.data) > 0 {
			s.reply(f, flagRst, f.next, "")
		} else if p.has(flagFin) {
			s.reply(f, flagAck, f.next, "")
		}
	default:
		s.advance(f, &p)
	}
}

// accept answers a SYN.
func (s *server) accept(f *served, p *packet) {
	if f == nil || f.ended {
		f = &served{caller: p.src, called: p.dst, first: rand.Uint32(), expected: p.seq + 1}
		f.next = f.first + 1
		f.acked = f.next
		if s.flows[p.src] == nil {
			s.flows[p.src] = map[netip.AddrPort]*served{}
		}
		s.flows[p.src][p.dst] = f
		s.w.taken(s, p)
	}
	s.reply(f, flagSyn|flagAck, f.first, "")
}

// advance handles a packet on a flow that the server holds.
func (s *server) advance(f *served, p *packet) {
	if !f.open {
		f.open = true
		s.w.opened(s, f)
	}
	if int32(p.ack-f.acked) > 0 {
		f.acked = p.ack
	}
	if p.has(flagRst) {
		delete(s.flows[f.caller], f.called)
		return
	}
	if len(p.data) > 0 {
		if p.seq == f.expected {
			f.expected += uint32(len(p.data))
			f.request = string(p.data)
			s.queue = append(s.queue, f)
			s.run()
		}
		s.reply(f, flagAck, f.next, "")
	}
	if p.has(flagFin) && p.seq+uint32(len(p.data)) == f.expected {
		f.expected++
		f.ended = true
		s.reply(f, flagAck|flagFin, f.next, "")
	}
}

// run begins the queued requests for which slots are free.
func (s *server) run() {
	for s.running < s.slots && len(s.queue) > 0 {
		f := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		id := f.request
		s.w.ran(s, f, id)
		s.w.after(s.work, func() {
			s.running--
			if s.alive && s.flow(&packet{src: f.caller, dst: f.called}) == f && !f.ended {
				s.respond(f, "answer to "+id, 0)
			}
			s.run()
		})
	}
}

// respond sends an answer until the caller acknowledges it.
func (s *server) respond(f *served, data string, tries int) {
	begin := f.next
	if tries == 0 {
		f.next += uint32(len(data))
	} else {
		begin -= uint32(len(data))
	}
	s.reply(f, flagAck, begin, data)
	wait := time.Duration(min(retryFirst<<tries, retryMax)) * time.Millisecond
	s.w.after(wait, func() {
		if s.alive && int32(f.next-f.acked) > 0 && tries < serverTries && !f.ended && s.flow(&packet{src: f.caller, dst: f.called}) == f {
			s.respond(f, data, tries+1)
		}
	})
}
