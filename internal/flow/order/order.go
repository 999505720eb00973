// Package order defines the order of the platform's changes.
//
// The platform numbers its changes with one counter, which only rises, with one exception: its store may be
// restored from an older copy. It then assigns numbers a second time, and announces this by an era that is
// one higher than before. Numbers alone are therefore no order: a process that knows number 19 of one era
// would take number 16 of the next era for an older change. A Revision holds both era and number, and the
// greater Revision is always the later change.
//
// The package does not interpret changes.
//
// # Usage
//
//	r := order.At(era, number)
//	if r > known { ... }
package order

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// Revision is the position of a change among all changes of the platform: its era, then its number. Revisions
// are compared with < and >. The zero Revision precedes all changes.
type Revision uint64

const (
	numberBits = 48
	// MaxNumber is the highest number that a Revision holds. It suffices for a change each microsecond for
	// nine years.
	MaxNumber = 1<<numberBits - 1
)

// At returns the revision of a change from its era and its number, which is at most MaxNumber.
func At(era uint16, number uint64) Revision {
	return Revision(uint64(era)<<numberBits | number&MaxNumber)
}

// ParseEra parses an era as a platform sends it. An empty text, from a platform without eras, is era 0.
func ParseEra(text string) (era uint16, err error) {
	defer func() { err = errors.Wrap(err, "era") }()
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 16)
	return uint16(n), err
}

// Era returns the era in which the platform assigned the number.
func (r Revision) Era() uint16 { return uint16(r >> numberBits) }

// Number returns the platform's number of the change, which is unique within its era.
func (r Revision) Number() uint64 { return uint64(r) & MaxNumber }

// String returns the era and the number, such as "2.16". For era 0, that of a platform without eras, it
// returns the number alone.
func (r Revision) String() string {
	if r.Era() == 0 {
		return strconv.FormatUint(r.Number(), 10)
	}
	return strconv.Itoa(int(r.Era())) + "." + strconv.FormatUint(r.Number(), 10)
}
