// Package store holds the service documents in force in one process.
//
// It exists so that one place decides which version of a document counts: the
// highest revision that was ever offered and could be read. Offers come from
// the platform, from other processes, late, twice and out of order; the order
// makes no difference to what is in force in the end, and a lower revision
// never replaces a higher one. A document that cannot be read is remembered and
// shown, and the last good one stays in force.
//
// It is not a place where documents survive: a process that restarts begins
// empty and is filled by the platform or by other processes. It neither
// fetches nor relays.
//
// # Usage
//
//	s := store.New(docs.Parse)
//	accepted, err := s.Offer("tracing-core", 7, text, "platform")
//	view := s.View() // immutable, for readers on any goroutine
//	entry := view.Entries["tracing-core"]
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

// Limits of what a process keeps, so that no platform and no peer can fill its memory.
const (
	MaxText  = 1 << 20 // bytes of one document; the platform holds no larger values
	MaxNames = 4096    // three times the documents of the size that is planned for
)

// Errors of an offer that was turned away unread.
var (
	ErrTooLarge    = errors.New("document is over a megabyte")
	ErrTooMany     = errors.New("too many documents")
	ErrInvalidName = errors.New("document has no name, or revision 0")
)

var (
	acceptedTotal  = metrics.GetOrCreateCounter(`mangowinch_documents_accepted_total`)
	staleTotal     = metrics.GetOrCreateCounter(`mangowinch_documents_refused_total{reason="older"}`)
	sameTotal      = metrics.GetOrCreateCounter(`mangowinch_documents_refused_total{reason="same"}`)
	invalidTotal   = metrics.GetOrCreateCounter(`mangowinch_documents_refused_total{reason="invalid"}`)
	limitTotal     = metrics.GetOrCreateCounter(`mangowinch_documents_refused_total{reason="limit"}`)
	differentTotal = metrics.GetOrCreateCounter(`mangowinch_documents_refused_total{reason="different"}`)
)

// Document is one document in force. It is never changed after it was published in a View.
type Document struct {
	Name     string
	Revision order.Revision
	Text     []byte
	Service  *docs.Service
	Source   string // who offered it, for operators
	At       time.Time
}

// Fault is the newest revision of a document that could not be read.
type Fault struct {
	Name     string
	Revision order.Revision
	Source   string
	Reason   string
	At       time.Time
	Text     []byte // kept to be relayed and not to be fetched again
}

// View is an immutable snapshot of what is in force.
type View struct {
	Documents map[string]*Document
	Faults    map[string]*Fault
}

// Revision returns the newest revision that is known of a document, in force
// or faulty, and 0 when none is.
func (v *View) Revision(name string) order.Revision {
	var n order.Revision
	if e := v.Documents[name]; e != nil {
		n = e.Revision
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

// New returns an empty store which reads documents with parse.
func New(parse func(file string, text []byte) (*docs.Service, error)) *Store {
	return &Store{
		parse:   parse,
		view:    &View{Documents: map[string]*Document{}, Faults: map[string]*Fault{}},
		changed: make(chan struct{}),
	}
}

// View returns what is in force now.
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

// Offer hands in a version of a document. It is accepted when it is newer than
// the one in force and can be read. An older or equal revision is no error:
// that is how relays, restarts and stale platforms look. A version that cannot
// be read gives an error, is kept as a Fault, and leaves what is in force.
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
	if !s.wanted(name, revision, text) {
		return false, nil
	}
	text = append([]byte{}, text...) // never nil, which stands for "no such revision"
	service, err := s.parse(name+".ini", text)
	if err == nil && service.Name != name {
		err = errors.Newf("the document is named %q by the platform and %q inside", name, service.Name)
	}
	return s.publish(name, revision, text, source, service, err)
}

// wanted spares the parsing of what will not be taken. A revision between the
// one in force and a newer faulty one is wanted: a process that got the faulty
// one first must end up where the others are, on the newest that can be read.
func (s *Store) wanted(name string, revision order.Revision, text []byte) bool {
	v := s.View()
	var same []byte
	if e := v.Documents[name]; e != nil {
		if revision < e.Revision {
			staleTotal.Inc()
			return false
		}
		if revision == e.Revision {
			same = e.Text
		}
	}
	if f := v.Faults[name]; f != nil && revision == f.Revision {
		same = f.Text
	}
	if same == nil {
		return true
	}
	if bytes.Equal(same, text) {
		sameTotal.Inc()
	} else {
		// Two texts under one revision can only be a fault of the platform. The first
		// one seen stays, so that this process at least doesn't swing between them.
		differentTotal.Inc()
	}
	return false
}

// publish decides under the lock, since another offer may have come in while this one was parsed.
func (s *Store) publish(name string, revision order.Revision, text []byte, source string, service *docs.Service, fault error) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.view.Documents[name]; e != nil && revision <= e.Revision {
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
