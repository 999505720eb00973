package docs

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/strict"
)

// Upper bounds of numbers in a document. They catch typing errors; they are not sizes for which
// the program is designed.
const (
	maxSlots       = 10_000
	maxConnections = 1_000_000
	maxWeight      = 1_000
	maxQueue       = 1_000_000
)

// Parse parses a document. The name file appears in faults. The error
// wraps strict.Faults with all faults of the text, from top to bottom; the service
// is nil if there are any.
func Parse(file string, text []byte) (service *Service, err error) {
	defer func() { err = errors.Wrap(err, "service document") }()

	f := strict.Read(file, text)
	s := &Service{}
	section := f.One("service")
	readService(section, s)
	readServers(f, s)
	readEvacuated(section, s)
	readClasses(f, s)
	s.Callers = ReadCallers(f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	slices.SortFunc(s.Servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return s, nil
}

func readService(from *strict.Section, s *Service) {
	s.Name = from.Word("name")
	s.Address = from.AddrPort("address")
	s.Current = from.Word("current")
	if from.Has("former") {
		s.Former = from.Words("former")
	}
	if s.Current != "" && slices.Contains(s.Former, s.Current) {
		from.Fault("former", strict.Duplicate, s.Current+" is the current key")
	}
}

// readEvacuated reads the evacuated failure domains and sets the state of their servers to Leaving.
func readEvacuated(from *strict.Section, s *Service) {
	if !from.Has("evacuate") {
		return
	}
	s.Evacuated = from.Words("evacuate")
	for _, domain := range s.Evacuated {
		known := false
		for i := range s.Servers {
			if s.Servers[i].Domain == domain {
				s.Servers[i].State, known = Leaving, true
			}
		}
		if !known {
			from.Fault("evacuate", strict.Invalid, "no server is in "+domain)
		}
	}
}

func readServers(f *strict.File, s *Service) {
	ids := map[uint32]string{}
	agents := map[netip.AddrPort]string{}
	for _, from := range f.Each("server") {
		v := readServer(from)
		if other, ok := ids[v.ID]; ok && v.ID != 0 {
			from.Fault("id", strict.Duplicate, fmt.Sprintf("%d is the ID of server %s", v.ID, other))
		}
		if other, ok := agents[v.Agent]; ok && v.Agent.IsValid() {
			from.Fault("agent", strict.Duplicate, fmt.Sprintf("%s is the agent of server %s", v.Agent, other))
		}
		if v.Agent.IsValid() && v.Agent == s.Address {
			from.Fault("agent", strict.Duplicate, fmt.Sprintf("%s is the address of the service", v.Agent))
		}
		ids[v.ID] = v.Name
		agents[v.Agent] = v.Name
		s.Servers = append(s.Servers, v)
	}
	if len(s.Servers) == 0 {
		f.Fault(strict.Missing, "no [server NAME]")
	}
}

func readServer(from *strict.Section) Server {
	v := Server{
		Name:        from.Name,
		ID:          uint32(from.Integer("id", 1, math.MaxUint32)),
		Agent:       from.AddrPort("agent"),
		Domain:      from.Word("domain"),
		Slots:       int(from.Integer("slots", 1, maxSlots)),
		Connections: int(from.Integer("connections", 1, maxConnections)),
		Weight:      readWeight(from),
		State:       Serving,
	}
	if from.Has("state") {
		v.State = State(from.Choice("state", string(Serving), string(Leaving)))
	}
	return v
}

func readClasses(f *strict.File, s *Service) {
	for _, from := range f.Each("class") {
		c := Class{
			Name:       from.Name,
			Kind:       Kind(from.Choice("kind", string(Lookup), string(Feed), string(Upload))),
			Path:       readPath(from),
			Idempotent: from.Bool("idempotent"),
			Deadline:   from.Duration("deadline"),
			Queue:      int(from.Integer("queue", 0, maxQueue)),
		}
		for _, e := range s.Classes {
			switch {
			case c.Path == "" || e.Path == "":
			case c.Path == e.Path:
				from.Fault("path", strict.Duplicate, fmt.Sprintf("%s is the path of class %s", c.Path, e.Name))
			case covers(e.Path, c.Path):
				from.Fault("path", strict.Invalid, fmt.Sprintf("class %s stands before it and takes all of %s", e.Name, c.Path))
			}
		}
		s.Classes = append(s.Classes, c)
	}
	if len(s.Classes) == 0 {
		f.Fault(strict.Missing, "no [class NAME]")
	}
}

func readPath(from *strict.Section) string {
	text := from.Text("path")
	if text == "" {
		return ""
	}
	if !isClean(text) || strings.ContainsAny(text, "%?# ") {
		from.Fault("path", strict.Invalid, fmt.Sprintf("%q is not the start of a path, such as /lookup", text))
		return ""
	}
	return text
}

// networkClaim is one network of a caller section.
type networkClaim struct {
	network netip.Prefix
	section *strict.Section
	index   int // in the order of the text
}

// ReadCallers reads the caller sections of a document or of settings. Faults are added to f.
func ReadCallers(f *strict.File) (callers []Caller) {
	var claims []networkClaim
	for _, from := range f.Each("caller") {
		c := Caller{Name: from.Name, Networks: from.Networks("networks"), Weight: readWeight(from)}
		for _, n := range c.Networks {
			claims = append(claims, networkClaim{n, from, len(claims)})
		}
		callers = append(callers, c)
	}
	checkOverlaps(claims)
	return callers
}

// checkOverlaps reports overlapping networks, at the one that is later in the text. Two
// networks overlap only if one contains the other, so with the networks sorted by address,
// larger ones first, it is enough to keep a stack of the networks that contain the current one.
// Comparing all pairs takes seconds for a document of a megabyte.
func checkOverlaps(claims []networkClaim) {
	slices.SortFunc(claims, func(a, b networkClaim) int {
		return cmp.Or(a.network.Addr().Compare(b.network.Addr()), cmp.Compare(a.network.Bits(), b.network.Bits()), cmp.Compare(a.index, b.index))
	})
	var enclosing []networkClaim // each contains the next
	for _, c := range claims {
		for len(enclosing) > 0 && !enclosing[len(enclosing)-1].network.Contains(c.network.Addr()) {
			enclosing = enclosing[:len(enclosing)-1]
		}
		if len(enclosing) > 0 {
			reportOverlap(enclosing[len(enclosing)-1], c)
		}
		enclosing = append(enclosing, c)
	}
}

func reportOverlap(a, b networkClaim) {
	if a.index > b.index {
		a, b = b, a
	}
	b.section.Fault("networks", strict.Duplicate, fmt.Sprintf("%s overlaps with %s of caller %s", b.network, a.network, a.section.Name))
}

// readWeight returns the weight, 1 by default.
func readWeight(from *strict.Section) int {
	if !from.Has("weight") {
		return 1
	}
	return int(from.Integer("weight", 1, maxWeight))
}
