//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyKept is how long the store keeps its history (history_s of the small deployments).
const historyKept = 20 * time.Second

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"` // JSON writes it as standard base64 text
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
	at       time.Time
}

// store is a stand-in of the platform's metadata store. It answers reads over HTTP; the stand-ins of the
// operator and of the servers write by its methods.
type store struct {
	mu        sync.Mutex
	revision  uint64
	compacted uint64 // history up to this revision is gone
	items     map[string]item
	history   []item
	changed   chan struct{}
	calls     map[string]int
	server    *http.Server
}

func newStore(l net.Listener) *store {
	s := &store{revision: 10, compacted: 10, items: map[string]item{}, changed: make(chan struct{}), calls: map[string]int{}}
	s.server = &http.Server{Handler: s}
	go s.server.Serve(l)
	return s
}

// put writes an item and returns the time of the confirmation.
func (s *store) put(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, at: time.Now()}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.record(i)
	return time.Now()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Deleted: true, at: time.Now()})
}

// value returns what an item holds, nil if there is none.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *store) record(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// forget drops the history that is older than historyKept. s.mu is held.
func (s *store) forget() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyKept {
		s.compacted = s.history[0].Revision
		s.history = s.history[1:]
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	s.calls[r.URL.Path]++
	s.mu.Unlock()
	switch r.URL.Path {
	case "/kv-range":
		s.list(w, r)
	case "/kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// list answers with a page of at most 500 items or 1 MB.
func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	page, size := []item{}, 0
	for _, k := range keys {
		i := s.items[k]
		if len(page) > 0 && (len(page) == 500 || size+len(i.Value) > 1<<20) {
			break
		}
		page, size = append(page, i), size+len(i.Value)
	}
	answer(w, map[string]any{"items": page, "truncated": len(page) < len(keys), "current_rev": s.revision})
}

// watch answers with all changes after a revision, as soon as there is one.
func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		s.forget()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		gone, changed, revision := after < s.compacted, s.changed, s.revision
		s.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || ended:
			answer(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-end:
			ended = true
		case <-changed:
		}
	}
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
