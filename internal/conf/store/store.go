// Package store holds the service documents in force in one process.
//
// It exists so that one place decides which version of a document is in force: the
// highest revision that was ever offered and is valid. Offers come from
// the platform and from other processes, possibly late, repeated and out of order. The order
// does not affect which revision is in force in the end, and a lower revision
// never replaces a higher one. An invalid document is kept and shown, and the
// last valid one stays in force.
//
// The store is not persistent: after a restart it is empty and is filled by the
// platform or by other processes. It neither fetches nor relays documents.
//
// # Usage
//
//	s := store.New(docs.Parse)
//	accepted, err := s.Offer("tracing-core", 7, text, "platform")
//	view := s.View() // immutable, for readers on any goroutine
//	document := view.Documents["tracing-core"]
//	<-s.Changed() // closed at the next change
package store

import (
	"bytes"
	"maps"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/flow/order"
)

// Limits of what a process stores, so that neither the platform nor a peer can exhaust its memory.
const (
	MaxText  = 1 << 20 // bytes of one document; the platform stores no larger values
	MaxNames = 4096    // three times the planned number of documents
)

// Errors of offers that are rejected without parsing.
var (
	ErrTooLarge    = errors.New("document is larger than a megabyte")
	ErrTooMany     = errors.New("too many documents")
	ErrInvalidName = errors.New("document has no name or has revision 0")
)

var (
	acceptedTotal  = metrics.GetOrCreateCounter(`mangowinch_documents_accepted_total`)
	staleTotal     = metrics.GetOrCreateCounter(`mangowinch_documents_refused_total{reason="older"}`)
	sameTotal      = metrics.GetOrCreateCounter(`mangowinch_documents_refused_total{reason="same"}`)
	invalidTotal   = metrics.GetOrCreateCounter(`mangowinch_documents_refused_total{reason="invalid"}`)
	limitTotal     = metrics.GetOrCreateCounter(`mangowinch_documents_refused_total{reason="limit"}`)
	differentTotal = metrics.GetOrCreateCounter(`mangowinch_documents_refused_total{reason="different"}`)
)

// Document is one document in force. It is immutable once it is published in a View.
type Document struct {
	Name     string
	Revision order.Revision
	Text     []byte
	Service  *docs.Service
	Source   string // platform or peer that offered it, for operators
	At       time.Time
}

// Fault is the newest revision of a document that is invalid.
type Fault struct {
	Name     string
	Revision order.Revision
	Source   string
	Reason   string
	At       time.Time
	Text     []byte // kept so that it can be relayed and need not be fetched again
}

// View is an immutable snapshot of the documents in force and the faulty ones.
type View struct {
	Documents map[string]*Document
	Faults    map[string]*Fault
}

// Revision returns the newest known revision of a document, in force
// or faulty, or 0 if there is none.
func (v *View) Revision(name string) order.Revision {
	var n order.Revision
	if d := v.Documents[name]; d != nil {
		n = d.Revision
	}
	if f := v.Faults[name]; f != nil {
		n = max(n, f.Revision)
	}
	return n
}

// Store holds the documents of one process. Its methods may be called from any goroutine.
type Store struct {
	parse func(file string, text []byte) (*docs.Service, error)

	mu      sync.Mutex
	view    *View
	changed chan struct{}
}

// New returns an empty store that parses documents with parse.
func New(parse func(file string, text []byte) (*docs.Service, error)) *Store {
	return &Store{
		parse:   parse,
		view:    &View{Documents: map[string]*Document{}, Faults: map[string]*Fault{}},
		changed: make(chan struct{}),
	}
}

// View returns the current snapshot.
func (s *Store) View() *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// Changed returns a channel that is closed at the next change. Take the
// channel before the view, else a change between the two goes unseen.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Offer offers a version of a document to the store. It is accepted if it is newer than
// the one in force and valid. An older or equal revision is not an error, since
// relays, restarts and stale platforms cause such offers. An invalid version
// returns an error and is kept as a Fault; the version in force stays.
func (s *Store) Offer(name string, revision order.Revision, text []byte, source string) (accepted bool, err error) {
	defer func() { err = errors.Wrapf(err, "document %q revision %s from %s", name, revision, source) }()
	if name == "" || revision == 0 {
		limitTotal.Inc()
		return false, ErrInvalidName
	}
	if len(text) > MaxText {
		limitTotal.Inc()
		return false, ErrTooLarge
	}
	if !s.needsParsing(name, revision, text) {
		return false, nil
	}
	text = append([]byte{}, text...) // never nil, which needsParsing takes for "revision not known"
	service, err := s.parse(name+".ini", text)
	if err == nil && service.Name != name {
		err = errors.Newf("the document is named %q by the platform and %q inside", name, service.Name)
	}
	return s.publish(name, revision, text, source, service, err)
}

// needsParsing reports whether an offer may be accepted, so that others are not parsed. A revision between the
// one in force and a newer faulty one is parsed: a process that received the faulty
// one first must end up with the same revision as the others, the newest valid one.
func (s *Store) needsParsing(name string, revision order.Revision, text []byte) bool {
	v := s.View()
	var known []byte
	if d := v.Documents[name]; d != nil {
		if revision < d.Revision {
			staleTotal.Inc()
			return false
		}
		if revision == d.Revision {
			known = d.Text
		}
	}
	if f := v.Faults[name]; f != nil && revision == f.Revision {
		known = f.Text
	}
	if known == nil {
		return true
	}
	if bytes.Equal(known, text) {
		sameTotal.Inc()
	} else {
		// Two texts with the same revision can only be a fault of the platform. The first
		// one received stays, so that this process doesn't alternate between them.
		differentTotal.Inc()
	}
	return false
}

// publish decides on the offer under the lock, since another one may have been accepted while this one was parsed, and
// publishes the new View.
func (s *Store) publish(name string, revision order.Revision, text []byte, source string, service *docs.Service, fault error) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.view.Documents[name]; d != nil && revision <= d.Revision {
		staleTotal.Inc()
		return false, nil
	}
	if fault != nil && revision <= s.view.Revision(name) {
		invalidTotal.Inc()
		return false, fault
	}
	if s.view.Revision(name) == 0 && len(s.view.Documents)+len(s.view.Faults) >= MaxNames {
		limitTotal.Inc()
		return false, ErrTooMany
	}
	next := &View{Documents: maps.Clone(s.view.Documents), Faults: maps.Clone(s.view.Faults)}
	if fault != nil {
		invalidTotal.Inc()
		next.Faults[name] = &Fault{Name: name, Revision: revision, Source: source, Reason: fault.Error(), At: time.Now(), Text: text}
	} else {
		acceptedTotal.Inc()
		next.Documents[name] = &Document{Name: name, Revision: revision, Text: text, Service: service, Source: source, At: time.Now()}
		if f := next.Faults[name]; f != nil && f.Revision < revision {
			delete(next.Faults, name)
		}
	}
	s.view = next
	close(s.changed)
	s.changed = make(chan struct{})
	return fault == nil, fault
}
