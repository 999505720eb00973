// Package docs describes a service document: the one text in which a team
// declares its service, the backend servers behind it and how its traffic is
// to be treated.
//
// A document is INI. The platform gives each version of it a revision; the
// revision is no part of the text. A parsed document is an immutable snapshot:
// whoever holds a *Service may read it from any goroutine, nobody changes it.
//
// The package knows nothing of where a document came from (package store) nor
// of the settings of one process (package prefs).
//
// # Usage
//
//	service, err := docs.Parse("tracing-core.ini", text)
//	if err != nil {
//		return err // lists every fault, each with file, section and key
//	}
//	class := service.ClassFor("/lookup/7")
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

// State says whether a server is to be given new work.
type State string

// The states that a document may give a server.
const (
	Serving State = "serving"
	Leaving State = "leaving"
)

// Service is one parsed document.
type Service struct {
	Name    string         // one word, unique in the fleet
	Address netip.AddrPort // where callers reach the service
	Servers []Server       // ordered by ID
	Classes []Class        // ordered as declared; the first match counts
	Callers []Caller       // ordered as declared
	Current string         // name of the key that new connection IDs are sealed with
	Former  []string       // names of keys that open connection IDs besides: former ones and the next one
	// Evacuated are the failure domains whose servers get no new work; Parse has made these Leaving.
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
	Weight      int            // share of new flows, 1 or more
	State       State
}

// Class is how one kind of request is treated.
type Class struct {
	Name       string
	Kind       Kind
	Path       string        // prefix of the request's path
	Idempotent bool          // may run again when the outcome of the first try is unknown
	Deadline   time.Duration // given to a request that names none; for feeds the time to the first byte
	Queue      int           // requests that may wait at one server
}

// Caller is a party that shares the service fairly with the others.
type Caller struct {
	Name     string
	Networks []netip.Prefix // source addresses that count as this caller
	Weight   int            // share of the service under contention, 1 or more
}
