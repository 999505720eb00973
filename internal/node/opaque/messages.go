package opaque

import (
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"mangowinch/internal/ctrl/follow"
	"mangowinch/internal/flow/msgs"
)

// unreadable counts messages that have the first byte of this protocol and that this process can't read:
// truncated, damaged, or of another version of the program.
var unreadable = metrics.NewCounter(`mangowinch_unreadable_messages_total`)

// errUnknownKind is returned for a message of a kind that this role doesn't handle.
var errUnknownKind = errors.New("unknown kind of message")

// unreadableLogEvery is the shortest time between log lines about unreadable messages, since a peer of
// another version sends hundreds a second. The counter includes all of them.
const unreadableLogEvery = time.Second

// flowHandler handles the messages about flows that one role receives. It reports whether the message is of
// such a kind.
type flowHandler func(now time.Time, from netip.Addr, h msgs.Header, rest []byte) bool

// messages returns the function that reads other processes' messages. Messages about flows are passed to
// handleFlow.
func (p *process) messages(handleFlow flowHandler) func() error {
	var lastLogged time.Time
	return func() error {
		return p.sockets.readMessages(func(now time.Time, from netip.Addr, h msgs.Header, rest []byte) {
			if err := p.handle(now, from, h, rest, handleFlow); err != nil {
				unreadable.Inc()
				if now.Sub(lastLogged) < unreadableLogEvery {
					return
				}
				lastLogged = now
				p.events.State("message-bad").Stringer("peer", from).Uint8("kind", uint8(h.Kind)).Int("bytes", len(rest)).Err(err).Send()
			}
		})
	}
}

// handle handles one message.
func (p *process) handle(now time.Time, from netip.Addr, h msgs.Header, rest []byte, handleFlow flowHandler) error {
	p.prober.MarkAlive(now, from)
	switch h.Kind {
	case msgs.KindBeacon:
		m, err := msgs.ReadBeacon(h, rest)
		if err != nil {
			return err
		}
		p.follow.HandleBeacon(now, from, m)
		return nil
	case msgs.KindUpdate:
		c, err := follow.DecodeUpdate(rest)
		if err != nil {
			return err
		}
		p.follow.HandleChange(now, from, c)
		return nil
	}
	p.follow.ObserveRevision(from, h.Revision)
	switch h.Kind {
	case msgs.KindPing:
		return msgs.Handle(h, rest, msgs.ReadPing, func(m msgs.Ping) { p.prober.HandleProbe(from, m) })
	case msgs.KindPingAck:
		return msgs.Handle(h, rest, msgs.ReadPingAck, func(m msgs.PingAck) { p.prober.HandleAck(now, m) })
	}
	if !handleFlow(now, from, h, rest) {
		return errUnknownKind
	}
	return nil
}
