// Package prober sends, forwards and answers probes, which ask whether a process is alive.
//
// Each process of the system for opaque flows has one Node. It keeps no state: a forwarded probe carries
// the address of the requester, and so does its answer. Helpers need to remember nothing, and a lost
// datagram is a lost probe. The requester decides which process to probe and what follows from a missing
// answer (package detect).
//
// Probing by way of helpers is the indirect probe of SWIM (Das, Gupta and Motivala, 2002). It distinguishes
// a broken path between two processes, from which nothing follows for others, from a process that has
// failed.
//
// # Usage
//
//	n := prober.New(self, send)
//	n.OnAlive, n.OnAnswer = processAlive, probeAnswered
//	n.Probe(target, helpers, round)
package prober

import (
	"net/netip"
	"time"

	"mangowinch/internal/flow/msgs"
)

// Node is a process's endpoint for probes. Its methods may be called from any goroutine.
type Node struct {
	// OnAlive, if not nil, is called with each process from which a message has arrived, or which another
	// process has acknowledged to be alive. It must be set before the first message.
	OnAlive func(now time.Time, process netip.Addr)
	// OnAnswer, if not nil, is called with each process that has answered a probe of this one, after
	// OnAlive, and with the round of the probe. It must be set before the first message.
	OnAnswer func(now time.Time, process netip.Addr, round uint32)

	self netip.Addr
	send func(to netip.Addr, message []byte)
}

// New returns the node of the process at an address.
func New(self netip.Addr, send func(to netip.Addr, message []byte)) *Node {
	return &Node{self: self, send: send}
}

// Probe probes a process, directly and by way of helpers. The answers carry the round.
func (n *Node) Probe(target netip.Addr, helpers []netip.Addr, round uint32) {
	m := msgs.Ping{Target: target, Origin: n.self, Round: round}
	message := m.AppendTo(nil)
	n.send(target, message)
	for _, h := range helpers {
		n.send(h, message)
	}
}

// HandleProbe answers a probe of this process, or forwards a probe of another process to its target.
func (n *Node) HandleProbe(from netip.Addr, m msgs.Ping) {
	switch {
	case m.Target == n.self:
		answer := msgs.PingAck{Target: n.self, Origin: m.Origin, Round: m.Round}
		n.send(from, answer.AppendTo(nil))
	case !m.Relayed:
		m.Relayed = true
		n.send(m.Target, m.AppendTo(nil))
	}
}

// HandleAck handles an answer to a probe of this process, or forwards the answer to the requester.
func (n *Node) HandleAck(now time.Time, m msgs.PingAck) {
	if m.Origin != n.self {
		n.send(m.Origin, m.AppendTo(nil))
		return
	}
	n.MarkAlive(now, m.Target)
	if n.OnAnswer != nil {
		n.OnAnswer(now, m.Target, m.Round)
	}
}

// MarkAlive records that a process is alive.
func (n *Node) MarkAlive(now time.Time, process netip.Addr) {
	if n.OnAlive != nil {
		n.OnAlive(now, process)
	}
}
