package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/flow/order"
)

// countWithText returns the number of processes in which a document has the given text, and the number of all
// processes.
func (f *fleet) countWithText(name, text string) (have, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		if e := p.store.View().Documents[name]; e != nil && string(e.Text) == text {
			have++
		}
	}
	return have, len(f.processes)
}

// The platform is restored from a backup and assigns a lost revision a second time. Guards against a change
// that the platform lost being reverted before the service team can write it again, and against a later change
// that never comes into force because its revision is already known.
func TestDocumentAfterThePlatformCameBackFromACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lost, changed = "tracing-core servers=3 lost", "tracing-core servers=3 changed"
		f := newSettledFleet(t, 12)
		f.platform.setText("tracing-core", 6, lost)
		for revision := order.Revision(2); revision <= 6; revision++ {
			f.platform.set("tracing-core", revision)
			f.awaitAll(inForce, "tracing-core", revision)
		}
		f.platform.setDown(true)
		time.Sleep(2 * time.Second)
		f.platform.restore("tracing-core", 4)
		f.platform.setDown(false)
		time.Sleep(time.Second)
		have, all := f.countWithText("tracing-core", lost)
		assert.Equal(t, have, all, "reverted before it could be written again")

		f.platform.setText("tracing-core", 5, changed)
		f.platform.set("tracing-core", 5)
		time.Sleep(inForce)
		have, all = f.countWithText("tracing-core", changed)
		assert.Equal(t, have, all)
	})
}
