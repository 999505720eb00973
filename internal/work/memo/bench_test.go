package memo

import (
	"encoding/binary"
	"net/http"
	"runtime"
	"strconv"
	"testing"
	"time"

	"mangowinch/internal/work/result"
)

// BenchmarkRecord gives the time to begin and finish a request, and the memory that
// its record takes with an answer of 200 bytes, ID and header included.
func BenchmarkRecord(b *testing.B) {
	m := New(Limits{Records: b.N, Bytes: 1 << 40, Answer: 1 << 10})
	body := make([]byte, 200)
	before := heapBytes()
	for i := range b.N {
		id := make([]byte, 42) // as long as a key's content
		binary.BigEndian.PutUint64(id, uint64(i))
		c := Call{ID: string(id), Head: head, Until: start.Add(time.Hour)}
		m.Begin(start, c)
		k := NewRecorder(1 << 10)
		k.Start(http.StatusOK, http.Header{"Content-Type": {"text/plain"}})
		_, _ = k.Write(body)
		m.Finish(start, c.ID, Outcome{Result: result.Result{Outcome: result.Ran}, Answer: k.Answer()})
	}
	b.StopTimer()
	b.ReportMetric((heapBytes()-before)/float64(b.N), "heap-B/record")
	runtime.KeepAlive(m)
}

func heapBytes() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// BenchmarkBlock gives the cost of a refusal that is kept as an ID only.
func BenchmarkBlock(b *testing.B) {
	m := New(Limits{Blocked: 1 << 20})
	id := make([]byte, 42)
	for i := 0; b.Loop(); i++ {
		binary.BigEndian.PutUint64(id, uint64(i))
		m.Begin(start, Call{ID: string(id), Head: head, Until: start.Add(time.Hour)})
	}
}

// BenchmarkFalsePositives gives how many of 1,000 fresh IDs are taken for barred after 800,000
// refusals.
func BenchmarkFalsePositives(b *testing.B) {
	for b.Loop() {
		f := newBarred(1 << 20)
		for i := range 800_000 {
			f.add(start, strconv.Itoa(i), start.Add(time.Hour))
		}
		mistakes := 0
		for i := range 100_000 {
			if f.has("fresh" + strconv.Itoa(i)) {
				mistakes++
			}
		}
		b.ReportMetric(float64(mistakes)/100, "mistakes/1000")
	}
}
