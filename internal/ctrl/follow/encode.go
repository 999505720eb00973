package follow

import (
	"encoding/json"

	"github.com/VictoriaMetrics/metrics"
	"github.com/klauspost/compress/zstd"
	"storj.io/drpc"
)

// encoding encodes messages as compressed JSON, which needs no generated code.
//
// As plain JSON, a change of a large configuration or a restart of all processes exceeds the bandwidth of the
// smallest links; compressed messages are a tenth of the size.
type encoding struct{}

const (
	// windowSize is the compression window in bytes. Names and services repeat within a few routes, and a
	// small window saves memory in each process.
	windowSize = 256 << 10
	// maxDecodedSize bounds the size of a decompressed message, in bytes: 60 times the size of the largest known configuration.
	maxDecodedSize = 16 << 20
)

var (
	encoder = must(zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(windowSize), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true)))
	decoder = must(zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxDecodedSize), zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true)))
)

// must panics if an error occurs. It is used for constant options, for which an error is a bug in this file.
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

// servedBytes counts the bytes of all responses to fetches of peers.
var servedBytes = metrics.NewCounter(`mangowinch_given_bytes_total`)

// countingEncoding is the encoding of responses to peers; it counts their bytes.
type countingEncoding struct{ encoding }

// Marshal encodes a response.
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
