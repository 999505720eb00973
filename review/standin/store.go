//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's store, read over HTTP as PROTOCOL.md says. It is never impaired.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"` // JSON shows it as base64
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// pageItems is the number of items on a page of a listing.
const pageItems = 500

func newStore() *store {
	return &store{revision: 10, items: map[string]storeItem{}, changed: make(chan struct{})}
}

// put writes an item and returns when it is confirmed.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := storeItem{Key: key, Value: text, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.record(i)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(storeItem{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) record(i storeItem) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the three reading calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/kv-key":
		s.mu.Lock()
		i, ok := s.items[q.Get("key")]
		rev := s.revision
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": 0, "current_rev": rev})
	case "/kv-range":
		reply(w, s.page(q.Get("prefix"), q.Get("after")))
	case "/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.watch(w, r, q.Get("prefix"), after, time.Duration(min(wait, 30_000))*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) page(prefix, after string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	list := []storeItem{}
	for _, k := range keys[:min(len(keys), pageItems)] {
		list = append(list, s.items[k])
	}
	return map[string]any{"items": list, "truncated": len(keys) > pageItems, "current_rev": s.revision}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		changed, rev := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, map[string]any{"events": events, "current_rev": rev})
			return
		}
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the caller may have gone
}
