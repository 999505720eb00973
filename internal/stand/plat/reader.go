package plat

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"time"
)

// view is what a reader may see at one moment.
type view struct {
	index    uint64
	versions map[string]version
	lists    []listSnapshot
}

// Reader returns the read-only side: /documents, /documents/NAME, /watch and /instances.
func (p *Platform) Reader() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /documents", p.serveDocuments)
	mux.HandleFunc("GET /documents/{name}", p.serveDocument)
	mux.HandleFunc("GET /watch", p.serveWatch)
	mux.HandleFunc("GET /instances", p.serveInstances)
	return p.withFaults(mux)
}

// withFaults counts each call and applies the fault that is set.
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
			panic(http.ErrAbortHandler) // breaks the connection off, as a dead platform does
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

// current returns what is served now. The mutex is held.
func (p *Platform) current() view {
	if p.staleView != nil {
		return *p.staleView
	}
	return p.viewAt(0)
}

// viewAt returns each document as it was some versions ago. The mutex is held.
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

// setEra says in which era an answer is, though it may have changed since the call came. The mutex is held.
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
	_, _ = w.Write([]byte(version.text)) // a reader that went away is no fault of ours
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since: not a number", http.StatusBadRequest)
		return
	}
	era := r.URL.Query().Get("era") // missing: of a reader that knows none
	timeout := time.NewTimer(watchTimeout)
	defer timeout.Stop()
	for {
		p.mutex.Lock()
		down, served, changed := p.fault.Mode == Down, p.current(), p.changed
		eraChanged := era != "" && era != strconv.FormatUint(p.era, 10)
		p.setEra(w)
		p.mutex.Unlock()
		if down {
			panic(http.ErrAbortHandler) // a watch that was waiting breaks off as well
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
	_ = json.NewEncoder(w).Encode(answer) // a reader that went away is no fault of ours
}
