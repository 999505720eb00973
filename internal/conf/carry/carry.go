// Package carry describes the settings of one process of the carrier for opaque flows.
//
// A process learns its own addresses, its failure domain and where the platform is from this
// file alone, in the product's own words; which fabric or platform is around it doesn't show here.
// Routes and servers are no settings: they are read from the platform
// (package follow). The carrier for QUIC has settings of its own (package prefs).
//
// # Usage
//
//	settings, err := carry.Load("entry.ini")
//	if err != nil {
//		return err // lists every fault, each with file, section and key
//	}
package carry

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/strict"
	"mangowinch/internal/load/parts"
)

// Settings is one settings file. Exactly one of Entry and Agent is set. Nobody changes it.
type Settings struct {
	Process  Process
	Platform netip.AddrPort   // HTTP
	Link     netip.AddrPort   // UDP and TCP between processes, as others reach it; every process has the same port
	Rate     float64          // of the instance's link, bytes a second; 0: not stated
	LinkBind netip.AddrPort   // what the process opens for it; another one where addresses are translated on the way
	Seeds    []netip.AddrPort // of some processes that may be up; only the IP numbers count
	Bounds   Bounds
	Entry    *Entry
	Agent    *Agent
	Without  parts.Off // mechanisms that are switched off, for measurements
}

// Process is what every process has.
type Process struct {
	Name     string
	Domain   string         // failure domain
	Operator netip.AddrPort // operators' HTTP: readiness, status, metrics
	Metrics  netip.AddrPort // HTTP, metrics only, at a port that is the same every day; invalid: none
}

// Bounds are what the deployment asks of the system.
type Bounds struct {
	Change time.Duration // a change of configuration is in force everywhere within it
	Life   time.Duration // no flow lives longer
	Stop   time.Duration // a process that is asked to stop is killed after it
}

// Entry is what only a process of role entry has.
type Entry struct {
	Bind netip.AddrPort // UDP, callers' packets
}

// Agent is what only a process of role agent has.
type Agent struct {
	Service string
	Backend netip.AddrPort // UDP, the agent's own server
	Listen  netip.AddrPort // UDP, what the server sends
	Caller  netip.AddrPort // UDP; callers are answered from it, and have its port
}

// Load reads the settings file at path. The error holds strict.Faults with every fault,
// unless the file itself cannot be read.
func Load(path string) (s *Settings, err error) {
	defer func() { err = errors.Wrap(err, "settings") }()

	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parse(path, text)
}

func parse(path string, text []byte) (s *Settings, err error) {
	f := strict.Read(path, text)
	process := f.One("process")
	s = &Settings{
		Process: Process{
			Name:     process.Word("name"),
			Domain:   process.Word("domain"),
			Operator: process.AddrPort("operator"),
		},
		Platform: f.One("platform").AddrPort("address"),
		Link:     f.One("link").AddrPort("address"),
		Bounds:   readBounds(f.One("bounds")),
	}
	s.LinkBind = s.Link
	if link := f.One("link"); link.Has("bind") {
		s.LinkBind = link.AddrPort("bind")
	}
	if link := f.One("link"); link.Has("rate") {
		s.Rate = link.Rate("rate")
	}
	if process.Has("metrics") {
		s.Process.Metrics = process.AddrPort("metrics")
	}
	if from, ok := f.Maybe("peers"); ok && from.Has("seeds") {
		s.Seeds = from.AddrPorts("seeds")
	}
	if from, ok := f.Maybe("without"); ok {
		s.Without = readWithout(from)
	}
	if from, ok := f.Maybe("entry"); ok {
		s.Entry = &Entry{Bind: from.AddrPort("bind")}
	}
	if from, ok := f.Maybe("agent"); ok {
		s.Agent = &Agent{
			Service: from.Word("service"),
			Backend: from.AddrPort("backend"),
			Listen:  from.AddrPort("listen"),
			Caller:  from.AddrPort("caller"),
		}
		if s.Entry != nil {
			from.Fault("", strict.Invalid, "a process is either an entry or an agent")
		}
	} else if s.Entry == nil {
		f.Fault(strict.Missing, "neither [entry] nor [agent]")
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func readWithout(from *strict.Section) parts.Off {
	off, unknown := parts.Parse(from.List("parts"))
	for _, name := range unknown {
		from.Fault("parts", strict.Invalid, name+" is none of "+strings.Join(parts.Names(), " "))
	}
	return off
}

func readBounds(from *strict.Section) Bounds {
	return Bounds{
		Change: from.Duration("change"),
		Life:   from.Duration("life"),
		Stop:   from.Duration("stop"),
	}
}
