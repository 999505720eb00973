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

// errUnknownKind says that a message is of a kind that this role doesn't take.
var errUnknownKind = errors.New("unknown kind of message")

// badLogEvery is how often a line is written on messages that can't be read; the counter has all of them. A
// peer of another version sends hundreds a second.
const badLogEvery = time.Second

// flowMessages takes the messages about flows that one role gets. It says whether the message was one.
type flowMessages func(now time.Time, from netip.Addr, h msgs.Head, rest []byte) bool

// messages returns the reader of other processes' messages. Those about flows go to take.
func (p *process) messages(take flowMessages) func() error {
	var lastLogged time.Time
	return func() error {
		return p.sockets.readMessages(func(now time.Time, from netip.Addr, h msgs.Head, rest []byte) {
			if err := p.handle(now, from, h, rest, take); err != nil {
				unreadable.Inc()
				if now.Sub(lastLogged) < badLogEvery {
					return
				}
				lastLogged = now
				p.events.State("message-bad").Stringer("peer", from).Uint8("kind", uint8(h.Kind)).Int("bytes", len(rest)).Err(err).Send()
			}
		})
	}
}

// handle handles one message.
func (p *process) handle(now time.Time, from netip.Addr, h msgs.Head, rest []byte, take flowMessages) error {
	p.prober.MarkAlive(now, from)
	switch h.Kind {
	case msgs.KindBeacon:
		m, err := msgs.ReadBeacon(h, rest)
		if err != nil {
			return err
		}
		p.follow.Heard(now, from, m)
		return nil
	case msgs.KindNews:
		c, err := follow.DecodeNews(rest)
		if err != nil {
			return err
		}
		p.follow.Learn(now, from, c)
		return nil
	}
	p.follow.Noticed(from, h.Revision)
	switch h.Kind {
	case msgs.KindAsk:
		return msgs.Take(h, rest, msgs.ReadAsk, func(m msgs.Ask) { p.prober.HandleProbe(from, m) })
	case msgs.KindAlive:
		return msgs.Take(h, rest, msgs.ReadAlive, func(m msgs.Alive) { p.prober.HandleAck(now, m) })
	}
	if !take(now, from, h, rest) {
		return errUnknownKind
	}
	return nil
}
