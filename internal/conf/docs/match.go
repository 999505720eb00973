package docs

import (
	"cmp"
	"path"
	"slices"
	"strings"
)

// ClassFor returns the first class whose path covers the request path. The path of a class
// covers itself and everything below it: /lookup covers /lookup/7 but not
// /lookups.
//
// A path that is not canonical has no class. A backend server may
// resolve /lookup/../claim to /claim, and a claim that is treated as an
// idempotent lookup could run twice.
func (s *Service) ClassFor(path string) (class *Class, ok bool) {
	if !isClean(path) {
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

// covers reports whether path is the path of a class or lies below it.
func covers(class, path string) bool {
	rest, ok := strings.CutPrefix(path, class)
	return ok && (rest == "" || strings.HasSuffix(class, "/") || rest[0] == '/')
}

// isClean reports whether a path is absolute and canonical, as by path.Clean. A trailing slash
// is allowed, a backslash is not.
func isClean(p string) bool {
	if !strings.HasPrefix(p, "/") || strings.Contains(p, "\\") {
		return false
	}
	short := path.Clean(p)
	return p == short || p == short+"/"
}
