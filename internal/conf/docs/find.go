package docs

import (
	"cmp"
	"path"
	"slices"
	"strings"
)

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
