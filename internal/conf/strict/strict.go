// Package strict parses INI text and reports all errors in it.
//
// Service documents and settings follow the same rules: a section or key that
// the program does not read is a fault, and so is a repeated one. All processes apply a
// document within seconds, so a typing error must be found by validation, and the
// author of a file must see all of its faults at once instead of one per attempt.
//
// The package defines no sections or keys. A section or key is known if the
// program reads it; the ones that are never read are reported as unknown.
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

// maxSize is the size in bytes above which a text is rejected without parsing. The platform
// stores values of at most a megabyte, so a larger text cannot be a document.
const maxSize = 1 << 20

var wordPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// File is a parsed text whose sections are being read. It is not safe for concurrent use.
type File struct {
	name     string
	sections []*Section
	faults   Faults
}

// Section is one section of a file, such as [service] or [server s1].
type Section struct {
	Kind string // first word of the heading
	Name string // second word, "" if there is none

	file     *File
	position int // in the file, counted from 1; 0 means the whole file
	used     bool
	absent   bool // placeholder for a missing section; no faults of its keys are reported
	values   map[string]string
	keys     []string // in file order
	usedKeys map[string]bool
}

// Read parses text. The name file appears in faults. Syntax errors are
// reported by Err, like all other faults.
func Read(file string, text []byte) *File {
	f := &File{name: file}
	if len(text) > maxSize {
		f.addFault(nil, "", Invalid, "larger than a megabyte")
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
		f.addFault(nil, "", Syntax, strings.TrimSpace(err.Error()))
		// The remaining lines are parsed nevertheless, so that their faults are listed too.
		options.SkipUnrecognizableLines = true
		if parsed, err = ini.LoadSources(options, text); err != nil {
			return f
		}
	}
	for _, s := range parsed.Sections() {
		f.addSection(s)
	}
	return f
}

// addSection copies one parsed section and reports repeated keys in it.
func (f *File) addSection(from *ini.Section) {
	if from.Name() == ini.DefaultSection && len(from.Keys()) == 0 {
		return
	}
	kind, name, _ := strings.Cut(from.Name(), " ")
	s := &Section{
		Kind:     kind,
		Name:     strings.TrimSpace(name),
		file:     f,
		position: len(f.sections) + 1,
		values:   map[string]string{},
		usedKeys: map[string]bool{},
	}
	for _, k := range from.Keys() {
		s.keys = append(s.keys, k.Name())
		s.values[k.Name()] = k.Value()
		if len(k.ValueWithShadows()) > 1 {
			f.addFault(s, k.Name(), Duplicate, "")
		}
	}
	f.sections = append(f.sections, s)
}

// One returns the section of a kind that must be present exactly once and has no name. If it is missing,
// a fault is added and a placeholder is returned that adds no further faults.
func (f *File) One(kind string) *Section {
	if s, ok := f.Maybe(kind); ok {
		return s
	}
	f.addFault(&Section{Kind: kind}, "", Missing, "")
	return &Section{Kind: kind, file: f, absent: true, usedKeys: map[string]bool{}}
}

// Maybe is like One for an optional section. It reports whether the section is present.
func (f *File) Maybe(kind string) (*Section, bool) {
	var first *Section
	for _, s := range f.sections {
		if s.Kind != kind {
			continue
		}
		s.used = true
		if s.Name != "" {
			f.addFault(s, "", Invalid, "this section takes no name")
		}
		if first != nil {
			f.addFault(s, "", Duplicate, "")
			s.useAllKeys()
			continue
		}
		first = s
	}
	return first, first != nil
}

// Each returns the named sections of a kind in file order. It adds faults for names that
// are not a single word and for repeated names.
func (f *File) Each(kind string) (found []*Section) {
	seen := map[string]bool{}
	for _, s := range f.sections {
		if s.Kind != kind {
			continue
		}
		s.used = true
		switch {
		case !wordPattern.MatchString(s.Name):
			f.addFault(s, "", Invalid, "the name must be one word of a-z, 0-9 and '-'")
		case seen[s.Name]:
			f.addFault(s, "", Duplicate, "")
		}
		seen[s.Name] = true
		found = append(found, s)
	}
	return found
}

// Err returns nil, or Faults with all faults, including unknown sections and
// keys. It is called once, after all sections and keys have been read.
func (f *File) Err() error {
	for _, s := range f.sections {
		if !s.used {
			f.addFault(s, "", Unknown, "")
			continue
		}
		for _, k := range s.keys {
			if !s.usedKeys[k] {
				f.addFault(s, k, Unknown, "")
			}
		}
	}
	if len(f.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(f.faults, func(a, b Fault) int { return a.position - b.position })
	return f.faults
}

func (f *File) addFault(s *Section, key string, problem Problem, detail string) {
	fault := Fault{File: f.name, Key: key, Problem: problem, Detail: detail}
	if s != nil {
		fault.Section = s.String()
		fault.position = s.position
	}
	f.faults = append(f.faults, fault)
}

// Fault adds a fault that concerns the whole file.
func (f *File) Fault(problem Problem, detail string) {
	f.addFault(nil, "", problem, detail)
}

// Fault adds a fault that the caller found in the value of a key, or in the whole
// section if key is "".
func (s *Section) Fault(key string, problem Problem, detail string) {
	if !s.absent {
		s.file.addFault(s, key, problem, detail)
	}
}

// String returns the heading without the brackets.
func (s *Section) String() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + " " + s.Name
}

func (s *Section) useAllKeys() {
	for _, k := range s.keys {
		s.usedKeys[k] = true
	}
}
