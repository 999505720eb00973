// Package memo stores the outcomes of requests, so that a repeat of a request gets the outcome of
// the first one and never runs a second time.
//
// A record is kept from the moment a request may run until a margin after its deadline, or after
// the end of its key's lifetime. Memory is bounded: when the store is full, new requests are
// refused and no record is evicted early. An answer that is too large to keep is dropped, but the
// fact that the request ran is not.
//
// "Not run" is final for an ID. The number of requests that ran is bounded by the slots of the
// server, but refusals may arrive by the thousand per second. They must neither displace other
// records nor be forgotten. A store that is more than half full therefore keeps only the ID of a
// refused request, in a few bits of a Bloom filter. The same holds for requests that the store
// itself refuses.
//
// The package runs no requests and reads no clock: the caller passes the time, always from the
// monotonic clock of the same process. The package does not determine the owner of a request
// (package token) and does not transfer requests (package hand).
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

// Limits bounds a Store. A limit of zero means that nothing fits.
type Limits struct {
	Records int           // maximum number of requests recorded
	Bytes   int           // maximum total size of the kept answers
	Answer  int           // maximum size in bytes of one kept answer
	Blocked int           // size in bytes of each of the two generations of the filter of blocked IDs
	Margin  time.Duration // how long a record outlives its deadline, for repeats still in transit
}

// DefaultLimits suits one agent: 5 slots held for 20 ms per request complete 250 requests per
// second, which is 31,250 in a key's lifetime of 2 minutes plus the margin. With 1 MB per
// generation, 6 in 1,000 new IDs are refused as false positives after 800,000 refusals
// (BenchmarkFalsePositives).
var DefaultLimits = Limits{Records: 32768, Bytes: 32 << 20, Answer: 64 << 10, Blocked: 1 << 20, Margin: 5 * time.Second}

// Call is one arrival of a request, either the first or a repeat.
type Call struct {
	ID    string
	Head  Digest    // of method and path; a key that arrives with another head is refused
	Until time.Time // deadline of the request or end of its key's lifetime
}

// Verdict is what to do with a call.
type Verdict uint8

// The verdicts. The zero value refuses the call.
const (
	Refused Verdict = iota // answer with Decision.Result
	Run                    // first call of its ID: run the request and call Finish
	Join                   // the first call is running: wait for Decision.Record
	Known                  // the first call has ended: answer with Decision.Record
)

// Decision is the result of Begin and Query.
type Decision struct {
	Verdict Verdict
	Record  *Record       // for Join and Known
	Result  result.Result // for Refused
}

// Outcome is the recorded end of a request.
type Outcome struct {
	Result result.Result
	Answer *Answer // nil if there was none or it was too large to keep
	Body   Digest  // of the whole request body; zero if the body was not read to its end
}

// Record is the state of one ID.
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

// Outcome returns the outcome. It is valid once Done is closed and must not be modified.
func (r *Record) Outcome() Outcome { return r.outcome }

// Store holds the outcomes of requests. It is safe for concurrent use.
type Store struct {
	limits Limits

	mu       sync.Mutex
	records  map[string]*Record
	expiring expiryHeap
	bytes    int
	blocked  *blockFilter
}

// New returns an empty store.
func New(l Limits) *Store {
	return &Store{limits: l, records: map[string]*Record{}, blocked: newBlockFilter(l.Blocked)}
}

