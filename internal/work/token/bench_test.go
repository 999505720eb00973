package token

import (
	"testing"
	"time"
)

// BenchmarkKey measures the cost of the key that is sent with each answer, and of opening one.
func BenchmarkKey(b *testing.B) {
	r := ring(b, "tracing-core", secretA)
	o := owner(3, 1)
	b.Run("seal", func(b *testing.B) {
		for b.Loop() {
			r.Seal(o.Issue(start.Add(time.Second), 7))
		}
	})
	text := r.Seal(o.Issue(start.Add(time.Second), 7))
	b.Run("open", func(b *testing.B) {
		for b.Loop() {
			if _, err := r.Open(text); err != nil {
				b.Fatal(err)
			}
		}
	})
}
