// Package prefs defines and loads the settings of a process that handles QUIC: its own addresses and
// failure domain, the address of the platform, and its keys. A process gets
// them only from its settings file, so that it runs with any fabric, platform or backend
// server.
//
// What applies to a whole service is not a setting; it is part of the service document
// (package docs). Settings are read once at the start, together with the key files, and
// certificates are checked, so that a process that starts has everything it needs.
//
// # Usage
//
//	settings, err := prefs.Load("entry.ini")
//	if err != nil {
//		return err // lists every fault, each with file, section and key
//	}
//	if settings.Entry == nil {
//		return errors.New("not the settings of an entry")
//	}
package prefs

import (
	"net/netip"
	"net/url"
)

// KeySize is the length of a key in bytes.
const KeySize = 32

// Key is a secret key with which connection IDs and request keys are sealed.
type Key [KeySize]byte

// String hides the key, so that keys are never written to a log.
func (Key) String() string { return "(key)" }

// GoString hides the key.
func (Key) GoString() string { return "(key)" }

// Settings holds the contents of one settings file. Exactly one of Entry and Agent is set. It is
// immutable.
type Settings struct {
	Process  Process
	Platform Platform
	Peers    []netip.AddrPort // Links of processes from which documents can be fetched while the platform is down
	Keys     map[string]Key   // by name; documents refer to them
	Entry    *Entry
	Agent    *Agent
}

// Process holds the settings that every process has.
type Process struct {
	Name     string         // one word, unique among all processes
	Domain   string         // failure domain
	Operator netip.AddrPort // operators' HTTP server
}

// Platform locates the platform, from which documents and the list of instances are read.
type Platform struct {
	Address *url.URL // http
}

// Entry holds the settings that only entries have.
type Entry struct {
	Bind netip.Addr     // IP address on which the ports of services are opened
	Link netip.AddrPort // UDP for frames, TCP for drpc
}

// Agent holds the settings that only agents have.
type Agent struct {
	Service string         // name of the document
	Server  string         // name of the server section in it
	Listen  netip.AddrPort // agent address of that section; UDP for frames, TCP for drpc
	Backend *url.URL       // http, address of the agent's own server
	// Sides are two addresses, UDP and TCP, by which an agent's process and its successor reach
	// each other while both run; each binds the one that is free. If empty, no successor
	// can be started beside this process.
	Sides       []netip.AddrPort
	Certificate string // path of a PEM file
	Private     string // path of the PEM file with the certificate's private key
}
