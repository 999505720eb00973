//go:build review

package main

import (
	"fmt"
	"time"
)

var cases = map[string]play{
	"large-entries": largeEntries,
	"unnamed-state": unnamedState,
	"roll-agents":   rollAgents,
	"next-service":  nextService,
}

const (
	firstRoute  = "127.250.0.1:8443"
	secondRoute = "127.250.0.2:8443"
	core        = "tracing-core"
	intake      = "doc-intake"
)

// start starts the deployment with its first configuration.
func start(w *world, entries int, services []string) error {
	w.configure(5, map[string]string{firstRoute: core, secondRoute: intake})
	if err := w.deploy(entries, services); err != nil {
		return err
	}
	return w.waitReady()
}

// load opens flows to an address for a time, one request each.
func (w *world) load(called string, perSecond int, d time.Duration) {
	end := time.Now().Add(d)
	w.every(time.Second/time.Duration(perSecond), func() bool {
		w.call(addrPort(called), 2500*time.Millisecond, false)
		return time.Now().Before(end)
	})
}

// largeEntries: another writer leaves unreadable entries of the largest size, and then a route goes to another service.
func largeEntries(w *world, trouble bool) (string, error) {
	if err := start(w, 2, []string{core, core, core, intake, intake}); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	var confirmed time.Time
	late, judgedLate := 0, 0
	w.locked(func() {
		w.load(firstRoute, 20, 16*time.Second)
		w.onTaken = func(s *server, p *packet) {
			c := w.callers[p.src]
			if confirmed.IsZero() || c == nil || c.called.String() != firstRoute || c.sentAt.Sub(confirmed) <= configBound {
				return
			}
			judgedLate++
			if s.service == core {
				late++
				w.violation("CONFIG", fmt.Sprintf("a request of flow %s, sent %s after the confirmation, goes to the old service", c.self, c.sentAt.Sub(confirmed)))
			}
		}
	})
	time.Sleep(2 * time.Second)
	w.locked(func() {
		for i := range 5 {
			size := 1 << 20
			if !trouble {
				size = 100
			}
			junk := make([]byte, size)
			for j := range junk {
				junk[j] = byte(j * 7)
			}
			w.store.put(fmt.Sprintf("servers/other-%d", i), junk)
			w.note("another writer leaves the entry", i, "of", size, "bytes")
		}
	})
	time.Sleep(time.Second)
	w.locked(func() { confirmed = w.configure(9, map[string]string{firstRoute: intake, secondRoute: intake}) })
	time.Sleep(13 * time.Second)
	var text string
	w.locked(func() {
		text = fmt.Sprintf("CONFIG: of %d requests sent more than %s after the confirmation, %d went to the old service", judgedLate, configBound, late)
		w.note("calls to the store:", w.store.calls)
	})
	if judgedLate == 0 {
		return "", fmt.Errorf("no server took a request that could be judged")
	}
	return text, nil
}

