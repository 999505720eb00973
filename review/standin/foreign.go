//go:build review

package main

import (
	"fmt"
	"net/netip"
	"time"
)

const (
	configBound  = 3 * time.Second // config_ms
	stableWindow = 4 * time.Second // stable_window_ms
)

// foreignEntries plays entries of another writer in the store. They are about a service that runs on the machines
// of doc-intake and that no configuration names. The servers of doc-intake and their own entries stay as they are.
func foreignEntries(w *world) (broken bool, err error) {
	const perSecond = 20
	w.addEntries(2)
	for range 2 {
		w.addServer("tracing-core", 30*time.Millisecond, 0)
	}
	for range 3 {
		w.addServer("doc-intake", 5*time.Millisecond, 0)
	}
	tracing := w.newRoute(1, "tracing-core", 3*time.Second, 200*time.Millisecond)
	intake := w.newRoute(2, "doc-intake", 8*time.Second, 500*time.Millisecond)
	added := w.newRoute(3, "doc-intake", 8*time.Second, 500*time.Millisecond)
	services := []map[string]any{service("tracing-core"), service("doc-intake")}
	w.configure([]route{tracing, intake}, services...)
	if err := w.startAll(); err != nil {
		return false, err
	}
	end := time.Now().Add(stableWindow + 14*time.Second)
	go w.load(tracing, perSecond, end)
	go w.load(intake, perSecond, end)
	time.Sleep(stableWindow + 2*time.Second)

	if w.trouble {
		w.writeForeignEntries("doc-intake")
	}
	time.Sleep(time.Second)
	confirmed := w.configure([]route{tracing, intake, added}, services...)
	go w.load(added, perSecond, end)
	time.Sleep(time.Until(end) + 2*time.Second)
	return w.checkRoutes(confirmed.Add(configBound), []route{tracing, intake, added}), nil
}

func service(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false}
}

// writeForeignEntries writes an entry for each machine with a server of a service, as another writer does: about a
// service that isn't named in the configuration, at another port of the machine.
func (w *world) writeForeignEntries(beside string) {
	for i, s := range w.servers {
		if s.service != beside {
			continue
		}
		entry := map[string]any{
			"service": "node-metrics", "addr": netip.AddrPortFrom(s.app.Addr(), 9100).String(), "zone": s.zone, "version": "v3", "slots": 1,
			"state": "ready", "warmup_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
		}
		w.store.put(fmt.Sprintf("servers/m-%d", i), entry)
		w.rec.line("another writer: the store has confirmed the entry servers/m-%d of node-metrics at %s", i, entry["addr"])
	}
}

// checkRoutes counts the requests on each route that were sent after a time, and reports whether any was refused or
// had no response although the route was there: no server began to work on it, and it had its whole time.
func (w *world) checkRoutes(after time.Time, routes []route) (broken bool) {
	for _, r := range routes {
		served, refusals := 0, 0
		for _, q := range w.consumers.ended() {
			if q.route != r || q.sent.Before(after) {
				continue
			}
			switch {
			case q.outcome == answered:
				served++
			case (q.outcome == refused || q.outcome == unopened) && len(w.rec.runsOf(q.attempt)) == 0:
				refusals++
			}
		}
		w.rec.say("route %s to %s, from %.3f s on: %d served, %d refused or without response though the route is there", r.name, r.service,
			after.Sub(w.rec.began).Seconds(), served, refusals)
		broken = broken || refusals > 0
	}
	return broken
}
