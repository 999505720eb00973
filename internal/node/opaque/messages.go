package opaque

import (
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"mangowinch/internal/ctrl/follow"
	"mangowinch/internal/flow/msgs"
)

// unreadable counts messages that are ours by their first byte and mean nothing to this process: cut short, damaged,
// or of another version of the program.
var unreadable = metrics.NewCounter(`mangowinch_unreadable_messages_total`)

// errKind says that a message is of a kind that this role doesn't take.
var errKind = errors.New("unknown kind of message")

// sayBadEvery is how often a line is written on messages that can't be read; the counter has all of them. A
// peer of another version sends hundreds a second.
const sayBadEvery = time.Second

// flowMessages takes the messages about flows that one role gets. It says whether the message was one.
type flowMessages func(now time.Time, from netip.Addr, h msgs.Header, rest []byte) bool

// messages returns the reader of other processes' messages. Those about flows go to take.
func (p *process) messages(take flowMessages) func() error {
	var said time.Time
	return func() error {
		return p.sockets.readMessages(func(now time.Time, from netip.Addr, h msgs.Header, rest []byte) {
			if err := p.took(now, from, h, rest, take); err != nil {
				unreadable.Inc()
				if now.Sub(said) < sayBadEvery {
					return
				}
				said = now
				p.events.State("message-bad").Stringer("peer", from).Uint8("kind", uint8(h.Kind)).Int("bytes", len(rest)).Err(err).Send()
			}
		})
	}
}

// took handles one message.
func (p *process) took(now time.Time, from netip.Addr, h msgs.Header, rest []byte, take flowMessages) error {
	p.vouch.MarkAlive(now, from)
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
		return msgs.Handle(h, rest, msgs.ReadPing, func(m msgs.Ping) { p.vouch.HandleProbe(from, m) })
	case msgs.KindPingAck:
		return msgs.Handle(h, rest, msgs.ReadPingAck, func(m msgs.PingAck) { p.vouch.HandleAck(now, m) })
	}
	if !take(now, from, h, rest) {
		return errKind
	}
	return nil
}
