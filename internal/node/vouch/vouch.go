// Package vouch answers and passes on the question whether a process is alive.
//
// Each process of the carrier for opaque flows has one. It keeps no state: a question that is handed on carries who wants to
// know, and so does its answer, so that helpers remember nothing and a lost datagram is a lost question. Whom
// to ask, and what follows from silence, is the asker's (package detect).
//
// Asking by way of others is the indirect probe of SWIM (Das, Gupta and Motivala, 2002): it tells a broken way between
// two processes, of which nothing follows for the third, from a process that is gone.
//
// # Usage
//
//	n := vouch.New(self, send)
//	n.OnAlive, n.OnAnswer = heard, answered
//	n.Ask(target, helpers, round)
package vouch

import (
	"net/netip"
	"time"

	"mangowinch/internal/flow/msgs"
)

// Node is a process's part. Its methods may be called from any goroutine.
type Node struct {
	// OnAlive is called with each process from which a message has come, or of which another says that it
	// is alive; nil: nobody wants to know. It is set before the first message.
	OnAlive func(now time.Time, process netip.Addr)
	// OnAnswer is called with each process that has answered a question of this one, which so has been heard
	// itself, and with the question's round; nil: nobody wants to know. It is set before the first message.
	OnAnswer func(now time.Time, process netip.Addr, round uint32)

	self netip.Addr
	send func(to netip.Addr, message []byte)
}

// New returns the part of the process at an address.
func New(self netip.Addr, send func(to netip.Addr, message []byte)) *Node {
	return &Node{self: self, send: send}
}

// Probe asks a process whether it is alive, directly and by way of helpers. Its answer names the round.
func (n *Node) Probe(target netip.Addr, helpers []netip.Addr, round uint32) {
	m := msgs.Ping{Target: target, Origin: n.self, Round: round}
	message := m.AppendTo(nil)
	n.send(target, message)
	for _, h := range helpers {
		n.send(h, message)
	}
}

// HandleProbe takes a question: it is answered, or handed on to the one whom it is about.
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

// HandleAck takes an answer: it is for this process, or handed on to who wants to know.
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

// MarkAlive notes that a process is alive.
func (n *Node) MarkAlive(now time.Time, process netip.Addr) {
	if n.OnAlive != nil {
		n.OnAlive(now, process)
	}
}
