package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/flow/order"
)

// hasText counts the processes in which a document has a text.
func (f *fleet) hasText(name, text string) (have, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		if e := p.store.View().Documents[name]; e != nil && string(e.Text) == text {
			have++
		}
	}
	return have, len(f.processes)
}

// Guards against a document that is never in force, or one that is taken back at once, because the platform came back from a
// copy and gave its revision a second time.
func TestDocumentAfterThePlatformCameBackFromACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lost, changed = "tracing-core servers=3 lost", "tracing-core servers=3 changed"
		f := settled(t, 12)
		f.platform.setText("tracing-core", 6, lost)
		for revision := order.Revision(2); revision <= 6; revision++ {
			f.platform.set("tracing-core", revision)
			f.within(inForce, "tracing-core", revision)
		}
		f.platform.setDown(true)
		time.Sleep(2 * time.Second)
		f.platform.comeBack("tracing-core", 4)
		f.platform.setDown(false)
		time.Sleep(time.Second)
		have, all := f.hasText("tracing-core", lost)
		assert.Equal(t, have, all, "taken back before it could be written again")

		f.platform.setText("tracing-core", 5, changed)
		f.platform.set("tracing-core", 5)
		time.Sleep(inForce)
		have, all = f.hasText("tracing-core", changed)
		assert.Equal(t, have, all)
	})
}
