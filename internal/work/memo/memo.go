// Package memo remembers what became of requests, so that a repeat of one gets the
// first outcome and never runs a second time.
//
// A record is kept from the moment a request may run until its deadline (or its
// key's lifetime) is over and a margin has passed. Memory is bounded: when it is
// full new requests are refused, and nothing is forgotten early. An answer that is
// too big to keep is dropped, the fact that the request ran is not.
//
// "Not run" is final for an ID. Requests that ran are as many as the server had slots
// for; refused ones may come by the thousand a second, and must neither push out the
// others nor be forgotten. So in a memory that is half full, and for refusals by the
// memory itself, only the ID is kept, in a few bits.
//
// The package runs nothing and knows no clock: the caller hands in the time, always
// from the same process's monotonic clock. It does not decide who owns a request
// (package token) and carries none (package hand).
//
// # Usage
//
//	switch d := m.Begin(now, call); d.Verdict {
//	case memo.Run: // run it, then m.Finish(now, call.ID, outcome), also after a panic
//	case memo.Join: // wait for d.Record.Done(), then as Known
//	case memo.Known: // answer with d.Record.Outcome()
//	case memo.Refused: // answer with d.Result
//	}
package memo

import (
	"container/heap"
	"sync"
	"time"

	"mangowinch/internal/work/result"
)

// Limits bound a memory. The zero value of a field means that nothing fits.
type Limits struct {
	Records int           // requests remembered at a time
	Bytes   int           // bytes of all answers kept
	Answer  int           // bytes of one answer kept
	Blocked int           // bytes for each of two generations of IDs that may not run any more
	Margin  time.Duration // kept beyond the deadline, for repeats that were on their way
}

// DefaultLimits suit one agent: 5 slots that are held for 20 ms a request end 250 of
// them a second, 31,250 in a key's lifetime of 2 minutes and the margin. With 1 MB, 6
// of a thousand fresh IDs are refused by mistake after 800,000 refusals (BenchmarkMistakes).
var DefaultLimits = Limits{Records: 32768, Bytes: 32 << 20, Answer: 64 << 10, Blocked: 1 << 20, Margin: 5 * time.Second}

// Call is one arrival of a request.
type Call struct {
	ID    string
	Head  Digest    // of method and path; a key with another head is refused
	Until time.Time // deadline of the request or end of its key's lifetime
}

// Verdict says what to do with a call.
type Verdict uint8

// The verdicts. The zero value refuses.
const (
	Refused Verdict = iota // answer with Decision.Result
	Run                    // the first of its ID: run it and call Finish
	Join                   // the first is running: wait for Decision.Record
	Known                  // the first has ended: answer with Decision.Record
)

// Decision is the answer to Begin and Ask.
type Decision struct {
	Verdict Verdict
	Record  *Record       // for Join and Known
	Result  result.Result // for Refused
}

// Outcome is the end of a request as it is remembered.
type Outcome struct {
	Result result.Result
	Answer *Answer // nil if there was none or it was too big to keep
	Body   Digest  // of the whole request body; zero if it was not read to its end
}

// Record is what is remembered of one ID.
type Record struct {
	id      string
	head    Digest
	until   time.Time
	done    chan struct{}
	ended   bool
	outcome Outcome
}

// Done is closed once the request has ended.
func (r *Record) Done() <-chan struct{} { return r.done }

// Outcome is valid once Done is closed. Whoever gets it must not change it.
func (r *Record) Outcome() Outcome { return r.outcome }

// Store is a memory of outcomes. It may be used from several goroutines.
type Store struct {
	limits Limits

	mu      sync.Mutex
	records map[string]*Record
	ended   expiries
	bytes   int
	barred  *barred
}

// New gives an empty memory.
func New(l Limits) *Store {
	return &Store{limits: l, records: map[string]*Record{}, barred: newBarred(l.Blocked)}
}

