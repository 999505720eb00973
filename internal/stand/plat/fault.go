package plat

import (
	"net/http"
	"strconv"
	"time"
)

// Mode is the way in which the platform fails.
type Mode string

// The modes.
const (
	OK    Mode = "ok"
	Down  Mode = "down"  // connections are closed without a response
	Stale Mode = "stale" // serves the state as of the time the fault was set, or earlier, until the fault changes
	Slow  Mode = "slow"  // delays each response
)

// Fault is a fault of the platform.
type Fault struct {
	Mode  Mode
	Back  int           // for Stale: how many versions each document goes back
	Delay time.Duration // for Slow
}

// Admin returns the handler for tests: POST /fault, POST /restore, GET /calls and GET /healthz.
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

// SetFault replaces the current fault.
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
		http.Error(w, "mode must be ok, down, stale or slow", http.StatusBadRequest)
		return
	}
	if err != nil || f.Back < 0 || f.Delay < 0 {
		http.Error(w, "back must be a number of versions and delay a duration; neither may be negative", http.StatusBadRequest)
		return
	}
	p.SetFault(f)
}

// serveRestore restores the platform from a backup.
func (p *Platform) serveRestore(w http.ResponseWriter, r *http.Request) {
	back, err := strconv.Atoi(r.URL.Query().Get("back"))
	if err != nil || back < 0 {
		http.Error(w, "back must be a number of versions, not negative", http.StatusBadRequest)
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
