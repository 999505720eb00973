// Package prefs describes the settings of one process: its own addresses and
// failure domain, where the platform is, the keys it holds. A process learns
// them from its settings file alone, so that any fabric, platform or backend
// server can be put around it.
//
// What holds for a whole service is no setting; it stands in the service's document
// (package docs). Settings are read once at the start. Key files are read with them,
// certificates are checked, so that a process that starts has what it needs.
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

// Key is the material that connection IDs and request keys are sealed with.
type Key [KeySize]byte

// String hides the key, so that none gets into a log.
func (Key) String() string { return "(key)" }

// GoString hides the key.
func (Key) GoString() string { return "(key)" }

// Settings is one settings file. Exactly one of Entry and Agent is set. Nobody
// changes it.
type Settings struct {
	Process  Process
	Platform Platform
	Peers    []netip.AddrPort // links of processes to get documents from when the platform is down
	Keys     map[string]Key   // by name; documents refer to them
	Entry    *Entry
	Agent    *Agent
}

// Process is what every process has.
type Process struct {
	Name     string         // one word, unique in the fleet
	Domain   string         // failure domain
	Operator netip.AddrPort // operators' HTTP
}

// Platform is where documents and the list of instances are read.
type Platform struct {
	Address *url.URL // http
}

// Entry is what only a process of role entry has.
type Entry struct {
	Bind netip.Addr     // the ports of services are opened on it
	Link netip.AddrPort // UDP for frames, TCP for drpc
}

// Agent is what only a process of role agent has.
type Agent struct {
	Service string         // name of the document
	Server  string         // name of the server section in it
	Listen  netip.AddrPort // the agent address in that section; UDP for frames, TCP for drpc
	Backend *url.URL       // http, the agent's own server
	// Sides are two addresses, UDP and TCP, by which an agent's process and its successor reach
	// each other while both run; each takes the one that is free. None: no successor
	// can be started beside this process.
	Sides       []netip.AddrPort
	Certificate string // path of a PEM file
	Private     string // path of the PEM file with the certificate's private key
}
