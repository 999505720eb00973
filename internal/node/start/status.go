package start

import (
	"cmp"
	"slices"
	"time"

	"mangowinch/internal/conf/store"
	"mangowinch/internal/flow/order"
)

// Process is the section of /status on the process.
type Process struct {
	Name    string    `json:"name"`
	Role    string    `json:"role"`
	Domain  string    `json:"domain"` // failure domain
	Version string    `json:"version"`
	Since   time.Time `json:"since"`
}

// Document is one document in /status.
type Document struct {
	Name     string         `json:"name"`
	Revision order.Revision `json:"revision"` // in force; 0 if none is
	Source   string         `json:"source,omitempty"`
	Since    time.Time      `json:"since,omitzero"`
	Fault    string         `json:"fault,omitempty"` // why a newer revision is not in force
	Refused  order.Revision `json:"refused,omitempty"`
}

func listDocuments(v *store.View) (list []Document) {
	for _, e := range v.Documents {
		d := Document{Name: e.Name, Revision: e.Revision, Source: e.Source, Since: e.At}
		if f := v.Faults[e.Name]; f != nil {
			d.Fault, d.Refused = f.Reason, f.Revision
		}
		list = append(list, d)
	}
	for _, f := range v.Faults {
		if v.Documents[f.Name] == nil {
			list = append(list, Document{Name: f.Name, Fault: f.Reason, Refused: f.Revision})
		}
	}
	slices.SortFunc(list, func(a, b Document) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
