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
	// samplesTold is how many spans are told in one line.
	samplesTold = 10
)

// kindBytes are bytes sent to other processes, by kind of message.
type kindBytes [msgs.NumKinds]uint64

// sentSoFar reads the counters.
func sentSoFar() (sent kindBytes) {
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
	told kindBytes // counters at the last line
	last kindBytes // counters at the last sample
	most uint64    // control bytes of the busiest sample since the last line
	left int       // samples until the next line
}

// sample takes the counters and says whether a line is due.
func (t *traffic) sample(now kindBytes) (due bool) {
	span := now.minus(&t.last)
	t.most = max(t.most, span.control())
	t.last = now
	if t.left == 0 {
		t.left = samplesTold
	}
	t.left--
	return t.left == 0
}

// tell writes a line on what was sent since the last one.
func (t *traffic) tell(events *event.Log) {
	sent := t.last.minus(&t.told)
	kinds := zerolog.Dict()
	for k, n := range sent {
		if n > 0 {
			kinds.Uint64(msgs.Kind(k).String(), n)
		}
	}
	events.State("traffic").Uint64("control", sent.control()).Uint64("busiest", t.most).Dict("kinds", kinds).Send()
	t.told, t.most = t.last, 0
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
		if t.sample(sentSoFar()) {
			t.tell(events)
		}
	}
}
