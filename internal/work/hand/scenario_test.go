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

const claimPath = "/claim/widow"

// assertRan checks that a call ran and returned the answer for claimPath.
func assertRan(t *testing.T, end result.Result, body string) {
	t.Helper()
	assert.Equal(t, end, result.Result{Outcome: result.Ran})
	assert.Equal(t, body, "case for "+claimPath)
}

// Guards against a second run after a server has opened a case and crashed before it answered. The
// caller gets "unknown" and repeats its key at the same agent and at others. The case must not be
// opened again, and every outcome must be "unknown".
func TestServerDiesAfterRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.behave = func(agent uint32, _ string) behaviour { return behaviour{crashes: agent == 1} }
		key := f.issue(1)
		for _, agent := range []uint32{1, 1, 2, 3} {
			end, _ := f.call(agent, claimPath, key)
			assert.Equal(t, end, result.Result{Outcome: result.Unknown, Reason: result.ServerDisconnected})
		}
		assert.Equal(t, f.runs(claimPath), 1)
	})
}

// Guards against a second run when a partition separates the caller from the owner of its key while
// the claim runs. The caller repeats the key on its side, which serves other requests, but only the
// owner can decide about this key: the outcome is unknown, with a retry delay. After the partition
// has healed, a repeat must get the first answer.
func TestPartitionAndCallerChangesSides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		key := f.issue(1)
		go f.call(1, claimPath, key)
		time.Sleep(10 * time.Millisecond)
		f.partition(1, true)
		end, _ := f.call(2, claimPath, key)
		assert.Equal(t, end, result.Result{Outcome: result.Unknown, Reason: result.OwnerUnavailable, RetryAfter: token.RetryAfter})
		other, _ := f.call(2, "/claim/other", f.issue(2))
		assert.Equal(t, other.Outcome, result.Ran)

		f.partition(1, false)
		end, body := f.call(2, claimPath, key)
		assertRan(t, end, body)
		assert.Equal(t, f.runs(claimPath), 1)
	})
}

// Guards against a second run after the owner of a key has restarted with the same server ID and
// address. The new process has no records, so a repeat at any agent must be unknown.
func TestOwnerRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		key := f.issue(1)
		end, body := f.call(1, claimPath, key)
		assertRan(t, end, body)
		f.stop(1)
		f.start(t, 1, 2)
		for agent := uint32(1); agent <= agents; agent++ {
			end, _ = f.call(agent, claimPath, key)
			assert.Equal(t, end, result.Result{Outcome: result.Unknown, Reason: result.OwnerUnavailable})
		}
		assert.Equal(t, f.runs(claimPath), 1)
	})
}

// Guards against several runs when a caller sends the same key to all agents at the same time. The
// owner must run the claim once, and all calls must get that answer.
func TestAgentsRaceForAKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		key := f.issue(3)
		var all sync.WaitGroup
		var ends [agents]result.Result
		var bodies [agents]string
		for i := range ends {
			all.Go(func() { ends[i], bodies[i] = f.call(uint32(i+1), claimPath, key) })
		}
		all.Wait()
		for i := range ends {
			assertRan(t, ends[i], bodies[i])
		}
		assert.Equal(t, f.runs(claimPath), 1)
	})
}

// Guards against a second run when a caller gives up after a second and repeats the key while the
// claim still runs. The repeat must wait for the first answer; if its own deadline passes first,
// its outcome is unknown.
func TestRepeatWhileTheFirstRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.behave = func(uint32, string) behaviour { return behaviour{duration: 1900 * time.Millisecond} }
		key := f.issue(1)
		go f.call(1, claimPath, key)
		time.Sleep(time.Second)
		end, body := f.call(2, claimPath, key)
		assertRan(t, end, body)
		assert.Equal(t, f.runs(claimPath), 1)
	})
}

// Guards against a second run when the owner's server sheds the claim and the owner places it at
// another agent. The key stays with its owner: a repeat must get the same answer, and must not be
// placed at a third server.
func TestOwnerPlacesTheClaimElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.behave = func(agent uint32, _ string) behaviour { return behaviour{sheds: agent == 1} }
		key := f.issue(1)
		for _, agent := range []uint32{1, 2, 3} {
			end, body := f.call(agent, claimPath, key)
			assertRan(t, end, body)
		}
		assert.Equal(t, f.runs(claimPath), 1)
	})
}

// Guards against running a claim after "not run" was returned for it. Every server sheds, so the
// caller gets "not run" and opens the case by other means. A delayed copy of the claim then reaches
// the owner, whose server is idle again. The copy must not run.
func TestNotRunIsFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		shed := true
		f.behave = func(uint32, string) behaviour { return behaviour{sheds: shed} }
		key := f.issue(1)
		refused := result.Result{Outcome: result.NotRun, Reason: result.ServerShed}
		end, _ := f.call(2, claimPath, key)
		assert.Equal(t, end, refused)
		shed = false
		end, _ = f.call(2, claimPath, key)
		assert.Equal(t, end, refused)
		assert.Equal(t, f.runs(claimPath), 0)
	})
}

// Guards against evicting records early when the store of an agent is full. New claims must be
// refused immediately as not run, and recorded outcomes must remain available.
func TestOwnersMemoryIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.stop(1)
		f.limits = memo.Limits{Records: 1, Bytes: 1 << 10, Answer: 1 << 10}
		f.start(t, 1, 2)
		key := f.issue(1)
		end, body := f.call(1, claimPath, key)
		assertRan(t, end, body)
		end, _ = f.call(1, "/claim/8", f.issue(1))
		assert.Equal(t, end, result.Result{Outcome: result.NotRun, Reason: result.StoreFull})
		assert.Equal(t, f.runs("/claim/8"), 0)
		end, body = f.call(1, claimPath, key)
		assertRan(t, end, body)
	})
}

// Guards against a run or a wrong answer when a caller sends a different claim under a used key, or
// a key that was truncated, for example in a log file.
func TestKeyOfAnotherClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		key := f.issue(1)
		end, body := f.call(1, claimPath, key)
		assertRan(t, end, body)
		end, _ = f.call(1, "/claim/8", key)
		assert.Equal(t, end, result.Result{Outcome: result.NotRun, Reason: result.KeyReused})
		end, _ = f.call(1, claimPath, key[:len(key)-4])
		assert.Equal(t, end, result.Result{Outcome: result.Unknown, Reason: result.KeyInvalid})
		assert.Equal(t, f.runs("/claim/8"), 0)
		assert.Equal(t, f.runs(claimPath), 1)
	})
}
