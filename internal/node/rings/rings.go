// Package rings brings a service document and the keys of one process together.
//
// A document names keys, settings hold their material. A document that names a key
// this process does not hold is an error of the deployment, found here and nowhere
// else, so that entry and agent say the same of it.
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

// ErrKey says that a document names a key that the settings do not hold.
var ErrKey = errors.New("key is not in the settings")

// New derives the ring of a service. It returns ErrKey if the current key is not
// held; a former key not held is left out, since its flows end by themselves.
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
