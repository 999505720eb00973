package edge

import (
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mangowinch/internal/flow/owner"
	"mangowinch/internal/flow/segs"
	"mangowinch/internal/oper/event"
)

// Sending the packets of long flows at the rate of the entry's link (package pace).

// isPaced reports whether the packets of a flow are queued for the link. While packets of a flow are queued,
// all further ones are, so that none overtakes another.
func (e *Entry) isPaced(f segs.Flow) bool {
	if e.Off.Pace || e.Rate == 0 {
		return false
	}
	return e.bulk.Long(f) || e.queue.Holds(f)
}

// enqueue queues a packet and sends what the link has room for.
func (e *Entry) enqueue(now time.Time, f segs.Flow, datagram []byte) {
	pacedCount.Inc()
	pacedBytes.Add(len(datagram))
	e.queue.Push(now, f, datagram)
	e.sendQueued(now)
	if e.queue.Len() == 0 {
		return
	}
	select {
	case e.queued <- struct{}{}:
	default:
	}
}

// discardAborted drops the queued packets of a flow that its caller has reset. The reset isn't queued: no caller
// repeats one that is dropped. The server receives it after a gap in the sequence numbers. Within its window it ends
// the flow, or challenges the caller, who resets the flow again (RFC 5961). A server that ignores the reset ends
// the flow by its idle time, as it does after a reset that the network has lost.
func (e *Entry) discardAborted(f segs.Flow) {
	e.queue.Discard(f)
	e.countPaceDrops()
}

// Queued returns a channel that receives a value after packets have been queued.
func (e *Entry) Queued() <-chan struct{} { return e.queued }

// minSendWait is the shortest time between two calls of SendQueued: a fast link would otherwise wake the process for
// each packet.
const minSendWait = time.Millisecond

// SendQueued sends the queued packets that the link has room for. It returns the time until it must be called
// again, and false if no packet is left.
func (e *Entry) SendQueued(now time.Time) (wait time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sendQueued(now)
	wait, ok = e.queue.Ready(now)
	return max(wait, minSendWait), ok
}

// sendQueued sends the queued packets that the link has room for.
func (e *Entry) sendQueued(now time.Time) {
	if e.queue.Len() > 0 {
		e.link.MarkBusy(now)
	}
	v := e.Log.View()
	for p, ok := e.queue.Next(now); ok; p, ok = e.queue.Next(now) {
		paceWaits.Update(now.Sub(p.QueuedAt).Seconds())
		s, err := e.Codec.Decode(p.Data, segs.CallerEnd)
		if err != nil {
			countDropped("malformed")
			continue
		}
		e.forward(now, v, &s, p.Data)
	}
	e.countPaceDrops()
}

// countPaceDrops counts the packets that the queue has dropped.
func (e *Entry) countPaceDrops() {
	d := e.queue.TakeDrops()
	for range d.Full {
		countDropped("link-full")
	}
	for range d.Late {
		countDropped("link-late")
	}
	for range d.Aborted {
		countDropped("link-aborted")
	}
}

// linkAnswered records an agent's answer to the opening packet of a flow.
func (e *Entry) linkAnswered(now time.Time, agent netip.Addr, p *owner.EntryFlow) {
	server, _ := e.Log.View().Server(agent)
	e.link.Answered(now, server.Domain, p.SentAt(agent))
}

// isLateBehindLink reports whether an agent's answer to an opening packet is missing because of the entry's
// own link. The agent gets the copy of the packet then: the packet itself may still be queued in front of the
// link, and the server of another agent would open the flow a second time. A late answer is counted and logged.
func (e *Entry) isLateBehindLink(now time.Time, last *owner.Candidate, s *segs.Segment) bool {
	if e.Off.Pace || e.Rate == 0 || e.suspects.Failed(last.Agent) || !e.link.Late(now, last.Agent, last.SentAt) {
		return false
	}
	linkLate.Inc()
	e.Events.Flow(event.Failure, "link-late", s.Flow).Stringer("agent", last.Agent).Uint32("copy", s.Ack).Dur("delay", e.link.Delay()).Send()
	return true
}

// rateReport is what was last logged about the learned rate.
type rateReport struct {
	narrow bool // the link carries less than stated
	at     time.Time
}

// rateReportInterval is the shortest time between two rateReports. It limits the lines for a link whose rate changes
// often.
const rateReportInterval = time.Second

// learnedRate is the rate in bytes per second that the entry's link carries.
var learnedRate = metrics.NewGauge(`mangowinch_link_rate_bytes`, nil)

// adjustRate applies the rate that the link is found to carry.
func (e *Entry) adjustRate(now time.Time) {
	if e.Off.Pace || e.Rate == 0 {
		return
	}
	if e.link.Adjust(now) {
		e.queue.SetRate(e.link.SendRate())
		e.bulk.SetCarried(e.link.Rate(), e.link.Narrow())
	}
	learnedRate.Set(e.link.Rate())
	e.reportRate(now)
}

// reportRate logs when the link is found to be narrower than stated, and when it no longer is.
func (e *Entry) reportRate(now time.Time) {
	narrow := e.link.Narrow()
	if narrow == e.rateReport.narrow || now.Sub(e.rateReport.at) < rateReportInterval {
		return
	}
	e.rateReport = rateReport{narrow: narrow, at: now}
	if narrow {
		e.Events.State("link-narrow").Float64("rate", e.link.Rate()).Dur("delay", e.link.Delay()).Send()
		return
	}
	e.Events.State("link-stated").Float64("rate", e.link.Rate()).Send()
}
