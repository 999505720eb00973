//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"time"
)

func init() { cases["explore"] = explore }

// explore does planned work and lets servers crash and start again, at random. It is a search for broken rules and no
// case. SEED sets the plan.
func explore(w *world, _ bool) (string, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	r := rand.New(rand.NewPCG(seed, 1))
	if err := start(w, 3, []string{core, core, core, core, intake, intake, core, core}); err != nil {
		return "", err
	}
	crashed := map[*server]time.Time{}
	resets, checked := 0, 0
	end := time.Now().Add(70 * time.Second)
	w.locked(func() {
		w.onReset = func(c *caller) {
			resets++
			if c.holder.alive && time.Since(c.sentAt) < 58*time.Second && time.Since(c.lastAnswer()) < 14*time.Second {
				w.violation("FLOW", fmt.Sprintf("flow %s, open at the live server %s, is reset by the system", c.self, c.holder.id))
			}
		}
		w.onTaken = func(s *server, p *packet) {
			if c := w.callers[p.src]; c != nil {
				checked++
				if allowed := w.everAllowed[c.called.String()]; !allowed[s.service] {
					w.violation("ROUTE", fmt.Sprintf("flow %s to %s is taken by %s of %s", c.self, c.called, s.id, s.service))
				}
			}
		}
		w.load(firstRoute, 20, 66*time.Second)
		w.load(secondRoute, 6, 66*time.Second)
		for range 80 {
			w.long(r, end)
		}
	})
	version := 20
	for time.Now().Before(end.Add(-6 * time.Second)) {
		time.Sleep(time.Duration(100+r.IntN(1200)) * time.Millisecond)
		switch r.IntN(10) {
		case 0, 1:
			a := w.agents[r.IntN(len(w.agents))]
			if w.busy(a) {
				go func() { a.stopAndRestart(); w.free(a) }()
			}
		case 2:
			e := w.entries[r.IntN(len(w.entries))]
			if w.busy(e) {
				go func() { e.stopAndRestart(); w.free(e) }()
			}
		case 3, 4, 5:
			w.locked(func() {
				i := r.IntN(len(w.servers))
				s := w.servers[i]
				if !s.alive {
					return
				}
				crashed[s] = time.Now()
				same := r.IntN(2) == 0
				delay := time.Duration(50+r.IntN(2500)) * time.Millisecond
				s.crashQuietly(same, delay)
				w.after(delay, func() {
					id := s.id
					if !same {
						id = fmt.Sprintf("s%d-%d", i, time.Now().UnixMilli()%100000)
					}
					w.servers[i] = w.newServer(id, s.service, s.zone, s.machine)
					if err := w.servers[i].start(); err != nil {
						w.note("cannot start", err)
					}
				})
			})
		case 6:
			w.locked(func() {
				s := w.servers[r.IntN(len(w.servers))]
				if s.alive && s.state == "ready" {
					s.state = "draining"
					s.beat()
					w.note("server", s.id, "drains")
					w.after(5*time.Second, func() { s.state = "ready"; s.beat() })
				}
			})
		case 7:
			w.locked(func() {
				version += 1 + r.IntN(5)
				routes := map[string]string{firstRoute: core, secondRoute: intake, "198.18.0.3:8443": []string{core, intake}[r.IntN(2)]}
				w.configure(version, routes)
			})
		case 8:
			w.locked(func() { w.agents[r.IntN(len(w.agents))].signal(syscall.SIGHUP) })
		case 9:
			w.locked(func() { w.store.put(fmt.Sprintf("servers/junk-%d", r.IntN(5)), []byte("{not readable")) })
		}
	}
	time.Sleep(time.Until(end))
	return fmt.Sprintf("explored seed %d: %d flows, %d taken, %d resets of open flows", seed, len(w.all), checked, resets), nil
}

func (c *caller) lastAnswer() time.Time { return c.lastIdle }

// long keeps a flow open and sends requests on it with pauses.
func (w *world) long(r *rand.Rand, end time.Time) {
	c := w.call(addrPort([]string{firstRoute, firstRoute, secondRoute}[r.IntN(3)]), 2500*time.Millisecond, true)
	c.onAnswer = func() {
		c.lastIdle = time.Now()
		w.after(time.Duration(50+r.IntN(7000))*time.Millisecond, func() {
			if !c.over {
				c.request()
			}
		})
	}
	w.every(500*time.Millisecond, func() bool {
		if c.over && time.Now().Before(end.Add(-3*time.Second)) {
			w.long(r, end)
		}
		return !c.over
	})
}

func (w *world) busy(p *process) (ok bool) {
	w.locked(func() {
		ok = !p.taken
		p.taken = true
	})
	return ok
}

func (w *world) free(p *process) {
	time.Sleep(time.Second)
	w.locked(func() { p.taken = false })
}

// crashQuietly ends the server; its entry expires only if no server starts under its id before.
func (s *server) crashQuietly(same bool, back time.Duration) {
	s.alive = false
	s.conn.Close()
	s.w.note("server", s.id, "crashes; back after", back, "same id:", same)
	if !same || back > 3*heartbeat {
		s.w.after(3*heartbeat, func() { s.w.store.remove("servers/" + s.id) })
	}
}
