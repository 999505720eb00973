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
	Result:      result.Result{Outcome: result.NotRun, Reason: result.ServerShed},
	Tries:       1,
	Deadline:    now.Add(time.Second),
	ServiceTime: 50 * time.Millisecond,
}

func TestEachReason(t *testing.T) {
	for want, change := range map[Reason]func(*Attempt){
		Ran:           func(a *Attempt) { a.Result.Outcome = result.Ran },
		Unsafe:        func(a *Attempt) { a.Result.Outcome = result.Unknown },
		OtherLayer:    func(a *Attempt) { a.OtherLayer = true },
		FinalReason:   func(a *Attempt) { a.Result.Reason = result.NoClass },
		MaxTries:      func(a *Attempt) { a.Tries = 3 },
		TooLate:       func(a *Attempt) { a.ServiceTime = 2 * time.Second },
		Shed:          func(*Attempt) {},
		Unsent:        func(a *Attempt) { a.Result.Reason = result.ServerDown },
		ServerLeaving: func(a *Attempt) { a.Result.Reason = result.LeavingServer },
		Idempotent:    func(a *Attempt) { a.Result.Outcome, a.Idempotent = result.Unknown, true },
	} {
		a := shed
		change(&a)
		assert.Equal(t, New(Default).Decide(now, a).Reason, want)
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
	assert.Equal(t, b.Decide(now, shed).Reason, NoBudget)
}

// Whatever the attempt: what ran, or may have run and must not run twice, is never tried again.
func TestNeverRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Attempt{
			Result:     result.Result{Outcome: rapid.SampledFrom([]result.Outcome{result.Unknown, result.Ran, result.NotRun}).Draw(t, "outcome")},
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
			OtherLayer: rapid.Bool().Draw(t, "placed"),
			Tries:      rapid.IntRange(1, 4).Draw(t, "tries"),
			Deadline:   now.Add(time.Second),
		}
		if New(Default).Decide(now, a).Retry {
			assert.Assert(t, a.Result.Outcome == result.NotRun || a.Result.Outcome == result.Unknown && a.Idempotent)
			assert.Assert(t, !a.OtherLayer)
		}
	})
}
