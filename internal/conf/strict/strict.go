// Package strict reads INI text and lists everything that is wrong with it.
//
// Service documents and settings follow the same rules: a section or key that
// nobody asks for is a fault, and so is whatever stands twice. The fleet follows a
// document within seconds, so a slip of the pen has to stop at the check, and a
// person who mends a file has to see all its faults at once rather than one a try.
//
// The package knows no section and no key of its own. What is known follows from
// what is asked: whatever was never asked for is unknown.
//
// # Usage
//
//	f := strict.Read("tracing-core.ini", text)
//	s := f.One("service")
//	name := s.Word("name")
//	for _, s := range f.Each("server") {
//		weight := s.Integer("weight", 1, 1000)
//	}
//	err := f.Err() // nil, or Faults
package strict

import (
	"regexp"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// maxText is the size in bytes over which a text is refused unread. The platform
// holds values up to a megabyte, so nothing larger can be a document.
const maxText = 1 << 20

var word = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// File is a text being read. It is for one goroutine.
type File struct {
	name     string
	sections []*Section
	faults   Faults
}

// Section is one section of a file, such as [service] or [server s1].
type Section struct {
	Kind string // first word of the heading
	Name string // second word, "" if there is none

	file    *File
	place   int // from 1, from top to bottom; 0 stands for the file as a whole
	claimed bool
	absent  bool // stands for a section that is not there; its keys are not reported
	values  map[string]string
	keys    []string // in the order of the file
	asked   map[string]bool
}

// Read parses text. File is the name that faults carry. What is wrong with the
// text itself is reported by Err, like every other fault.
func Read(file string, text []byte) *File {
	f := &File{name: file}
	if len(text) > maxText {
		f.add(nil, "", Invalid, "larger than a megabyte")
		return f
	}
	options := ini.LoadOptions{
		IgnoreContinuation:         true,
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
		ChildSectionDelimiter:      "\x00", // no inheritance between sections
		KeyValueDelimiters:         "=",
	}
	parsed, err := ini.LoadSources(options, text)
	if err != nil {
		f.add(nil, "", Syntax, strings.TrimSpace(err.Error()))
		// The rest is still read, so that its faults are listed too.
		options.SkipUnrecognizableLines = true
		if parsed, err = ini.LoadSources(options, text); err != nil {
			return f
		}
	}
	for _, s := range parsed.Sections() {
		f.take(s)
	}
	return f
}

// take copies one parsed section and reports what stands twice in it.
func (f *File) take(from *ini.Section) {
	if from.Name() == ini.DefaultSection && len(from.Keys()) == 0 {
		return
	}
	kind, name, _ := strings.Cut(from.Name(), " ")
	s := &Section{
		Kind:   kind,
		Name:   strings.TrimSpace(name),
		file:   f,
		place:  len(f.sections) + 1,
		values: map[string]string{},
		asked:  map[string]bool{},
	}
	for _, k := range from.Keys() {
		s.keys = append(s.keys, k.Name())
		s.values[k.Name()] = k.Value()
		if len(k.ValueWithShadows()) > 1 {
			f.add(s, k.Name(), Duplicate, "")
		}
	}
	f.sections = append(f.sections, s)
}

// One returns the only section of a kind that has no name. If there is none the
// fault is reported and the section that is returned reports nothing more.
func (f *File) One(kind string) *Section {
	if s, ok := f.Maybe(kind); ok {
		return s
	}
	f.add(&Section{Kind: kind}, "", Missing, "")
	return &Section{Kind: kind, file: f, absent: true, asked: map[string]bool{}}
}

// Maybe is One for a section that need not be there.
func (f *File) Maybe(kind string) (*Section, bool) {
	var first *Section
	for _, s := range f.sections {
		if s.Kind != kind {
			continue
		}
		s.claimed = true
		if s.Name != "" {
			f.add(s, "", Invalid, "this section takes no name")
		}
		if first != nil {
			f.add(s, "", Duplicate, "")
			s.askAll()
			continue
		}
		first = s
	}
	return first, first != nil
}

// Each returns the named sections of a kind in the order of the file. Names that
// are no single word or stand twice are reported.
func (f *File) Each(kind string) (found []*Section) {
	seen := map[string]bool{}
	for _, s := range f.sections {
		if s.Kind != kind {
			continue
		}
		s.claimed = true
		switch {
		case !word.MatchString(s.Name):
			f.add(s, "", Invalid, "the name must be one word of a-z, 0-9 and '-'")
		case seen[s.Name]:
			f.add(s, "", Duplicate, "")
		}
		seen[s.Name] = true
		found = append(found, s)
	}
	return found
}

// Err returns nil, or Faults with everything that is wrong, unknown sections and
// keys included. It is called once everything has been asked for.
func (f *File) Err() error {
	for _, s := range f.sections {
		if !s.claimed {
			f.add(s, "", Unknown, "")
			continue
		}
		for _, k := range s.keys {
			if !s.asked[k] {
				f.add(s, k, Unknown, "")
			}
		}
	}
	if len(f.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(f.faults, func(a, b Fault) int { return a.place - b.place })
	return f.faults
}

func (f *File) add(s *Section, key string, problem Problem, detail string) {
	fault := Fault{File: f.name, Key: key, Problem: problem, Detail: detail}
	if s != nil {
		fault.Section = s.String()
		fault.place = s.place
	}
	f.faults = append(f.faults, fault)
}

// Fault reports a fault with the file as a whole.
func (f *File) Fault(problem Problem, detail string) {
	f.add(nil, "", problem, detail)
}

// Fault reports a fault that the caller found with a key, or with the section as
// a whole if key is "".
func (s *Section) Fault(key string, problem Problem, detail string) {
	if !s.absent {
		s.file.add(s, key, problem, detail)
	}
}

// String returns the heading without its brackets.
func (s *Section) String() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + " " + s.Name
}

func (s *Section) askAll() {
	for _, k := range s.keys {
		s.asked[k] = true
	}
}
