// Package docs defines and parses the service document, the text in which a team
// declares its service, the backend servers behind it and how its traffic is
// treated.
//
// A document is INI. The platform assigns a revision to each version of it; the
// revision is not part of the text. A parsed document is an immutable snapshot:
// a *Service may be read from any goroutine and is never modified.
//
// The package handles neither the source of a document (package store) nor
// the settings of a process (package prefs).
//
// # Usage
//
//	service, err := docs.Parse("tracing-core.ini", text)
//	if err != nil {
//		return err // lists every fault, each with file, section and key
//	}
//	class, ok := service.ClassFor("/lookup/7")
package docs

import (
	"net/netip"
	"time"
)

// Kind is the shape of a request class: how long the request and its answer are.
type Kind string

// The kinds of request a document may declare.
const (
	Lookup Kind = "lookup" // short request, short answer
	Feed   Kind = "feed"   // short request, answer that stays open for hours
	Upload Kind = "upload" // long request body, short answer
)

// State determines whether a server receives new flows and requests.
type State string

// The states of a server in a document.
const (
	Serving State = "serving"
	Leaving State = "leaving"
)

// Service is one parsed document.
type Service struct {
	Name    string         // one word, unique among all services
	Address netip.AddrPort // where callers reach the service
	Servers []Server       // ordered by ID
	Classes []Class        // in document order; the first match applies
	Callers []Caller       // in document order
	Current string         // name of the key with which new connection IDs are sealed
	Former  []string       // names of the other keys that open connection IDs: former keys and the next one
	// Evacuated are the failure domains whose servers receive no new work; Parse sets the state of these servers
	// to Leaving.
	Evacuated []string
}

// Server is one backend server instance and the agent beside it.
type Server struct {
	Name        string
	ID          uint32         // 1 or more, unique in the service, carried in connection IDs
	Agent       netip.AddrPort // UDP for frames, TCP for drpc
	Domain      string         // failure domain
	Slots       int            // requests that run at a time
	Connections int            // flows that the agent may hold open
	Weight      int            // relative share of new flows, 1 or more
	State       State
}

// Class defines how one kind of request is treated.
type Class struct {
	Name       string
	Kind       Kind
	Path       string        // prefix of the request path
	Idempotent bool          // may run again if the outcome of the first attempt is unknown
	Deadline   time.Duration // of requests without their own deadline; for feeds, the time to the first byte
	Queue      int           // requests that may wait at one server
}

// Caller is a set of source networks that is given its fair share of the service.
type Caller struct {
	Name     string
	Networks []netip.Prefix // source addresses that count as this caller
	Weight   int            // relative share of the service under contention, 1 or more
}