// Begin decides about an arrival: exactly one call of an ID is told to run.
func (m *Store) Begin(now time.Time, c Call) Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.records[c.ID]; ok {
		if r.head != c.Head {
			return refuse(result.NotRun, result.KeyReused)
		}
		return found(r)
	}
	m.forget(now)
	// A process that was paused wakes with requests whose time is over. Within the
	// margin a record would still be here, so it never ran; after it nobody can tell.
	if !now.Before(c.Until.Add(m.limits.Margin)) {
		return refuse(result.Unknown, result.Expired)
	}
	if !now.Before(c.Until) {
		return refuse(result.NotRun, result.Expired)
	}
	if m.barred.has(c.ID) {
		return refuse(result.NotRun, result.KeyExpired)
	}
	if m.full() {
		// A copy that was delayed on its way must not run after this was said.
		m.bar(now, c.ID, c.Until)
		return refuse(result.NotRun, result.StoreFull)
	}
	m.records[c.ID] = &Record{id: c.ID, head: c.Head, until: c.Until, done: make(chan struct{})}
	return Decision{Verdict: Run}
}

// Query tells what became of an ID. One that never arrived is barred: a copy that
// still lies in a broken link's buffers must not run after "not run" was said here.
func (m *Store) Query(now time.Time, id string, until time.Time) Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.records[id]; ok {
		return found(r)
	}
	m.forget(now)
	if !now.Before(until.Add(m.limits.Margin)) {
		return refuse(result.Unknown, result.Expired)
	}
	m.bar(now, id, until)
	return refuse(result.NotRun, result.PeerUnreachable)
}

func (m *Store) bar(now time.Time, id string, until time.Time) {
	m.barred.add(now, id, until.Add(m.limits.Margin))
}

// Finish records the end of a request that Begin let run. The first end counts.
func (m *Store) Finish(now time.Time, id string, o Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.records[id]; ok && !r.ended {
		m.end(now, r, o)
	}
}

// AnswerLimit is the size in bytes beyond which an answer is not kept.
func (m *Store) AnswerLimit() int { return m.limits.Answer }

// Size gives how many records are held and the bytes of the answers kept.
func (m *Store) Size() (records, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.records), m.bytes
}

func (m *Store) full() bool {
	return len(m.records) >= m.limits.Records || m.bytes >= m.limits.Bytes
}

func (m *Store) end(now time.Time, r *Record, o Outcome) {
	if size := o.Answer.size(); size > m.limits.Answer || m.bytes+size > m.limits.Bytes {
		o.Answer = nil
	}
	if o.Result.Outcome == result.Ran && o.Answer == nil {
		o.Result.Reason = result.AnswerNotKept
	}
	r.outcome, r.ended = o, true
	if r.until.Before(now) {
		r.until = now // it ran beyond its deadline: repeats may be on their way still
	}
	close(r.done)
	if o.Result.Outcome == result.NotRun && len(m.records) > m.limits.Records/2 {
		m.bar(now, r.id, r.until)
		delete(m.records, r.id)
		return
	}
	m.bytes += o.Answer.size()
	heap.Push(&m.ended, r)
}

// forget drops records whose time and margin are over. A running one is never among them.
func (m *Store) forget(now time.Time) {
	for len(m.ended) > 0 && !now.Before(m.ended[0].until.Add(m.limits.Margin)) {
		r := heap.Pop(&m.ended).(*Record)
		m.bytes -= r.outcome.Answer.size()
		delete(m.records, r.id)
	}
}

func found(r *Record) Decision {
	if r.ended {
		return Decision{Verdict: Known, Record: r}
	}
	return Decision{Verdict: Join, Record: r}
}

func refuse(o result.Outcome, r result.Reason) Decision {
	return Decision{Result: result.Result{Outcome: o, Reason: r}}
}

// expiries is a heap of ended records, the first to be forgotten on top.
type expiries []*Record

func (e expiries) Len() int           { return len(e) }
func (e expiries) Less(i, j int) bool { return e[i].until.Before(e[j].until) }
func (e expiries) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *expiries) Push(x any)        { *e = append(*e, x.(*Record)) }
func (e *expiries) Pop() any {
	last := len(*e) - 1
	r := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return r
}
