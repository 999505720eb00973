// Package carry defines and loads the settings of a process that forwards opaque flows.
//
// A process gets its own addresses, its failure domain and the address of the platform only from this
// file. The file is independent of the kind of fabric or platform around the process.
// Routes and servers are not settings: they are read from the platform
// (package follow). Processes that handle QUIC have other settings (package prefs).
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

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/conf/strict"
	"mangowinch/internal/load/parts"
	"mangowinch/internal/load/queue"
	"mangowinch/internal/load/usage"
)

// Settings holds the contents of one settings file. Exactly one of Entry and Agent is set. It is immutable.
type Settings struct {
	Process  Process
	Platform netip.AddrPort   // HTTP
	Link     netip.AddrPort   // UDP and TCP address by which other processes reach this one; all processes have the same port
	Rate     float64          // rate of the instance's network link in bytes per second; 0: not specified
	LinkBind netip.AddrPort   // address that the process binds for Link; differs from Link behind address translation
	Seeds    []netip.AddrPort // Links of some processes that may be running; only the IP addresses are used
	Bounds   Bounds
	Entry    *Entry
	Agent    *Agent
	Without  parts.Off // mechanisms that are switched off, to compare the system with and without them
}

// Process holds the settings that every process has.
type Process struct {
	Name     string
	Domain   string         // failure domain
	Operator netip.AddrPort // operators' HTTP server: readiness, status, metrics
	Metrics  netip.AddrPort // HTTP server for metrics only, at a fixed port; invalid: none
}

// Bounds are the time limits that the deployment sets.
type Bounds struct {
	Change time.Duration // within which a change of configuration is in force in all processes
	Life   time.Duration // maximum lifetime of a flow
	Stop   time.Duration // after which a process that was asked to stop is killed
}

// Entry holds the settings that only entries have.
type Entry struct {
	Bind    netip.AddrPort // UDP, packets of callers
	Callers *usage.Callers // who share the servers' capacity; nil: flows are served without regard to their callers
}

// Agent holds the settings that only agents have.
type Agent struct {
	Service string
	Backend netip.AddrPort // UDP, address of the agent's own server
	Listen  netip.AddrPort // UDP, packets from the server
	Caller  netip.AddrPort // UDP; source address of packets to callers, which use the same port
}

// Load reads the settings file at path. The error wraps strict.Faults with all faults,
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
	readCallers(f, s.Entry)
	readAgent(f, s)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// readAgent reads the section of an agent. A process has either this section or that of an entry, which has been
// read before.
func readAgent(f *strict.File, s *Settings) {
	from, ok := f.Maybe("agent")
	if !ok {
		if s.Entry == nil {
			f.Fault(strict.Missing, "neither [entry] nor [agent]")
		}
		return
	}
	s.Agent = &Agent{
		Service: from.Word("service"),
		Backend: from.AddrPort("backend"),
		Listen:  from.AddrPort("listen"),
		Caller:  from.AddrPort("caller"),
	}
	if s.Entry != nil {
		from.Fault("", strict.Invalid, "a process is either an entry or an agent")
	}
}

// maxSiteBits is the prefix length at which each address is a caller of its own.
const maxSiteBits = 32

// readCallers reads the sections about callers, which only an entry may have.
func readCallers(f *strict.File, entry *Entry) {
	from, ok := f.Maybe("callers")
	named := docs.ReadCallers(f)
	if !ok && len(named) == 0 {
		return
	}
	c := &usage.Callers{Named: named, SiteBits: queue.DefaultSiteBits}
	if ok && from.Has("prefix") {
		c.SiteBits = int(from.Integer("prefix", 1, maxSiteBits))
	}
	if entry == nil {
		f.Fault(strict.Invalid, "[callers] and [caller] are settings of an entry")
		return
	}
	entry.Callers = c
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
