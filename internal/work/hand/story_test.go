package hand_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangowinch/internal/work/memo"
	"mangowinch/internal/work/result"
	"mangowinch/internal/work/token"
)

const widow = "/claim/widow"

// same reports that a call ran and brought the widow's case.
func same(t *testing.T, end result.Result, body string) {
	t.Helper()
	assert.Equal(t, end, result.Result{Outcome: result.Ran})
	assert.Equal(t, body, "case for "+widow)
}

// Story: a server opens the widow's case and dies before it answers. The caller is told
// "unknown" and repeats its key, at the same and at another agent. The case is not
// opened again; nobody can say more than "unknown".
func TestServerDiesAfterRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.behave = func(agent uint32, _ string) behaviour { return behaviour{dies: agent == 1} }
		key := f.issue(1)
		for _, agent := range []uint32{1, 1, 2, 3} {
			end, _ := f.call(agent, widow, key)
			assert.Equal(t, end, result.Result{Outcome: result.Unknown, Reason: result.ServerDisconnected})
		}
		assert.Equal(t, f.runs(widow), 1)
	})
}

// Story: the fleet is cut in two while a claim runs at its key's owner. The caller finds
// itself on the other side and repeats the key there. That side serves, but this key
// only its owner can decide: unknown, come back. After the cut it gets the first answer.
func TestPartitionAndCallerChangesSides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		key := f.issue(1)
		go f.call(1, widow, key)
		time.Sleep(10 * time.Millisecond)
		f.partition(1, true)
		end, _ := f.call(2, widow, key)
		assert.Equal(t, end, result.Result{Outcome: result.Unknown, Reason: result.OwnerUnavailable, RetryAfter: token.RetryAfter})
		other, _ := f.call(2, "/claim/other", f.issue(2))
		assert.Equal(t, other.Outcome, result.Ran)

		f.partition(1, false)
		end, body := f.call(2, widow, key)
		same(t, end, body)
		assert.Equal(t, f.runs(widow), 1)
	})
}

// Story: the owner of a key runs the claim, is replaced, and the new process has the same
// server ID and address. It remembers nothing, so the repeat is unknown, at whichever
// agent it arrives.
func TestOwnerRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		key := f.issue(1)
		end, body := f.call(1, widow, key)
		same(t, end, body)
		f.stop(1)
		f.start(t, 1, 2)
		for agent := uint32(1); agent <= agents; agent++ {
			end, _ = f.call(agent, widow, key)
			assert.Equal(t, end, result.Result{Outcome: result.Unknown, Reason: result.OwnerUnavailable})
		}
		assert.Equal(t, f.runs(widow), 1)
	})
}

// Story: a caller with two connections sends the same key to all agents at once, none of
// which is asked first. One of them, the owner, lets it run; all get that answer.
func TestAgentsRaceForAKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		key := f.issue(3)
		var all sync.WaitGroup
		var ends [agents]result.Result
		var bodies [agents]string
		for i := range ends {
			all.Go(func() { ends[i], bodies[i] = f.call(uint32(i+1), widow, key) })
		}
		all.Wait()
		for i := range ends {
			same(t, ends[i], bodies[i])
		}
		assert.Equal(t, f.runs(widow), 1)
	})
}

// Story: a caller loses patience after a second and repeats the key while the claim runs.
// It waits for the first try's answer; when its own deadline comes first it is unknown.
func TestRepeatWhileTheFirstRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.behave = func(uint32, string) behaviour { return behaviour{takes: 1900 * time.Millisecond} }
		key := f.issue(1)
		go f.call(1, widow, key)
		time.Sleep(time.Second)
		end, body := f.call(2, widow, key)
		same(t, end, body)
		assert.Equal(t, f.runs(widow), 1)
	})
}

// Story: the owner's own server sheds. The claim is placed at another agent, but the key
// stays with its owner: a repeat gets the same answer, and not a turn at a third server.
func TestOwnerPlacesTheClaimElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.behave = func(agent uint32, _ string) behaviour { return behaviour{shed: agent == 1} }
		key := f.issue(1)
		for _, agent := range []uint32{1, 2, 3} {
			end, body := f.call(agent, widow, key)
			same(t, end, body)
		}
		assert.Equal(t, f.runs(widow), 1)
	})
}

// Story: every server sheds and the caller is told "not run", so the case is opened by
// hand. A copy of the claim that was delayed on its way then reaches the owner, whose
// server is idle again. "Not run" was final for the key.
func TestNotRunIsFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		shed := true
		f.behave = func(uint32, string) behaviour { return behaviour{shed: shed} }
		key := f.issue(1)
		refused := result.Result{Outcome: result.NotRun, Reason: result.ServerShed}
		end, _ := f.call(2, widow, key)
		assert.Equal(t, end, refused)
		shed = false
		end, _ = f.call(2, widow, key)
		assert.Equal(t, end, refused)
		assert.Equal(t, f.runs(widow), 0)
	})
}

// Story: an agent remembers as much as it may. New claims are refused, at once and
// truthfully; what it remembers it still knows.
func TestOwnersMemoryIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.stop(1)
		f.limits = memo.Limits{Records: 1, Bytes: 1 << 10, Answer: 1 << 10}
		f.start(t, 1, 2)
		key := f.issue(1)
		end, body := f.call(1, widow, key)
		same(t, end, body)
		end, _ = f.call(1, "/claim/8", f.issue(1))
		assert.Equal(t, end, result.Result{Outcome: result.NotRun, Reason: result.StoreFull})
		assert.Equal(t, f.runs("/claim/8"), 0)
		end, body = f.call(1, widow, key)
		same(t, end, body)
	})
}

// Story: a caller sends another claim under a used key, or a key that was cut in a log file.
// It gets neither the first claim's answer nor a run.
func TestKeyOfAnotherClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		key := f.issue(1)
		end, body := f.call(1, widow, key)
		same(t, end, body)
		end, _ = f.call(1, "/claim/8", key)
		assert.Equal(t, end, result.Result{Outcome: result.NotRun, Reason: result.KeyReused})
		end, _ = f.call(1, widow, key[:len(key)-4])
		assert.Equal(t, end, result.Result{Outcome: result.Unknown, Reason: result.KeyInvalid})
		assert.Equal(t, f.runs("/claim/8"), 0)
		assert.Equal(t, f.runs(widow), 1)
	})
}
