package plat

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"time"
)

// view is the state that readers see at one point in time.
type view struct {
	index    uint64
	versions map[string]version
	lists    []listSnapshot
}

// Reader returns the read-only handler: /documents, /documents/NAME, /watch and /instances.
func (p *Platform) Reader() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /documents", p.serveDocuments)
	mux.HandleFunc("GET /documents/{name}", p.serveDocument)
	mux.HandleFunc("GET /watch", p.serveWatch)
	mux.HandleFunc("GET /instances", p.serveInstances)
	return p.withFaults(mux)
}

// withFaults counts each call and applies the current fault.
func (p *Platform) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mutex.Lock()
		if _, known := p.calls[r.URL.Path]; known || len(p.calls) < maxCountedPaths {
			p.calls[r.URL.Path]++
		}
		fault := p.fault
		p.mutex.Unlock()
		switch fault.Mode {
		case Down:
			panic(http.ErrAbortHandler) // closes the connection, as when the platform's process dies
		case Slow:
			select {
			case <-r.Context().Done():
				return
			case <-time.After(fault.Delay):
			}
		}
		next.ServeHTTP(w, r)
	})
}

// current returns the view that is served now. The mutex is held.
func (p *Platform) current() view {
	if p.staleView != nil {
		return *p.staleView
	}
	return p.viewAt(0)
}

// viewAt returns the view in which each document is the given number of versions old. The mutex is held.
func (p *Platform) viewAt(back int) view {
	v := view{index: p.index, versions: map[string]version{}, lists: p.lists}
	for name, kept := range p.versions {
		v.versions[name] = kept[max(0, len(kept)-1-back)]
	}
	return v
}

func (v view) documents() Documents {
	answer := Documents{Index: v.index, Documents: []Document{}}
	for name, version := range v.versions {
		answer.Documents = append(answer.Documents, Document{Name: name, Revision: version.revision})
	}
	sort.Slice(answer.Documents, func(i, j int) bool {
		return answer.Documents[i].Name < answer.Documents[j].Name
	})
	return answer
}

func (p *Platform) serveDocuments(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	answer := p.current().documents()
	p.setEra(w)
	p.mutex.Unlock()
	writeJSON(w, answer)
}

// setEra sets the response's Era header. The mutex is held, from the reading of the state that the response reports: the
// era may have changed since the request arrived.
func (p *Platform) setEra(w http.ResponseWriter) {
	w.Header().Set("Era", strconv.FormatUint(p.era, 10))
}

func (p *Platform) serveDocument(w http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	version, ok := p.current().versions[r.PathValue("name")]
	p.setEra(w)
	p.mutex.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Revision", strconv.FormatUint(version.revision, 10))
	_, _ = w.Write([]byte(version.text)) // fails only if the reader has disconnected
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since must be a number", http.StatusBadRequest)
		return
	}
	era := r.URL.Query().Get("era") // empty if the reader knows none
	timeout := time.NewTimer(watchTimeout)
	defer timeout.Stop()
	for {
		p.mutex.Lock()
		down, served, changed := p.fault.Mode == Down, p.current(), p.changed
		eraChanged := era != "" && era != strconv.FormatUint(p.era, 10)
		p.setEra(w)
		p.mutex.Unlock()
		if down {
			panic(http.ErrAbortHandler) // pending watches are closed as well
		}
		if served.index > since || eraChanged {
			writeJSON(w, served.documents())
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			writeJSON(w, served.documents())
			return
		}
	}
}

func (p *Platform) serveInstances(w http.ResponseWriter, _ *http.Request) {
	asOf := time.Now().Add(-p.settings.Lag)
	answer := Instances{Instances: []Instance{}}
	p.mutex.Lock()
	for i, l := range p.current().lists {
		if i > 0 && l.at.After(asOf) {
			break
		}
		answer = l.list
	}
	p.mutex.Unlock()
	writeJSON(w, answer)
}

func writeJSON(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // fails only if the reader has disconnected
}
