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

// history is what the model remembers of one key without any limit.
type history struct {
	call    Call
	runs    int
	running bool
	notRun  bool // somebody was told "not run"
	body    string
}

// Whatever the order of arrivals, ends, questions and pauses, and however small the
// memory: a key runs at most once, never after "not run" was said of it, and a
// repeat gets the first answer or none.
func TestKeyRunsAtMostOnce(t *testing.T) {
	small := limits
	small.Records = 2
	rapid.Check(t, func(t *rapid.T) {
		m, now, keys := New(small), start, []*history{}
		told := func(h *history, d Decision) {
			switch d.Verdict {
			case Run:
				assert.Assert(t, !h.notRun, "runs after not-run was said")
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
			assert.Assert(t, !h.notRun || h.runs == 0, "not-run was said of a request that ran: %+v", d)
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
			"arrive": func(t *rapid.T) { h := pick(t); told(h, m.Begin(now, h.call)) },
			"ask":    func(t *rapid.T) { h := pick(t); told(h, m.Query(now, h.call.ID, h.call.Until)) },
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

// Story: a caller loses patience and sends its key again while the first try runs.
// The second waits and gets the first one's answer; the server sees one request.
func TestRepeatOfRunningKeyJoins(t *testing.T) {
	m := New(limits)
	assert.Equal(t, m.Begin(start, call("k")).Verdict, Run)
	d := m.Begin(start, call("k"))
	assert.Equal(t, d.Verdict, Join)
	select {
	case <-d.Record.Done():
		t.Fatal("done before the first has ended")
	default:
	}
	m.Finish(start, "k", ran("case 12"))
	<-d.Record.Done()
	assert.Equal(t, string(d.Record.Outcome().Answer.Body), "case 12")
	assert.Equal(t, m.Begin(start, call("k")).Verdict, Known)
}

// Story: a caller mixes up its keys and sends one with another claim. Giving it the
// first claim's answer would show one widow another's case; it is refused.
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

// Story: the memory is full of requests whose callers may still repeat them. New work
// is refused; the oldest outcome is still there, and is dropped only when its time is over.
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

	// An ID that is asked about is barred although there is no room for a record.
	asked := Call{ID: "h", Head: head, Until: start.Add(time.Minute)}
	assert.Equal(t, m.Query(start, asked.ID, asked.Until).Result.Outcome, result.NotRun)

	// "e" was told "not run"; a copy of it that was under way must not run later.
	later := start.Add(15 * time.Second)
	d = m.Begin(later, fresh)
	assert.Equal(t, d.Result, result.Result{Outcome: result.NotRun, Reason: result.KeyExpired})
	assert.Equal(t, m.Begin(later, asked).Result.Outcome, result.NotRun)
	fresh.ID = "f"
	assert.Equal(t, m.Begin(later, fresh).Verdict, Run)
	records, _ := m.Size()
	assert.Equal(t, records, 1)
}

// Story: one caller sends thousands of claims with keys that are all refused, faster than
// their lifetime ends. They take no room from the claims of others, and none of them
// runs when a delayed copy arrives. What runs is still refused by mistake rarely.
func TestRefusalsDoNotFillTheMemory(t *testing.T) {
	l := limits
	l.Records, l.Blocked = 100, 16<<10
	m := New(l)
	for i := range 10_000 {
		id := strconv.Itoa(i)
		if m.Begin(start, call(id)).Verdict == Run { // a few are taken for barred
			m.Finish(start, id, Outcome{Result: result.Result{Outcome: result.NotRun, Reason: result.OverFairShare}})
		}
	}
	records, _ := m.Size()
	assert.Assert(t, records <= 50, "%d records", records)
	mistakes := 0
	for i := range 10_000 {
		d := m.Begin(start, call(strconv.Itoa(i)))
		assert.Assert(t, d.Verdict == Known || d.Result.Outcome == result.NotRun, "%d: %+v", i, d)
		if m.barred.has("fresh" + strconv.Itoa(i)) {
			mistakes++
		}
	}
	assert.Assert(t, mistakes < 200, "%d of 10,000", mistakes)
}

// Story: an upload's receipt is larger than what is kept. The repeat learns that
// the request ran, without the answer. It does not run again.
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

// Story: an agent is frozen for an hour with a request in its socket buffer. It wakes
// and reads it: the deadline is long over, so it does not run, and since a memory of
// that time would be gone, nothing is promised about it.
func TestWokenAfterTheDeadline(t *testing.T) {
	m := New(limits)
	d := m.Begin(start.Add(time.Hour), call("k"))
	assert.Equal(t, d.Result, result.Result{Outcome: result.Unknown, Reason: result.Expired})
	d = m.Begin(start.Add(11*time.Second), call("k"))
	assert.Equal(t, d.Result, result.Result{Outcome: result.NotRun, Reason: result.Expired})
}

// Story: a link breaks with a request still in its buffers. The sender asks on a new
// link, is told "not run" and goes elsewhere; then the old link's bytes are read.
func TestAskedBeforeItArrived(t *testing.T) {
	m := New(limits)
	d := m.Query(start, "h", start.Add(10*time.Second))
	assert.Equal(t, d.Result.Outcome, result.NotRun)
	d = m.Begin(start, Call{ID: "h", Head: head, Until: start.Add(10 * time.Second)})
	assert.Equal(t, d.Verdict, Refused)
	assert.Equal(t, d.Result.Outcome, result.NotRun)
}
