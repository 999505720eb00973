package docs

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// largeDocument returns the text of a document of about a megabyte, the maximum that the
// platform stores: a service with many servers and many networks of callers.
func largeDocument() []byte {
	var b strings.Builder
	b.WriteString("[service]\nname = large\naddress = 127.0.10.1:4433\ncurrent = k1\n")
	for i := range 2000 {
		fmt.Fprintf(&b, "[server s%d]\nid = %d\nagent = 127.%d.%d.1:7000\ndomain = zg-a\nslots = 4\nconnections = 2000\n", i, i+1, 10+i/250, i%250)
	}
	b.WriteString("[class all]\nkind = lookup\npath = /\nidempotent = no\ndeadline = 1s\nqueue = 8\n")
	for i := 0; b.Len() < largeSize; i++ {
		fmt.Fprintf(&b, "[caller c%d]\nnetworks = 10.%d.%d.0/25, 10.%d.%d.128/25\n", i, i/250%250, i%250, i/250%250, i%250)
	}
	return []byte(b.String())
}

const largeSize = 1_000_000

func BenchmarkParse(b *testing.B) {
	small, err := os.ReadFile("testdata/good.ini")
	assert.NilError(b, err)
	for name, text := range map[string][]byte{"small": small, "megabyte": largeDocument()} {
		b.Run(name, func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for b.Loop() {
				_, err := Parse(name, text)
				assert.NilError(b, err)
			}
		})
	}
}
