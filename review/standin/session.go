//go:build review

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"time"
)

// session is a consumer that keeps a flow open for many requests, with pauses between them.
type session struct {
	key     flowKey
	route   route
	isn     uint32
	next    uint32 // next sequence number to send
	ack     uint32
	open    bool
	busy    bool // a request is not answered yet
	over    bool // the flow has ended
	data    []byte
	attempt string
	served  int
	refused int // answers that a request has not been run
	number  int // of requests
}

// upload is a consumer that opens a flow for one large request.
type upload struct {
	key     flowKey
	route   route
	isn     uint32
	ack     uint32
	acked   uint32 // what the server has acknowledged
	sent    uint32 // what was sent, exclusive
	data    []byte
	attempt string
	open    bool
	sending bool // packets of the window are being sent
	outcome string
}

const (
	packetData  = 1200
	windowSize  = 16 * packetData
	uploadBytes = 20_000
)

// port returns the next port of the consumers.
func (c *consumers) newKey(to route) flowKey {
	c.count++
	c.nextPort++
	return flowKey{c.addrs[c.count%len(c.addrs)], 1024 + c.nextPort, to.host, to.port}
}

func (c *consumers) sendPacket(k flowKey, flags byte, seq, ack uint32, data []byte) {
	p := packet{src: k.caller, sport: k.callerPort, dst: k.called, dport: k.calledPort, flags: flags, seq: seq, ack: ack, data: data}
	c.router.forward(k, p.encode())
}

// syn sends an opening packet and its copies while needed reports that the flow is not open.
func (c *consumers) syn(k flowKey, isn uint32, needed func() bool) {
	for i, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		send := func() {
			c.rec.opening(k, time.Now())
			c.sendPacket(k, flagSYN, isn, uint32(i), nil)
		}
		if at == 0 {
			send()
			continue
		}
		time.AfterFunc(at, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if needed() {
				send()
			}
		})
	}
}

// openSession opens a flow and sends a first request on it.
func (c *consumers) openSession(to route) *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := &session{key: c.newKey(to), route: to, isn: rand.Uint32()}
	f.next = f.isn + 1
	c.sessions[f.key] = f
	c.syn(f.key, f.isn, func() bool { return !f.open && !f.over })
	return f
}

// ask sends the next request on a session, unless one is under way.
func (c *consumers) ask(f *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.open && !f.busy && !f.over {
		c.sendRequest(f)
	}
}

func (c *consumers) sendRequest(f *session) {
	f.number++
	f.busy = true
	f.attempt = fmt.Sprintf("s%d.%d", f.key.callerPort, f.number)
	f.data = fmt.Appendf(nil, "GET /status HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n\r\n", f.key.called, f.attempt)
	c.repeatRequest(f, f.number, 200*time.Millisecond)
}

func (c *consumers) repeatRequest(f *session, number int, again time.Duration) {
	if !f.busy || f.number != number || f.over {
		return
	}
	c.sendPacket(f.key, flagACK, f.next, f.ack, f.data)
	time.AfterFunc(again, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.repeatRequest(f, number, min(2*again, 1600*time.Millisecond))
	})
}

func (c *consumers) receiveSession(f *session, p *packet) {
	switch {
	case f.over:
	case p.has(flagRST):
		c.sessionReset(f, p)
	case p.has(flagSYN):
		if !f.open {
			f.open, f.ack = true, p.seq+1
			c.sendRequest(f)
		}
	case len(p.data) > 0 && p.seq == f.ack:
		f.ack += uint32(len(p.data))
		f.next += uint32(len(f.data))
		f.busy = false
		if header(p.data, "X-Not-Executed") != "" {
			f.refused++
		} else {
			f.served++
		}
	case len(p.data) > 0:
		c.sendPacket(f.key, flagACK, f.next, f.ack, nil) // a copy of the last response
	}
}

