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

// Upper bounds of numbers in a document. They stop slips of the pen; none of them
// is a size that the program is made for.
const (
	maxSlots       = 10_000
	maxConnections = 1_000_000
	maxWeight      = 1_000
	maxQueue       = 1_000_000
)

// Parse reads a document. File is the name by which faults call it. The error
// holds strict.Faults with every fault of the text, from top to bottom; a service
// comes back only if there is none.
func Parse(file string, text []byte) (service *Service, err error) {
	defer func() { err = errors.Wrap(err, "service document") }()

	f := strict.Read(file, text)
	s := &Service{}
	head := f.One("service")
	readService(head, s)
	readServers(f, s)
	evacuate(head, s)
	readClasses(f, s)
	readCallers(f, s)
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

// evacuate makes the servers of failure domains that are to be emptied leave.
func evacuate(from *strict.Section, s *Service) {
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
	if !clean(text) || strings.ContainsAny(text, "%?# ") {
		from.Fault("path", strict.Invalid, fmt.Sprintf("%q is not the start of a path, such as /lookup", text))
		return ""
	}
	return text
}

// claim is one network that a caller section claims.
type claim struct {
	network netip.Prefix
	section *strict.Section
	order   int // of the text
}

func readCallers(f *strict.File, s *Service) {
	var claims []claim
	for _, from := range f.Each("caller") {
		c := Caller{Name: from.Name, Networks: from.Networks("networks"), Weight: readWeight(from)}
		for _, n := range c.Networks {
			claims = append(claims, claim{n, from, len(claims)})
		}
		s.Callers = append(s.Callers, c)
	}
	checkOverlaps(claims)
}

// checkOverlaps reports networks that overlap, at the later one of the text. Two
// networks overlap only if one holds the other, so that in the order of addresses,
// larger networks first, it is enough to keep the networks that hold the present one.
// Comparing each with each took seconds for a document of a megabyte.
func checkOverlaps(claims []claim) {
	slices.SortFunc(claims, func(a, b claim) int {
		return cmp.Or(a.network.Addr().Compare(b.network.Addr()), cmp.Compare(a.network.Bits(), b.network.Bits()), cmp.Compare(a.order, b.order))
	})
	var holders []claim // each holds the next
	for _, c := range claims {
		for len(holders) > 0 && !holders[len(holders)-1].network.Contains(c.network.Addr()) {
			holders = holders[:len(holders)-1]
		}
		if len(holders) > 0 {
			reportOverlap(holders[len(holders)-1], c)
		}
		holders = append(holders, c)
	}
}

func reportOverlap(a, b claim) {
	if a.order > b.order {
		a, b = b, a
	}
	b.section.Fault("networks", strict.Duplicate, fmt.Sprintf("%s overlaps with %s of caller %s", b.network, a.network, a.section.Name))
}

// readWeight returns the weight, which is 1 if it is left out.
func readWeight(from *strict.Section) int {
	if !from.Has("weight") {
		return 1
	}
	return int(from.Integer("weight", 1, maxWeight))
}
