//go:build review

package main

import (
	"syscall"
	"time"
)

const (
	warmUpPerSecond = 60
	warmUpExcess    = 1.5 // warmup_excess
	warmUpSlack     = 5   // warmup_slack
	drainBound      = 3 * time.Second
	restartDelay    = 500 * time.Millisecond
)

// coldAgentKilled replaces the only server of doc-intake by two new ones, which are cold, while many requests come, and
// kills the agent beside the first of them four times. The platform starts it again after a short delay.
func coldAgentKilled(w *world) (broken bool, err error) {
	const (
		perSecond = 800
		coldFor   = 25 * time.Second
		kills     = 4
	)
	w.addEntries(2)
	_, old := w.addServer("doc-intake", 5*time.Millisecond, 0)
	intake := w.newRoute(1, "doc-intake", 8*time.Second, 500*time.Millisecond)
	stated := service("doc-intake")
	stated["warmup_s"], stated["warmup_per_s"] = coldFor.Seconds(), warmUpPerSecond
	w.configure([]route{intake}, stated)
	if err := w.startAll(); err != nil {
		return false, err
	}
	end := time.Now().Add(stableWindow + 22*time.Second)
	go w.load(intake, perSecond, end)
	time.Sleep(stableWindow)
	var agents []*process
	var cold []*server
	for range 2 {
		p, s := w.addServer("doc-intake", 5*time.Millisecond, coldFor)
		if err := s.start(); err != nil {
			return false, err
		}
		if err := w.start(p); err != nil {
			return false, err
		}
		agents, cold = append(agents, p), append(cold, s)
	}
	time.Sleep(time.Second)
	old.drain()
	time.AfterFunc(drainBound+500*time.Millisecond, old.stop)
	for range kills {
		time.Sleep(3 * time.Second)
		if err := w.killWhenUsedUp(agents[0], cold[0], end); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(end) + time.Second)
	for _, s := range cold {
		broken = w.checkCold(s) || broken
	}
	return broken, nil
}

// killWhenUsedUp kills an agent when its server has just taken most of what it bears in a second, and starts the agent
// again after restartDelay.
func (w *world) killWhenUsedUp(p *process, s *server, end time.Time) error {
	for s.takenSince(time.Now().Add(-200*time.Millisecond)) < warmUpPerSecond*9/10 {
		if time.Now().After(end) {
			return nil
		}
		time.Sleep(2 * time.Millisecond)
	}
	if !w.trouble {
		return nil
	}
	p.signal(syscall.SIGKILL)
	<-p.exited
	time.Sleep(restartDelay)
	return w.start(p)
}

func (s *server) takenSince(at time.Time) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.taken {
		if o.arrived.After(at) {
			n++
		}
	}
	return n
}

// checkCold reports whether a cold server got more requests in any second than the rule allows. Counted are requests
// that were sent and arrived inside that second.
func (w *world) checkCold(s *server) (broken bool) {
	const limit = warmUpPerSecond*warmUpExcess + warmUpSlack
	s.mu.Lock()
	defer s.mu.Unlock()
	most, at := 0, time.Time{}
	for _, from := range s.taken {
		n := 0
		for _, o := range s.taken {
			if o.cold && !o.sent.Before(from.sent) && o.arrived.Before(from.sent.Add(time.Second)) {
				n++
			}
		}
		if n > most {
			most, at = n, from.sent
		}
	}
	for _, o := range s.taken {
		w.rec.line("server on %s took an opening packet: sent at %.3f, arrived at %.3f, cold: %v", s.name, o.sent.Sub(w.rec.began).Seconds(),
			o.arrived.Sub(w.rec.began).Seconds(), o.cold)
	}
	w.rec.say("server %s on %s: %d requests while cold, at most %d in one second, from %.3f s on; allowed are %.0f", s.id, s.name, len(s.taken), most,
		at.Sub(w.rec.began).Seconds(), limit)
	return float64(most) > limit
}
