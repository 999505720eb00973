//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"
)

// caller is a stand-in of one consumer's flow. Its methods run under world.mu.
type caller struct {
	w            *world
	self, called netip.AddrPort
	isn          uint32
	next         uint32 // next sequence number to send
	acked        uint32 // of its own data
	expected     uint32 // next sequence number of the server
	open, over   bool
	opened       time.Time // when the caller knew that the flow is open
	sentAt       time.Time // when the first SYN was sent
	budget       time.Duration
	requests     int
	id           string // of the request in progress; "" if there is none
	idSentAt     time.Time
	unacked      string // request data that is to be repeated
	outcome      string // of the last request
	keep         bool   // the flow stays open after an answer
	onAnswer     func()
	holder       *server // that opened the flow
}

// call opens a flow and sends a request on it.
func (w *world) call(called netip.AddrPort, budget time.Duration, keep bool) *caller {
	w.ports.nextCaller++
	self := netip.AddrPortFrom(w.callerAddr(w.ports.nextCaller), 1024+uint16(w.ports.nextCaller%60000))
	c := &caller{w: w, self: self, called: called, isn: rand.Uint32(), sentAt: time.Now(), budget: budget, keep: keep, outcome: "pending"}
	c.next = c.isn + 1
	c.acked = c.next
	w.callers[self] = c
	w.all = append(w.all, c)
	for i, d := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		w.after(d, func() {
			if !c.open && !c.over {
				w.toEntry(c, packet{src: self, dst: called, flags: flagSyn, seq: c.isn, ack: uint32(i)})
			}
		})
	}
	w.after(openTimeout*time.Millisecond, func() {
		if !c.open && !c.over {
			c.end("unopened")
		}
	})
	return c
}

// end ends the flow for the caller.
func (c *caller) end(outcome string) {
	c.over = true
	c.outcome = outcome
	if c.id != "" {
		c.w.note("request", c.id, "ends:", outcome)
	}
	c.id = ""
}

// request sends a request on the open flow.
func (c *caller) request() {
	c.requests++
	id := fmt.Sprintf("%s-%d", c.self, c.requests)
	c.id, c.idSentAt, c.outcome = id, time.Now(), "pending"
	c.unacked = id
	c.w.sent(c, id)
	c.sendData(id, c.next, 0)
	c.next += uint32(len(id))
	c.w.after(c.budget, func() {
		if c.id == id && !c.over {
			c.w.toEntry(c, packet{src: c.self, dst: c.called, flags: flagRst | flagAck, seq: c.next, ack: c.expected})
			c.end("gave up")
		}
	})
}

// sendData sends a request's data and repeats it until it is acknowledged.
func (c *caller) sendData(id string, seq uint32, tries int) {
	c.w.toEntry(c, packet{src: c.self, dst: c.called, flags: flagAck, seq: seq, ack: c.expected, data: []byte(id)})
	wait := time.Duration(min(retryFirst<<tries, retryMax)) * time.Millisecond
	c.w.after(wait, func() {
		if !c.over && c.id == id && int32(seq+uint32(len(id))-c.acked) > 0 {
			c.sendData(id, seq, tries+1)
		}
	})
}

func (c *caller) sendAck(flags byte) {
	c.w.toEntry(c, packet{src: c.self, dst: c.called, flags: flags | flagAck, seq: c.next, ack: c.expected})
}

// receive handles a packet for the caller.
func (c *caller) receive(p *packet) {
	if c.over {
		return
	}
	if p.has(flagRst) && p.sum == 0 {
		c.reset(p)
		return
	}
	if p.sum != p.correct {
		c.w.violation("MIXED", fmt.Sprintf("caller %s got a packet that no server wrote so: %+v", c.self, *p))
		return
	}
	switch {
	case p.has(flagSyn | flagAck):
		if !c.open {
			c.open, c.opened, c.expected = true, time.Now(), p.seq+1
			c.request()
		}
	case !c.open:
	case p.has(flagRst):
		c.end("reset by the server")
	default:
		if int32(p.ack-c.acked) > 0 {
			c.acked = p.ack
		}
		c.data(p)
	}
}

// data handles an answer.
func (c *caller) data(p *packet) {
	if len(p.data) == 0 {
		return
	}
	if p.seq != c.expected {
		c.sendAck(0)
		return
	}
	c.expected += uint32(len(p.data))
	if string(p.data) != "answer to "+c.id {
		c.w.violation("MIXED", fmt.Sprintf("caller %s waits for %q and got %q", c.self, c.id, p.data))
	}
	c.w.note("request", c.id, "answered")
	c.id, c.outcome = "", "answered"
	if !c.keep {
		c.sendAck(flagFin)
		c.over = true
		return
	}
	c.sendAck(0)
	if c.onAnswer != nil {
		c.onAnswer()
	}
}

// reset handles a reset of the system. On an open flow only one whose sequence number is near counts.
func (c *caller) reset(p *packet) {
	if !c.open {
		c.end("refused")
		return
	}
	if d := int32(p.seq - c.expected); d > resetWindow || d < -resetWindow {
		return
	}
	c.w.wasReset(c)
	c.end("reset by the system")
}
