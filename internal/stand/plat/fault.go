package plat

import (
	"net/http"
	"strconv"
	"time"
)

// Mode is how the platform fails.
type Mode string

// The modes.
const (
	OK    Mode = "ok"
	Down  Mode = "down"  // connections break off without an answer
	Stale Mode = "stale" // what was true when the fault was set, or before, is served for good
	Slow  Mode = "slow"  // each answer comes after a delay
)

// Fault is the fault that is set.
type Fault struct {
	Mode  Mode
	Back  int           // Stale: versions of each document to go back
	Delay time.Duration // Slow
}

// Admin returns the side that tests use: POST /fault, POST /restore and GET /calls.
//
// /fault takes mode=ok|down|stale|slow, back=VERSIONS for stale and delay=DURATION for slow. /restore takes back=VERSIONS.
func (p *Platform) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", p.serveFault)
	mux.HandleFunc("POST /restore", p.serveRestore)
	mux.HandleFunc("GET /calls", p.serveCalls)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	return mux
}

// SetFault puts a fault in place of the one that is set.
func (p *Platform) SetFault(f Fault) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fault = f
	p.staleView = nil
	if f.Mode == Stale {
		v := p.viewAt(f.Back)
		p.staleView = &v
	}
	p.notifyWatches()
	p.settings.Log.Info().Str("mode", string(f.Mode)).Msg("fault set")
}

func (p *Platform) serveFault(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	f := Fault{Mode: Mode(query.Get("mode"))}
	var err error
	switch f.Mode {
	case OK, Down:
	case Stale:
		if text := query.Get("back"); text != "" {
			f.Back, err = strconv.Atoi(text)
		}
	case Slow:
		f.Delay, err = time.ParseDuration(query.Get("delay"))
	default:
		http.Error(w, "mode: ok, down, stale or slow", http.StatusBadRequest)
		return
	}
	if err != nil || f.Back < 0 || f.Delay < 0 {
		http.Error(w, "back: versions; delay: a duration", http.StatusBadRequest)
		return
	}
	p.SetFault(f)
}

// serveRestore brings the platform back from a copy.
func (p *Platform) serveRestore(w http.ResponseWriter, r *http.Request) {
	back, err := strconv.Atoi(r.URL.Query().Get("back"))
	if err != nil || back < 0 {
		http.Error(w, "back: versions", http.StatusBadRequest)
		return
	}
	p.restore(back)
}

func (p *Platform) serveCalls(w http.ResponseWriter, _ *http.Request) {
	answer := map[string]uint64{}
	p.mutex.Lock()
	for path, n := range p.calls {
		answer[path] = n
	}
	p.mutex.Unlock()
	writeJSON(w, answer)
}
