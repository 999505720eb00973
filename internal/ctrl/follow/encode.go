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
	// window is how far back compression looks: names and services repeat within a few routes, and a
	// small window keeps the memory of each process small.
	window = 256 << 10
	// mostDecoded bounds what a message may grow to, in bytes: 60 times the largest configuration seen.
	mostDecoded = 16 << 20
)

var (
	packer   = must(zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(window), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true)))
	unpacker = must(zstd.NewReader(nil, zstd.WithDecoderMaxMemory(mostDecoded), zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true)))
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
	return packer.EncodeAll(text, nil), nil
}

// givenBytes counts what peers have fetched from this process.
var givenBytes = metrics.NewCounter(`mangowinch_given_bytes_total`)

// counting is the encoding of answers to peers, whose bytes are counted.
type counting struct{ encoding }

// Marshal encodes an answer.
func (c counting) Marshal(m drpc.Message) ([]byte, error) {
	b, err := c.encoding.Marshal(m)
	givenBytes.Add(len(b))
	return b, err
}

// Unmarshal decodes a message.
func (encoding) Unmarshal(b []byte, m drpc.Message) error {
	text, err := unpacker.DecodeAll(b, nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, m)
}
