package docs

import (
	"cmp"
	"net/netip"
	"path"
	"slices"
	"strings"
)

// Lengths in bits of the network by which a caller that no document lists is
// known. Addresses inside one network of these lengths can be multiplied freely
// by whoever holds it, so a share per address would be a share for the asking.
const (
	network4 = 24
	network6 = 56
)

// unlistedWeight is the share of a caller that no document lists.
const unlistedWeight = 1

// ClassFor returns the first class whose path covers the request's path. A class's
// path covers itself and everything below it: /lookup covers /lookup/7 but not
// /lookups.
//
// A path that is not in its shortest form has no class. A backend server may
// shorten /lookup/../claim to /claim, and a claim treated by the rules of an
// idempotent lookup could run twice.
func (s *Service) ClassFor(path string) (class *Class, ok bool) {
	if !clean(path) {
		return nil, false
	}
	for i := range s.Classes {
		if covers(s.Classes[i].Path, path) {
			return &s.Classes[i], true
		}
	}
	return nil, false
}

// CallerFor returns the name and weight of the caller that an address belongs to.
// A caller that the document does not list is known by its network, such as
// 10.1.2.0/24 or 2001:db8:0:100::/56, with weight 1.
func (s *Service) CallerFor(address netip.Addr) (name string, weight int) {
	address = address.Unmap().WithZone("")
	for _, c := range s.Callers {
		for _, n := range c.Networks {
			if n.Contains(address) {
				return c.Name, c.Weight
			}
		}
	}
	bits := network4
	if address.Is6() {
		bits = network6
	}
	network, _ := address.Prefix(bits) // an invalid address gives "invalid Prefix", a caller like any other
	return network.String(), unlistedWeight
}

// Server returns the server with the given ID.
func (s *Service) Server(id uint32) (server *Server, ok bool) {
	i, ok := slices.BinarySearchFunc(s.Servers, id, func(v Server, id uint32) int { return cmp.Compare(v.ID, id) })
	if !ok {
		return nil, false
	}
	return &s.Servers[i], true
}

// covers says whether a request for path falls under the path of a class.
func covers(class, path string) bool {
	rest, ok := strings.CutPrefix(path, class)
	return ok && (rest == "" || strings.HasSuffix(class, "/") || rest[0] == '/')
}

// clean says whether a path is absolute and in its shortest form; a slash at its
// end is allowed.
func clean(p string) bool {
	if !strings.HasPrefix(p, "/") || strings.Contains(p, "\\") {
		return false
	}
	short := path.Clean(p)
	return p == short || p == short+"/"
}
