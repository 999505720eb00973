package memo

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/work/result"
)

var (
	start  = time.Unix(1_000_000, 0)
	limits = Limits{Records: 4, Bytes: 64, Answer: 32, Blocked: 64, Margin: 5 * time.Second}
	head   = HeadDigest("POST", "/claim/7")
)

func call(id string) Call {
	return Call{ID: id, Head: head, Until: start.Add(10 * time.Second)}
}

func ran(body string) Outcome {
	return Outcome{Result: result.Result{Outcome: result.Ran}, Answer: &Answer{Status: http.StatusOK, Body: []byte(body)}}
}

// history is the model's unbounded record of one key.
type history struct {
	call    Call
	runs    int
	running bool
	notRun  bool // a caller was told "not run"
	body    string
}

// Checks, for any order of calls, ends, queries and pauses, and with a small store, that a key runs
// at most once and never after "not run" was returned for it, and that a repeat gets the first
// answer or none.
func TestKeyRunsAtMostOnce(t *testing.T) {
	small := limits
	small.Records = 2
	rapid.Check(t, func(t *rapid.T) {
		m, now, keys := New(small), start, []*history{}
		observe := func(h *history, d Decision) {
			switch d.Verdict {
			case Run:
				assert.Assert(t, !h.notRun, "runs after not-run was returned")
				h.runs, h.running = h.runs+1, true
				assert.Equal(t, h.runs, 1, "second run")
			case Join:
				assert.Assert(t, h.running)
			case Known:
				o := d.Record.Outcome()
				h.notRun = h.notRun || o.Result.Outcome == result.NotRun
				if o.Answer != nil {
					assert.Equal(t, string(o.Answer.Body), h.body)
				}
			case Refused:
				h.notRun = h.notRun || d.Result.Outcome == result.NotRun
			}
			assert.Assert(t, !h.notRun || h.runs == 0, "not-run was returned for a request that ran: %+v", d)
		}
		pick := func(t *rapid.T) *history {
			return rapid.SampledFrom(keys).Draw(t, "key")
		}
		issue := func(*rapid.T) {
			id := strconv.Itoa(len(keys))
			keys = append(keys, &history{call: Call{ID: id, Head: head, Until: now.Add(10 * time.Second)}, body: "answer " + id})
		}
		issue(t)
		t.Repeat(map[string]func(*rapid.T){
			"issue":  issue,
			"arrive": func(t *rapid.T) { h := pick(t); observe(h, m.Begin(now, h.call)) },
			"ask":    func(t *rapid.T) { h := pick(t); observe(h, m.Query(now, h.call.ID, h.call.Until)) },
			"end": func(t *rapid.T) {
				if h := pick(t); h.running {
					m.Finish(now, h.call.ID, ran(h.body))
					h.running = false
				}
			},
			"wait":  func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 4).Draw(t, "s")) * time.Second) },
			"pause": func(t *rapid.T) { now = now.Add(time.Hour) },
			"": func(t *rapid.T) {
				records, bytes := m.Size()
				assert.Assert(t, records <= small.Records && bytes <= small.Bytes)
			},
		})
	})
}

// Guards against a second run when a caller gives up waiting and repeats its key while the first
// request runs. The repeat must wait for the first request and get its answer.
func TestRepeatOfRunningKeyJoins(t *testing.T) {
	m := New(limits)
	assert.Equal(t, m.Begin(start, call("k")).Verdict, Run)
	d := m.Begin(start, call("k"))
	assert.Equal(t, d.Verdict, Join)
	select {
	case <-d.Record.Done():
		t.Fatal("Done is closed before the first request has ended")
	default:
	}
	m.Finish(start, "k", ran("case 12"))
	<-d.Record.Done()
	assert.Equal(t, string(d.Record.Outcome().Answer.Body), "case 12")
	assert.Equal(t, m.Begin(start, call("k")).Verdict, Known)
}

// Guards against answering a request with the outcome of another one, when a caller sends a used
// key with a different claim by mistake. The answer would disclose one customer's case to another,
// so the request must be refused.
func TestKeyWithAnotherRequestIsRefused(t *testing.T) {
	m := New(limits)
	m.Begin(start, call("k"))
	other := call("k")
	other.Head = HeadDigest("POST", "/claim/8")
	d := m.Begin(start, other)
	assert.Equal(t, d.Verdict, Refused)
	assert.Equal(t, d.Result, result.Result{Outcome: result.NotRun, Reason: result.KeyReused})

	first, second := Digest{1}, Digest{2}
	o := Outcome{Body: first}
	_, same := o.ForRepeat(second)
	assert.Assert(t, !same)
	_, same = o.ForRepeat(first)
	assert.Assert(t, same)
}

