package follow

import (
	"encoding/json"

	"github.com/VictoriaMetrics/metrics"
	"github.com/klauspost/compress/zstd"
	"storj.io/drpc"
)

// encoding is compressed JSON, which needs no generated code.
//
// As plain JSON, a change of a large configuration, or a restart of all processes, puts more on the smallest links than
// they carry; compressed it is a tenth.
type encoding struct{}

const (
	// windowSize is how far back compression looks: names and services repeat within a few routes, and a
	// small window keeps the memory of each process small.
	windowSize = 256 << 10
	// maxDecodedSize bounds what a message may grow to, in bytes: 60 times the largest configuration seen.
	maxDecodedSize = 16 << 20
)

var (
	encoder = must(zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(windowSize), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true)))
	decoder = must(zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxDecodedSize), zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true)))
)

// must is for options that are constants: an error is one of this file.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Marshal encodes a message.
func (encoding) Marshal(m drpc.Message) ([]byte, error) {
	text, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	return encoder.EncodeAll(text, nil), nil
}

// servedBytes counts what peers have fetched from this process.
var servedBytes = metrics.NewCounter(`mangowinch_given_bytes_total`)

// countingEncoding is the encoding of answers to peers, whose bytes are counted.
type countingEncoding struct{ encoding }

// Marshal encodes an answer.
func (c countingEncoding) Marshal(m drpc.Message) ([]byte, error) {
	b, err := c.encoding.Marshal(m)
	servedBytes.Add(len(b))
	return b, err
}

// Unmarshal decodes a message.
func (encoding) Unmarshal(b []byte, m drpc.Message) error {
	text, err := decoder.DecodeAll(b, nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, m)
}
