//go:build review

package main

import (
	"fmt"
	"net/netip"
	"time"
)

var cases = map[string]play{
	"large-entries": largeEntries,
	"unnamed-state": unnamedState,
	"other-service": otherService,
	"roll-agents":   rollAgents,
}

const (
	firstRoute  = "198.18.0.1:8443"
	secondRoute = "198.18.0.2:8443"
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

// otherService: other software on the servers' machines has entries too, of a service that no configuration names. All
// machines lose power and come back, and the other software registers after the servers.
func otherService(w *world, trouble bool) (string, error) {
	others := func(run string, machine netip.Addr, i int) {
		if !trouble {
			return
		}
		id := fmt.Sprintf("servers/watch-%d-%s", i, run)
		w.store.put(id, encode(map[string]any{
			"service": "disk-watch", "addr": netip.AddrPortFrom(machine, w.ports.app+50).String(), "zone": zones[i%len(zones)], "version": "v7",
			"slots": 1, "state": "ready", "warmup_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
		}))
		w.note("the entry", id, "of service disk-watch is written")
	}
	for i := range 6 {
		others("a", w.addr(2, byte(i+1)), i) // the servers start after it
	}
	if err := start(w, 3, []string{core, core, core, intake, intake, intake}); err != nil {
		return "", err
	}
	var before, after []*caller
	w.locked(func() {
		w.every(50*time.Millisecond, func() bool {
			c := w.call(addrPort([]string{firstRoute, secondRoute}[len(w.all)%2]), 2500*time.Millisecond, false)
			before = append(before, c)
			return len(before) < 80
		})
	})
	time.Sleep(5 * time.Second)
	w.locked(func() {
		w.note("all machines lose power")
		for _, p := range append(append([]*process{}, w.entries...), w.agents...) {
			p.kill()
		}
		for _, s := range w.servers {
			s.crash()
		}
	})
	time.Sleep(time.Second)
	var back time.Time
	w.locked(func() {
		for i, s := range w.servers {
			w.servers[i] = w.newServer(fmt.Sprintf("s%d-b", i), s.service, s.zone, s.machine)
			if err := w.servers[i].start(); err != nil {
				w.note("cannot start", err)
			}
		}
		for _, p := range append(append([]*process{}, w.entries...), w.agents...) {
			if err := p.start(); err != nil {
				w.note("cannot start", err)
			}
		}
		back = time.Now()
		w.note("all machines are back")
		w.after(3*heartbeat, func() {
			for i, a := range w.agents {
				w.store.remove(fmt.Sprintf("servers/watch-%d-a", i))
				others("b", a.machine, i)
			}
		})
	})
	time.Sleep(recoverBound)
	w.locked(func() {
		w.every(50*time.Millisecond, func() bool {
			c := w.call(addrPort([]string{firstRoute, secondRoute}[len(w.all)%2]), 2500*time.Millisecond, false)
			after = append(after, c)
			return len(after) < 120
		})
	})
	time.Sleep(9 * time.Second)
	text := ""
	w.locked(func() {
		servedBefore, servedAfter := countServed(before), countServed(after)
		text = fmt.Sprintf("RECOVER: before the fault %d of %d requests were served; of those sent more than %s after all machines were back, %d of %d", servedBefore, len(before), recoverBound, servedAfter, len(after))
		if 4*servedBefore >= len(before) && 4*servedAfter < len(after) && after[0].sentAt.Sub(back) > recoverBound {
			w.violation("RECOVER", text)
		}
	})
	return text, nil
}

// countServed returns how many of the callers got an answer.
func countServed(list []*caller) (n int) {
	for _, c := range list {
		if c.answeredTotal > 0 {
			n++
		}
	}
	return n
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
	for i := range 10 {
		if trouble {
			w.agents[i].stopAndRestartAfter(1500 * time.Millisecond)
		} else {
			time.Sleep(3 * time.Second)
		}
	}
	time.Sleep(3 * time.Second)
	return fmt.Sprintf("FLOW: of %d open flows, %d at live servers were reset by the system", open, reset), nil
}
