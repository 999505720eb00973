package edge

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"mangowinch/internal/flow/msgs"
	"mangowinch/internal/load/parts"
	"mangowinch/internal/load/spill"
	"mangowinch/internal/load/steer"
	"mangowinch/internal/oper/event"
)

// Guards against an operator who doesn't see that flows leave a failure domain, against a line for each step, and against
// metrics of a service that is gone.
func TestSplitIsReported(t *testing.T) {
	var out bytes.Buffer
	log := event.New(&out, "entry", "front-1")
	e := &Entry{Config: Config{Events: log}, splits: map[string]*splitReport{},
		chooser: steer.New("zg-a", rand.New(rand.NewPCG(1, 2)), parts.Off{})}
	own, other := netip.MustParseAddr("10.0.1.1"), netip.MustParseAddr("10.0.1.2")
	list := []steer.Candidate{{Agent: own, Service: "q", Domain: "zg-a", Slots: 2}, {Agent: other, Service: "q", Domain: "zg-b", Slots: 2}}
	at := time.Unix(1_700_000_000, 0)
	play := func(busy uint16) {
		for range 80 {
			at = at.Add(spill.Interval)
			e.chooser.Choose(at, list, nil)
			e.chooser.Report(at, own, msgs.Load{Busy: busy}, msgs.Estimate{})
			e.chooser.Report(at, other, msgs.Load{Busy: 1}, msgs.Estimate{})
			e.reportSplits(at)
		}
	}
	play(1)
	play(9)
	assert.Assert(t, strings.Contains(metricsText(), `mangowinch_domain_use{service="q",domain="zg-a"}`))
	play(1)
	e.chooser.Retain(nil)
	e.reportSplits(at.Add(splitReportInterval))
	assert.Assert(t, !strings.Contains(metricsText(), `service="q"`))
	assert.Equal(t, len(e.splits), 0)
	log.Close()
	assert.Equal(t, strings.Count(out.String(), `"domain-full"`), 1, out.String())
	assert.Equal(t, strings.Count(out.String(), `"domain-local"`), 1, out.String())
}

func metricsText() string {
	var b bytes.Buffer
	metrics.WritePrometheus(&b, false)
	return b.String()
}
