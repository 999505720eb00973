package opaque

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/oper/event"
)

const (
	// sampleEvery is the span whose busiest one is told.
	sampleEvery = time.Second
	// samplesPerLine is how many spans are told in one line.
	samplesPerLine = 10
)

// kindBytes are bytes sent to other processes, by kind of message.
type kindBytes [msgs.Kinds]uint64

// sentTotals reads the counters.
func sentTotals() (sent kindBytes) {
	for k, c := range sentBytes {
		sent[k] = c.Get()
	}
	return sent
}

// minus returns what was sent since an earlier reading.
func (b *kindBytes) minus(earlier *kindBytes) (sent kindBytes) {
	for k := range b {
		sent[k] = b[k] - earlier[k]
	}
	return sent
}

// control is the bytes of all but callers' packets.
func (b *kindBytes) control() (sum uint64) {
	for k, n := range b {
		if !msgs.Kind(k).CarriesPacket() {
			sum += n
		}
	}
	return sum
}

// traffic tells what a process sends to others besides callers' packets. A mean over a day hides the second in which everything starts or a
// failure domain goes, and links are narrow.
type traffic struct {
	logged    kindBytes // counters at the last line
	sampled   kindBytes // counters at the last sample
	peak      uint64    // control bytes of the busiest sample since the last line
	untilLine int       // samples until the next line
}

// sample takes the counters and says whether a line is due.
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

// log writes a line on what was sent since the last one.
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

// watchTraffic writes a line now and then until ctx ends.
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
