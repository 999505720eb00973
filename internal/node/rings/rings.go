// Package rings creates key rings from a service document and the keys of the process.
//
// A document names keys, and the settings hold their material. A document that names a key the process
// lacks is a deployment error. It is detected only here, so that entries and agents report it alike.
//
// # Usage
//
//	ring, err := rings.New(settings.Keys, service)
package rings

import (
	"github.com/cockroachdb/errors"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/conf/prefs"
	"mangowinch/internal/flow/ident"
)

// ErrKey is returned if a document names a key that the settings lack.
var ErrKey = errors.New("key is not in the settings")

// New returns the key ring of a service. It returns ErrKey if the settings lack the current key. A former
// key that they lack is left out, since the flows that use it end by themselves.
func New(keys map[string]prefs.Key, s *docs.Service) (ring *ident.Ring, err error) {
	defer func() { err = errors.Wrapf(err, "keys of service %q", s.Name) }()
	current, ok := keys[s.Current]
	if !ok {
		return nil, errors.Wrapf(ErrKey, "key %q", s.Current)
	}
	var former []ident.Secret
	for _, name := range s.Former {
		if k, ok := keys[name]; ok {
			former = append(former, ident.Secret{Name: name, Material: k})
		}
	}
	return ident.NewRing(s.Name, ident.Secret{Name: s.Current, Material: current}, former...)
}
