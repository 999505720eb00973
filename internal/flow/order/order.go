// Package order says which of two things that the platform told is the later one.
//
// The platform numbers its changes from one counter, which only rises, with one exception: its store may be brought back
// from an older copy. It then gives numbers out a second time, and tells so by an era that is one higher than before. Numbers alone
// don't order what was told: whoever knows number 19 of one era would take number 16 of the next one for old. A Revision
// holds both, and the greater one is always the later one.
//
// The package says nothing on what a change means.
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

// Revision is the place of a change among all that the platform has told: its era, then its number. It is compared
// by < and >, and 0 is before everything.
type Revision uint64

const (
	numberBits = 48
	// MaxNumber is the highest number that a Revision holds: a change each microsecond for nine years.
	MaxNumber = 1<<numberBits - 1
)

// At returns the revision of a change with a number up to MaxNumber.
func At(era uint16, number uint64) Revision {
	return Revision(uint64(era)<<numberBits | number&MaxNumber)
}

// ParseEra reads an era as a platform tells it. One that tells none is in era 0.
func ParseEra(text string) (era uint16, err error) {
	defer func() { err = errors.Wrap(err, "era") }()
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 16)
	return uint16(n), err
}

// Era is the era in which the number was given.
func (r Revision) Era() uint16 { return uint16(r >> numberBits) }

// Number is the platform's number, which is unique within its era.
func (r Revision) Number() uint64 { return uint64(r) & MaxNumber }

// String returns era and number, such as "2.16"; the number alone in era 0, that of a platform that has no eras.
func (r Revision) String() string {
	if r.Era() == 0 {
		return strconv.FormatUint(r.Number(), 10)
	}
	return strconv.Itoa(int(r.Era())) + "." + strconv.FormatUint(r.Number(), 10)
}