// Begin decides about a call. Of all calls with the same ID, exactly one gets the verdict Run.
func (s *Store) Begin(now time.Time, c Call) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[c.ID]; ok {
		if r.head != c.Head {
			return refuse(result.NotRun, result.KeyReused)
		}
		return existing(r)
	}
	s.evict(now)
	// A process that was paused may resume with requests that have expired. Within the margin a
	// record would still exist, so a request without one never ran. After the margin, whether it
	// ran is unknown.
	if !now.Before(c.Until.Add(s.limits.Margin)) {
		return refuse(result.Unknown, result.Expired)
	}
	if !now.Before(c.Until) {
		return refuse(result.NotRun, result.Expired)
	}
	if s.blocked.has(c.ID) {
		return refuse(result.NotRun, result.KeyExpired)
	}
	if s.full() {
		// A delayed copy must not run after this refusal.
		s.block(now, c.ID, c.Until)
		return refuse(result.NotRun, result.StoreFull)
	}
	s.records[c.ID] = &Record{id: c.ID, head: c.Head, until: c.Until, done: make(chan struct{})}
	return Decision{Verdict: Run}
}

// Query returns the state of an ID. An ID that has not arrived is blocked: a copy that is still in
// the buffers of a broken link must not run after Query has returned "not run".
func (s *Store) Query(now time.Time, id string, until time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[id]; ok {
		return existing(r)
	}
	s.evict(now)
	if !now.Before(until.Add(s.limits.Margin)) {
		return refuse(result.Unknown, result.Expired)
	}
	s.block(now, id, until)
	return refuse(result.NotRun, result.PeerUnreachable)
}

// block adds an ID to the filter of IDs that must not run.
func (s *Store) block(now time.Time, id string, until time.Time) {
	s.blocked.add(now, id, until.Add(s.limits.Margin))
}

// Finish records the end of a request that Begin allowed to run. Only the first call for an ID
// counts.
func (s *Store) Finish(now time.Time, id string, o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[id]; ok && !r.ended {
		s.complete(now, r, o)
	}
}

// AnswerLimit returns the size in bytes beyond which an answer is not kept.
func (s *Store) AnswerLimit() int { return s.limits.Answer }

// Size returns the number of records and the total size in bytes of the kept answers.
func (s *Store) Size() (records, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records), s.bytes
}

func (s *Store) full() bool {
	return len(s.records) >= s.limits.Records || s.bytes >= s.limits.Bytes
}

func (s *Store) complete(now time.Time, r *Record, o Outcome) {
	if size := o.Answer.size(); size > s.limits.Answer || s.bytes+size > s.limits.Bytes {
		o.Answer = nil
	}
	if o.Result.Outcome == result.Ran && o.Answer == nil {
		o.Result.Reason = result.AnswerNotKept
	}
	r.outcome, r.ended = o, true
	if r.until.Before(now) {
		r.until = now // it ran past its deadline: repeats may still be in transit
	}
	close(r.done)
	if o.Result.Outcome == result.NotRun && len(s.records) > s.limits.Records/2 {
		s.block(now, r.id, r.until)
		delete(s.records, r.id)
		return
	}
	s.bytes += o.Answer.size()
	heap.Push(&s.expiring, r)
}

// evict removes the records whose deadline and margin have passed. Running requests are never
// removed.
func (s *Store) evict(now time.Time) {
	for len(s.expiring) > 0 && !now.Before(s.expiring[0].until.Add(s.limits.Margin)) {
		r := heap.Pop(&s.expiring).(*Record)
		s.bytes -= r.outcome.Answer.size()
		delete(s.records, r.id)
	}
}

func existing(r *Record) Decision {
	if r.ended {
		return Decision{Verdict: Known, Record: r}
	}
	return Decision{Verdict: Join, Record: r}
}

func refuse(o result.Outcome, r result.Reason) Decision {
	return Decision{Result: result.Result{Outcome: o, Reason: r}}
}

// expiryHeap is a heap of ended records, ordered by expiry.
type expiryHeap []*Record

func (e expiryHeap) Len() int           { return len(e) }
func (e expiryHeap) Less(i, j int) bool { return e[i].until.Before(e[j].until) }
func (e expiryHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *expiryHeap) Push(x any)        { *e = append(*e, x.(*Record)) }
func (e *expiryHeap) Pop() any {
	last := len(*e) - 1
	r := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return r
}
