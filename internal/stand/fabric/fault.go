package fabric

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// EntryStats counts the datagrams of one entry.
type EntryStats struct {
	Toward uint64 `json:"toward"`
	Back   uint64 `json:"back"`
}

// Stats counts what the fabric did.
type Stats struct {
	Callers       int                        `json:"callers"` // known now
	Refused       uint64                     `json:"refused"` // datagrams of callers over the bound
	DroppedToward uint64                     `json:"droppedToward"`
	DroppedBack   uint64                     `json:"droppedBack"`
	Entries       map[netip.Addr]*EntryStats `json:"entries"`
}

// of returns the counts of an entry. Only entries of the plan are asked for, which bounds the map.
func (s *Stats) of(entry netip.Addr) *EntryStats {
	c := s.Entries[entry]
	if c == nil {
		c = &EntryStats{}
		s.Entries[entry] = c
	}
	return c
}

// SetEntries puts other entries in place of those that datagrams go to.
func (f *Fabric) SetEntries(entries []netip.Addr) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.plan.entries = entries
}

// SetLoss sets the loss at one entry.
func (f *Fabric) SetLoss(c Loss) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.plan.cuts[c.Entry] = c
}

// SetPartition parts callers and entries; no sides end the partition.
func (f *Fabric) SetPartition(sides []Side) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.plan.sides = sides
}

// Admin returns the side that tests use.
//
//	POST /entries?set=127.0.1.1,127.0.1.2   the entries that datagrams go to
//	POST /fault?entry=127.0.1.1&toward=1&back=0.5   loss at one entry, by direction
//	POST /partition   JSON [{"networks":["127.0.50.0/24"],"entries":["127.0.1.1"]}]; [] ends it
//	GET /stats
func (f *Fabric) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /entries", f.serveEntries)
	mux.HandleFunc("POST /fault", f.serveFault)
	mux.HandleFunc("POST /partition", f.servePartition)
	mux.HandleFunc("GET /stats", f.serveStats)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	return mux
}

func (f *Fabric) serveEntries(w http.ResponseWriter, r *http.Request) {
	var entries []netip.Addr
	for _, text := range strings.Split(r.URL.Query().Get("set"), ",") {
		entry, err := netip.ParseAddr(text)
		if err != nil {
			http.Error(w, "set: "+err.Error(), http.StatusBadRequest)
			return
		}
		entries = append(entries, entry)
	}
	f.SetEntries(entries)
}

func (f *Fabric) serveFault(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	entry, err := netip.ParseAddr(query.Get("entry"))
	if err != nil {
		http.Error(w, "entry: "+err.Error(), http.StatusBadRequest)
		return
	}
	toward, towardErr := share(query.Get("toward"))
	back, backErr := share(query.Get("back"))
	if err := errors.CombineErrors(towardErr, backErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.SetLoss(Loss{Entry: entry, Toward: toward, Back: back})
}

func share(text string) (float64, error) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || n < 0 || n > 1 {
		return 0, errors.Newf("%q is no share from 0 to 1", text)
	}
	return n, nil
}

func (f *Fabric) servePartition(w http.ResponseWriter, r *http.Request) {
	var sides []Side
	if err := json.NewDecoder(r.Body).Decode(&sides); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.SetPartition(sides)
}

func (f *Fabric) serveStats(w http.ResponseWriter, _ *http.Request) {
	f.mutex.Lock()
	answer := f.stats
	answer.Callers = len(f.callers)
	text, err := json.Marshal(answer)
	f.mutex.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(text) // a reader that went away is no fault of ours
}