// unnamedState: some seconds after a rolling restart of the agents, the entry of one server comes from another writer
// once, with a state that isn't named. The server lives on, and so do its flows.
func unnamedState(w *world, trouble bool) (string, error) {
	if err := start(w, 3, []string{core, core, core, core, core}); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	w.locked(func() {
		for i := range 100 {
			w.after(time.Duration(i)*15*time.Millisecond, func() { w.call(addrPort(firstRoute), 2500*time.Millisecond, true) })
		}
	})
	time.Sleep(2 * time.Second)
	for _, a := range w.agents {
		a.stopAndRestart()
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	target := w.servers[2]
	open, reset := 0, 0
	w.locked(func() {
		w.onReset = func(c *caller) {
			if c.holder.alive {
				reset++
				w.violation("FLOW", fmt.Sprintf("flow %s, open at the live server %s, is reset by the system", c.self, c.holder.id))
			}
		}
		if trouble {
			entry := target.entry()
			entry["state"] = "paused"
			w.store.put("servers/"+target.id, encode(entry))
			w.note("another writer sets the state of", target.id)
		}
		w.after(100*time.Millisecond, func() {
			for i, c := range w.all {
				if !c.open || c.over {
					continue
				}
				if c.holder == target {
					open++
				}
				w.after(time.Duration(i)*3*time.Millisecond, c.request)
			}
		})
	})
	time.Sleep(4 * time.Second)
	if open == 0 {
		return "", fmt.Errorf("no flow is open at %s", target.id)
	}
	return fmt.Sprintf("FLOW: %d flows were open at %s; %d flows at live servers were reset by the system", open, target.id, reset), nil
}

// rollAgents: in a deployment of 72 machines the agents' machines are stopped and started in turn, while callers use
// their open flows. Each process starts again 1.5 s after its end.
func rollAgents(w *world, trouble bool) (string, error) {
	var services []string
	for i := range 52 {
		services = append(services, []string{core, core, core, core, intake}[i%5])
	}
	if err := start(w, 20, services); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	reset, open := 0, 0
	w.locked(func() {
		w.onReset = func(c *caller) {
			if c.holder.alive {
				reset++
				w.violation("FLOW", fmt.Sprintf("flow %s, open at the live server %s, is reset by the system", c.self, c.holder.id))
			}
		}
		for i := range 600 {
			w.after(time.Duration(i)*5*time.Millisecond, func() {
				c := w.call(addrPort(firstRoute), 2500*time.Millisecond, true)
				c.onAnswer = func() {
					w.after(400*time.Millisecond, func() {
						if !c.over && time.Since(c.sentAt) < 50*time.Second {
							c.request()
						}
					})
				}
			})
		}
	})
	time.Sleep(5 * time.Second)
	w.locked(func() {
		for _, c := range w.all {
			if c.open && !c.over {
				open++
			}
		}
	})
	for i := range 20 {
		if trouble {
			w.agents[i].stopAndRestartAfter(1500 * time.Millisecond)
		} else {
			time.Sleep(1700 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	return fmt.Sprintf("FLOW: of %d open flows, %d at live servers were reset by the system", open, reset), nil
}

// nextService: one after the other, a second apart, the only servers of small services fall silent for good, and servers
// of a large one start at their addresses after the shortest pause, beside the same agents. The agents' settings change
// lag later.
func nextService(w *world, trouble bool) (string, error) {
	const (
		lag   = 100 * time.Millisecond
		small = 18
	)
	routes := map[string]string{firstRoute: core}
	services := []string{core, core, core}
	for i := range small {
		routes[smallRoute(i)] = fmt.Sprintf("small-%d", i)
		services = append(services, routes[smallRoute(i)])
	}
	w.configure(5, routes)
	if err := w.deploy(3, services); err != nil {
		return "", err
	}
	if err := w.waitReady(); err != nil {
		return "", err
	}
	judged := 0
	w.locked(func() {
		w.onRan = func(s *server, f *served, id string) {
			judged++
			if called := f.called.String(); !w.everAllowed[called][s.service] {
				w.violation("ROUTE", fmt.Sprintf("request %s to %s, a route of %s, is run by %s of %s", id, called, w.routes[called], s.id, s.service))
			}
		}
		w.load(firstRoute, 20, 24*time.Second)
		for i := range small {
			w.load(smallRoute(i), 10, 24*time.Second)
		}
	})
	for i := range small {
		time.Sleep(time.Second)
		w.locked(func() { w.replace(w.agents[3+i], 3+i, core, trouble, lag) })
	}
	time.Sleep(6 * time.Second)
	return fmt.Sprintf("ROUTE: of %d requests, %d were run by a service to which no configuration ever sent them", judged, len(w.violations)), nil
}

// replace ends a server and starts one of another service at its address. The settings of the agent change at the same
// moment, or lag later.
func (w *world) replace(agent *process, at int, service string, late bool, lag time.Duration) {
	old := w.servers[at]
	old.fallSilent()
	next := w.newServer(fmt.Sprintf("s%d-b", at), service, old.zone, old.machine)
	next.coldFor = 2 * time.Second
	w.servers[at] = next
	change := func() {
		agent.settings["service"] = service
		if err := agent.render(); err != nil {
			w.note("cannot write settings", err)
		}
		w.note("the settings of", agent.name, "change to", service)
	}
	w.after(addrReuse, func() {
		if late {
			w.after(lag, change)
		} else {
			change()
		}
		old.conn.Close()
		if err := next.start(); err != nil {
			w.note("cannot start", err)
		}
	})
}

func smallRoute(i int) string { return fmt.Sprintf("127.250.0.%d:8443", 10+i) }
