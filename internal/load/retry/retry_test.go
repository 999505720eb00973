package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/work/result"
)

var now = time.Unix(1_000_000, 0)

// shed is an attempt that may be made again.
var shed = Attempt{
	Result:   result.Result{Outcome: result.NotRun, Reason: result.ServerShed},
	Tries:    1,
	Deadline: now.Add(time.Second),
	Service:  50 * time.Millisecond,
}

func TestEachReason(t *testing.T) {
	for want, change := range map[Why]func(*Attempt){
		HasRun:      func(a *Attempt) { a.Result.Outcome = result.Ran },
		NotSafe:     func(a *Attempt) { a.Result.Outcome = result.Unknown },
		OtherLayer:  func(a *Attempt) { a.Placed = true },
		NotHere:     func(a *Attempt) { a.Result.Reason = result.NoClass },
		EnoughTries: func(a *Attempt) { a.Tries = 3 },
		NoTime:      func(a *Attempt) { a.Service = 2 * time.Second },
		ShedThere:   func(*Attempt) {},
		NeverSent:   func(a *Attempt) { a.Result.Reason = result.ServerDown },
		Left:        func(a *Attempt) { a.Result.Reason = result.LeavingServer },
		SafeToRerun: func(a *Attempt) { a.Result.Outcome, a.Idempotent = result.Unknown, true },
	} {
		a := shed
		change(&a)
		assert.Equal(t, New(Default).Decide(now, a).Why, want)
	}
}

// After an outage every request of a second is refused once and would be tried
// three times. The servers see a tenth more than the fresh work, not three times as much.
func TestRetriesStayAShareOfFreshWork(t *testing.T) {
	b, retries := New(Default), 0
	for range 10_000 {
		b.Fresh()
		a := shed
		for ; b.Decide(now, a).Retry; a.Tries++ {
			retries++
		}
	}
	assert.Equal(t, retries, 1009)
	assert.Equal(t, b.Decide(now, shed).Why, NoBudget)
}

// Whatever the attempt: what ran, or may have run and must not run twice, is never tried again.
func TestNeverRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Attempt{
			Result:     result.Result{Outcome: rapid.SampledFrom([]result.Outcome{result.Unknown, result.Ran, result.NotRun}).Draw(t, "outcome")},
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Placed:     rapid.Bool().Draw(t, "placed"),
			Tries:      rapid.IntRange(1, 4).Draw(t, "tries"),
			Deadline:   now.Add(time.Second),
		}
		if New(Default).Decide(now, a).Retry {
			assert.Assert(t, a.Result.Outcome == result.NotRun || a.Result.Outcome == result.Unknown && a.Idempotent)
			assert.Assert(t, !a.Placed)
		}
	})
}
