package opaque

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/oper/event"
)

const (
	// sampleEvery is the length of a sample. The busiest sample of a log line is reported.
	sampleEvery = time.Second
	// samplesPerLine is the number of samples that a log line covers.
	samplesPerLine = 10
)

// kindBytes holds the bytes sent to other processes, by kind of message.
type kindBytes [msgs.NumKinds]uint64

// sentTotals returns the current values of the counters.
func sentTotals() (sent kindBytes) {
	for k, c := range sentBytes {
		sent[k] = c.Get()
	}
	return sent
}

// minus returns what was sent since the earlier totals.
func (b *kindBytes) minus(earlier *kindBytes) (sent kindBytes) {
	for k := range b {
		sent[k] = b[k] - earlier[k]
	}
	return sent
}

// control returns the sum of the bytes of all messages but callers' packets.
func (b *kindBytes) control() (sum uint64) {
	for k, n := range b {
		if !msgs.Kind(k).CarriesPacket() {
			sum += n
		}
	}
	return sum
}

// traffic logs what a process sends to others besides callers' packets, with the busiest second. A daily
// mean hides the second in which all processes start or a failure domain fails, and links have little
// capacity.
type traffic struct {
	logged    kindBytes // totals at the last log line
	sampled   kindBytes // totals at the last sample
	peak      uint64    // control bytes of the busiest sample since the last log line
	untilLine int       // samples until the next log line
}

// sample records the totals and reports whether a log line is due.
func (t *traffic) sample(now kindBytes) (due bool) {
	span := now.minus(&t.sampled)
	t.peak = max(t.peak, span.control())
	t.sampled = now
	if t.untilLine == 0 {
		t.untilLine = samplesPerLine
	}
	t.untilLine--
	return t.untilLine == 0
}

// log writes a log line on what was sent since the last one.
func (t *traffic) log(events *event.Log) {
	sent := t.sampled.minus(&t.logged)
	kinds := zerolog.Dict()
	for k, n := range sent {
		if n > 0 {
			kinds.Uint64(msgs.Kind(k).String(), n)
		}
	}
	events.State("traffic").Uint64("control", sent.control()).Uint64("busiest", t.peak).Dict("kinds", kinds).Send()
	t.logged, t.peak = t.sampled, 0
}

// watchTraffic logs the traffic every samplesPerLine samples until ctx ends.
func watchTraffic(ctx context.Context, events *event.Log) {
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	var t traffic
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if t.sample(sentTotals()) {
			t.log(events)
		}
	}
}