// Guards against evicting outcomes early when the store is full of requests that their callers may
// still repeat. New requests must be refused, and the oldest record must stay until it expires.
func TestFullMemoryRefusesAndForgetsNothing(t *testing.T) {
	m := New(limits)
	for _, id := range []string{"a", "b", "c", "d"} {
		assert.Equal(t, m.Begin(start, call(id)).Verdict, Run)
		m.Finish(start, id, ran(id))
	}
	fresh := call("e")
	fresh.Until = start.Add(time.Minute)
	d := m.Begin(start, fresh)
	assert.Equal(t, d.Result, result.Result{Outcome: result.NotRun, Reason: result.StoreFull})
	assert.Equal(t, m.Begin(start, call("a")).Verdict, Known)

	// A queried ID is blocked even if there is no room for a record.
	asked := Call{ID: "h", Head: head, Until: start.Add(time.Minute)}
	assert.Equal(t, m.Query(start, asked.ID, asked.Until).Result.Outcome, result.NotRun)

	// "e" was refused as not run; a delayed copy of it must not run later.
	later := start.Add(15 * time.Second)
	d = m.Begin(later, fresh)
	assert.Equal(t, d.Result, result.Result{Outcome: result.NotRun, Reason: result.KeyExpired})
	assert.Equal(t, m.Begin(later, asked).Result.Outcome, result.NotRun)
	fresh.ID = "f"
	assert.Equal(t, m.Begin(later, fresh).Verdict, Run)
	records, _ := m.Size()
	assert.Equal(t, records, 1)
}

// Guards against refusals filling the store: one caller sends thousands of claims that are all
// refused, faster than their keys expire. The refusals must not displace the claims of others, and
// none of the refused claims may run when a delayed copy arrives. The rate of false positives must
// stay low.
func TestRefusalsDoNotFillTheMemory(t *testing.T) {
	l := limits
	l.Records, l.Blocked = 100, 16<<10
	m := New(l)
	for i := range 10_000 {
		id := strconv.Itoa(i)
		if m.Begin(start, call(id)).Verdict == Run { // a few are false positives of the filter
			m.Finish(start, id, Outcome{Result: result.Result{Outcome: result.NotRun, Reason: result.OverFairShare}})
		}
	}
	records, _ := m.Size()
	assert.Assert(t, records <= 50, "%d records", records)
	falsePositives := 0
	for i := range 10_000 {
		d := m.Begin(start, call(strconv.Itoa(i)))
		assert.Assert(t, d.Verdict == Known || d.Result.Outcome == result.NotRun, "%d: %+v", i, d)
		if m.blocked.has("fresh" + strconv.Itoa(i)) {
			falsePositives++
		}
	}
	assert.Assert(t, falsePositives < 200, "%d of 10,000", falsePositives)
}

// Guards against a second run when the answer is too large to keep. The repeat must learn that the
// request ran, without the answer.
func TestAnswerTooBigToKeep(t *testing.T) {
	m := New(limits)
	m.Begin(start, call("k"))
	k := NewRecorder(limits.Answer)
	k.Start(http.StatusOK, http.Header{"A": {"b"}})
	_, _ = k.Write(make([]byte, 20))
	_, _ = k.Write(make([]byte, 20))
	assert.Assert(t, k.Answer() == nil)
	m.Finish(start, "k", Outcome{Result: result.Result{Outcome: result.Ran}, Answer: k.Answer()})
	d := m.Begin(start, call("k"))
	assert.Equal(t, d.Verdict, Known)
	assert.Equal(t, d.Record.Outcome().Result, result.Result{Outcome: result.Ran, Reason: result.AnswerNotKept})
}

// Guards against running an expired request: an agent is paused for an hour with a request in its
// socket buffer, and reads the request when it resumes. The request must not run. Its record would
// have been evicted by then, so the outcome is unknown rather than "not run".
func TestWokenAfterTheDeadline(t *testing.T) {
	m := New(limits)
	d := m.Begin(start.Add(time.Hour), call("k"))
	assert.Equal(t, d.Result, result.Result{Outcome: result.Unknown, Reason: result.Expired})
	d = m.Begin(start.Add(11*time.Second), call("k"))
	assert.Equal(t, d.Result, result.Result{Outcome: result.NotRun, Reason: result.Expired})
}

// Guards against running a request after "not run" was returned for it. A link breaks with a
// request in its buffers, the sender queries the ID on a new link, gets "not run" and places the
// request elsewhere. The receiver then reads the request from the old link.
func TestAskedBeforeItArrived(t *testing.T) {
	m := New(limits)
	d := m.Query(start, "h", start.Add(10*time.Second))
	assert.Equal(t, d.Result.Outcome, result.NotRun)
	d = m.Begin(start, Call{ID: "h", Head: head, Until: start.Add(10 * time.Second)})
	assert.Equal(t, d.Verdict, Refused)
	assert.Equal(t, d.Result.Outcome, result.NotRun)
}
