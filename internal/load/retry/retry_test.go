package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/work/result"
)

var now = time.Unix(1_000_000, 0)

// shedAttempt is an attempt that may be retried.
var shedAttempt = Attempt{
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
		Unsent:        func(a *Attempt) { a.Result.Reason = result.ServerUnreachable },
		ServerLeaving: func(a *Attempt) { a.Result.Reason = result.ServerLeaving },
		Idempotent:    func(a *Attempt) { a.Result.Outcome, a.Idempotent = result.Unknown, true },
	} {
		a := shedAttempt
		change(&a)
		assert.Equal(t, New(Default).Decide(now, a).Reason, want)
	}
}

// Guards against a retry storm after an outage: if every request is refused once and could be tried three
// times, the servers receive a tenth more than the fresh requests, not three times as many.
func TestRetriesStayAShareOfFreshWork(t *testing.T) {
	b, retries := New(Default), 0
	for range 10_000 {
		b.Fresh()
		a := shedAttempt
		for ; b.Decide(now, a).Retry; a.Tries++ {
			retries++
		}
	}
	assert.Equal(t, retries, 1009)
	assert.Equal(t, b.Decide(now, shedAttempt).Reason, NoBudget)
}

// A request that ran, or may have run and must not run twice, is never retried.
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
