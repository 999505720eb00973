package msgs

import (
	"encoding/binary"
	"time"
)

// NumWaits is the number of priorities for which an estimate holds a wait. The last one stands for all lower
// priorities.
const NumWaits = 4

// Estimate holds the times that an agent expects for a new flow at its server. The zero value means unknown: the agent
// has no estimate, or runs an older version that sends none.
type Estimate struct {
	Service uint16          // time the server takes for a request, in units of estimateServiceUnit; 0: unknown
	Waits   [NumWaits]uint8 // by priority: time until the server receives a new flow, in units of estimateWaitUnit
}

const (
	estimateServiceUnit = 100 * time.Microsecond
	estimateWaitUnit    = 8 * time.Millisecond
	estimateSize        = 2 + NumWaits
)

// NewEstimate returns the estimate for a server that takes service for a request and receives a new flow of
// each priority after the given wait. Times that are too long for the encoding are capped.
func NewEstimate(service time.Duration, waits [NumWaits]time.Duration) (e Estimate) {
	e.Service = uint16(min(max(service, 0)/estimateServiceUnit, 0xffff))
	for i, w := range waits {
		e.Waits[i] = uint8(min(max(w, 0)/estimateWaitUnit, 0xff))
	}
	return e
}

// ServiceTime returns the time the server takes for a request, or 0 if it is unknown.
func (e Estimate) ServiceTime() time.Duration { return time.Duration(e.Service) * estimateServiceUnit }

// Wait returns the time until the server receives a new flow of a priority, 0 being the highest.
func (e Estimate) Wait(priority int) time.Duration {
	return time.Duration(e.Waits[min(max(priority, 0), NumWaits-1)]) * estimateWaitUnit
}

// appendEstimate appends an estimate at the end of a message, where older processes ignore it.
func appendEstimate(b []byte, e Estimate) []byte {
	if e == (Estimate{}) {
		return b
	}
	b = binary.LittleEndian.AppendUint16(b, e.Service)
	return append(b, e.Waits[:]...)
}

// estimateFrom decodes the estimate at the end of a message, if there is one.
func estimateFrom(b []byte) (e Estimate) {
	if len(b) < estimateSize {
		return Estimate{}
	}
	e.Service = binary.LittleEndian.Uint16(b)
	copy(e.Waits[:], b[2:])
	return e
}
