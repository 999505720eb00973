package strict

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Each function below returns the value of a key that must be there. A value that
// is missing or cannot be used is reported and comes back as the zero value.

// Has says whether the key is there. Keys that may be left out are asked for only
// if they are there.
func (s *Section) Has(key string) bool {
	s.asked[key] = true
	_, ok := s.values[key]
	return ok
}

// Text returns the value as it stands.
func (s *Section) Text(key string) string {
	if !s.Has(key) {
		s.Fault(key, Missing, "")
		return ""
	}
	text := s.values[key]
	if text == "" {
		s.Fault(key, Invalid, "empty")
	}
	return text
}

// Word returns one word of a-z, 0-9 and '-'.
func (s *Section) Word(key string) string {
	text := s.Text(key)
	if text == "" {
		return ""
	}
	if !word.MatchString(text) {
		s.Fault(key, Invalid, fmt.Sprintf("%q is not one word of a-z, 0-9 and '-'", text))
		return ""
	}
	return text
}

// Words returns the words of a list that commas separate. None may stand twice.
func (s *Section) Words(key string) (words []string) {
	seen := map[string]bool{}
	for _, text := range s.List(key) {
		switch {
		case !word.MatchString(text):
			s.Fault(key, Invalid, fmt.Sprintf("%q is not one word of a-z, 0-9 and '-'", text))
		case seen[text]:
			s.Fault(key, Duplicate, text)
		default:
			words = append(words, text)
		}
		seen[text] = true
	}
	return words
}

// List returns the parts of a list that commas separate, at least one.
func (s *Section) List(key string) (parts []string) {
	text := s.Text(key)
	if text == "" {
		return nil
	}
	for _, part := range strings.Split(text, ",") {
		parts = append(parts, strings.TrimSpace(part))
	}
	return parts
}

// Integer returns a whole number from low to high, both included.
func (s *Section) Integer(key string, low, high int64) int64 {
	text := s.Text(key)
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < low || n > high {
		s.Fault(key, Invalid, fmt.Sprintf("%q is not a whole number from %d to %d", text, low, high))
		return 0
	}
	return n
}

// Duration returns a time that is over zero. It needs a unit.
func (s *Section) Duration(key string) time.Duration {
	text := s.Text(key)
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		s.Fault(key, Invalid, fmt.Sprintf("%q is not a duration over zero with a unit, such as 800ms or 2h", text))
		return 0
	}
	return d
}

// rates are the units of Rate, in bytes a second.
var rates = []struct {
	unit  string
	bytes float64
}{{"kbit", 1e3 / 8}, {"Mbit", 1e6 / 8}, {"Gbit", 1e9 / 8}}

// Rate returns the bytes a second of a rate over zero. It needs a unit.
func (s *Section) Rate(key string) float64 {
	text := s.Text(key)
	if text == "" {
		return 0
	}
	for _, r := range rates {
		if digits, ok := strings.CutSuffix(text, r.unit); ok {
			if n, err := strconv.ParseFloat(digits, 64); err == nil && n > 0 && !math.IsInf(n, 0) {
				return n * r.bytes
			}
		}
	}
	s.Fault(key, Invalid, fmt.Sprintf("%q is not a rate over zero with a unit, such as 200Mbit or 2.5Gbit, a second", text))
	return 0
}

// Choice returns one of the given words.
func (s *Section) Choice(key string, words ...string) string {
	text := s.Text(key)
	if text == "" {
		return ""
	}
	for _, w := range words {
		if text == w {
			return w
		}
	}
	s.Fault(key, Invalid, fmt.Sprintf("%q is none of %s", text, strings.Join(words, ", ")))
	return ""
}

// Bool returns whether the value is yes rather than no.
func (s *Section) Bool(key string) bool {
	return s.Choice(key, "yes", "no") == "yes"
}

// Addr returns an IP number that is not the unspecified one.
func (s *Section) Addr(key string) netip.Addr {
	text := s.Text(key)
	if text == "" {
		return netip.Addr{}
	}
	a, err := netip.ParseAddr(text)
	if err != nil || a.IsUnspecified() || a.Is4In6() {
		s.Fault(key, Invalid, fmt.Sprintf("%q is not an IP number", text))
		return netip.Addr{}
	}
	return a
}

// AddrPort returns an IP number and a port that is not 0.
func (s *Section) AddrPort(key string) netip.AddrPort {
	text := s.Text(key)
	if text == "" {
		return netip.AddrPort{}
	}
	return s.addrPort(key, text)
}

// AddrPorts returns a list of IP numbers with ports. None may stand twice.
func (s *Section) AddrPorts(key string) (list []netip.AddrPort) {
	seen := map[netip.AddrPort]bool{}
	for _, text := range s.List(key) {
		a := s.addrPort(key, text)
		switch {
		case !a.IsValid():
		case seen[a]:
			s.Fault(key, Duplicate, text)
		default:
			list = append(list, a)
		}
		seen[a] = true
	}
	return list
}

func (s *Section) addrPort(key, text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().Is4In6() {
		s.Fault(key, Invalid, fmt.Sprintf("%q is not an IP number with a port, such as 10.0.0.1:443", text))
		return netip.AddrPort{}
	}
	return a
}

// Networks returns a list of networks in CIDR notation without host bits.
func (s *Section) Networks(key string) (list []netip.Prefix) {
	for _, text := range s.List(key) {
		p, err := netip.ParsePrefix(text)
		if err != nil || p != p.Masked() {
			s.Fault(key, Invalid, fmt.Sprintf("%q is not a network such as 10.1.0.0/16", text))
			continue
		}
		list = append(list, p)
	}
	return list
}