// sessionReset handles a reset. A server of these cases resets no session.
func (c *consumers) sessionReset(f *session, p *packet) {
	if f.open && p.seq-f.ack+resetWindow > 2*resetWindow {
		return // out of the window
	}
	f.over = true
	if f.open {
		c.broken = append(c.broken, f.key)
		c.rec.line("session %s:%d on route %s: a reset on its open flow after %d requests, request under way: %v", f.key.caller, f.key.callerPort, f.route.name, f.number, f.busy)
	}
}

// beginUpload opens a flow for an upload.
func (c *consumers) beginUpload(to route) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := &upload{key: c.newKey(to), route: to, isn: rand.Uint32()}
	f.attempt = fmt.Sprintf("u%d", f.key.callerPort)
	f.data = fmt.Appendf(nil, "POST /doc HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", to.host, f.attempt, uploadBytes, bytes.Repeat([]byte("d"), uploadBytes))
	c.uploads[f.key] = f
	c.syn(f.key, f.isn, func() bool { return !f.open && f.outcome == "" })
	time.AfterFunc(to.budget, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.endUpload(f, overdue)
	})
}

func (c *consumers) endUpload(f *upload, outcome string) {
	if f.outcome != "" {
		return
	}
	f.outcome = outcome
	c.outcomes[outcome]++
	c.rec.line("attempt %s on route %s: %s", f.attempt, f.route.name, outcome)
}

// packetTime is the time that a packet of an upload takes on the consumer's own line, of some 20 Mbit/s.
const packetTime = 500 * time.Microsecond

// sendWindow sends what the window has room for, one packet after the other, until the upload is answered.
func (c *consumers) sendWindow(f *upload) {
	if f.sending {
		return
	}
	f.sending = true
	go func() {
		for c.sendNext(f) {
			time.Sleep(packetTime)
		}
	}()
}

// sendNext sends the next packet of an upload, if the window has room for it.
func (c *consumers) sendNext(f *upload) (sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if int(f.sent) >= len(f.data) || f.sent-f.acked >= windowSize || f.outcome != "" {
		f.sending = false
		return false
	}
	end := min(int(f.sent)+packetData, len(f.data))
	c.sendPacket(f.key, flagACK, f.isn+1+f.sent, f.ack, f.data[f.sent:end])
	f.sent = uint32(end)
	return true
}

// resend repeats what the server has not acknowledged.
func (c *consumers) resend(f *upload, again time.Duration) {
	before := f.acked
	time.AfterFunc(again, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if f.outcome != "" {
			return
		}
		if f.acked == before {
			again = min(2*again, 1600*time.Millisecond)
			f.sent = f.acked
			c.sendWindow(f)
		}
		c.resend(f, again)
	})
}

// outcomeRejected is the outcome of a request that a server says it has not run.
const outcomeRejected = "503, not executed"

func (c *consumers) receiveUpload(f *upload, p *packet) {
	switch {
	case p.has(flagRST) && !f.open:
		c.endUpload(f, refused)
	case p.has(flagRST):
		if p.seq-f.ack+resetWindow <= 2*resetWindow {
			c.endUpload(f, broken)
		}
	case p.has(flagSYN):
		if !f.open && f.outcome == "" {
			f.open, f.ack = true, p.seq+1
			c.sendWindow(f)
			c.resend(f, 200*time.Millisecond)
		}
	case len(p.data) > 0 && p.seq == f.ack:
		f.ack += uint32(len(p.data))
		outcome := answered
		if header(p.data, "X-Not-Executed") != "" {
			outcome = outcomeRejected
		}
		c.sendPacket(f.key, flagFIN|flagACK, f.isn+1+f.sent, f.ack, nil)
		c.endUpload(f, outcome)
	case p.has(flagFIN):
		c.sendPacket(f.key, flagACK, f.isn+2+f.sent, p.seq+1, nil)
	case f.outcome == "" && p.ack-f.isn-1 <= f.sent:
		f.acked = max(f.acked, p.ack-f.isn-1)
		c.sendWindow(f)
	}
}
