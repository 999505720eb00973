//go:build review

package main

import (
	"time"
)

// fullServer plays bursts: for burstFor, burstFactor times as many requests come as before. The servers get full and
// reject requests, also uploads whose rest is still to come. Nothing else happens.
func fullServer(w *world) (broken bool, err error) {
	const (
		sessions    = 40
		asks        = 29 // requests a second on sessions
		uploads     = 10 // uploads a second
		burstFactor = 1.7
		burstFor    = 3 * time.Second
		bursts      = 6
	)
	w.clientDelay = 3 * time.Millisecond
	w.addEntries(2)
	for range 2 {
		_, s := w.addServer("dossier-desk", 150*time.Millisecond, 0)
		s.slots, s.queued, s.spread = 4, 4, 0.5
	}
	status := w.newRoute(1, "dossier-desk", 3*time.Second, 200*time.Millisecond)
	doc := w.newRoute(2, "dossier-desk", 8*time.Second, 500*time.Millisecond)
	w.priorities = map[string]int{status.name: 2, doc.name: 1}
	w.configure([]route{status, doc}, service("dossier-desk"))
	if err := w.startAll(); err != nil {
		return false, err
	}
	var list []*session
	for range sessions {
		list = append(list, w.consumers.openSession(status))
		time.Sleep(20 * time.Millisecond)
	}
	w.press(list, doc, asks, uploads, time.Now().Add(stableWindow+4*time.Second))
	for range bursts {
		factor := 1.0
		if w.trouble {
			factor = burstFactor
		}
		w.rec.line("for %s, the requests are %.1f times those before", burstFor, factor)
		w.press(list, doc, asks*factor, uploads*factor, time.Now().Add(burstFor))
		w.rec.line("the load is as before")
		w.press(list, doc, asks, uploads, time.Now().Add(burstFor))
	}
	time.Sleep(time.Second)
	return w.checkSessions(list), nil
}

// press sends evenly spaced requests on sessions in turn, and uploads, until end.
func (w *world) press(list []*session, doc route, asks, uploads float64, end time.Time) {
	began, asked, uploaded := time.Now(), 0, 0
	for time.Now().Before(end) {
		elapsed := time.Since(began).Seconds()
		for ; float64(asked) < elapsed*asks; asked++ {
			w.consumers.ask(list[(w.turn)%len(list)])
			w.turn++
		}
		for ; float64(uploaded) < elapsed*uploads; uploaded++ {
			w.consumers.beginUpload(doc)
		}
		time.Sleep(time.Millisecond)
	}
}

// checkSessions reports whether a session was reset while its server lives, holds its flow and has not reset it.
func (w *world) checkSessions(list []*session) (broken bool) {
	served, refusals, rejected, resets := 0, 0, 0, 0
	for _, f := range list {
		served += f.served
		refusals += f.refused
	}
	for _, s := range w.servers {
		rejected += s.rejected
		resets += s.resets
	}
	held := 0
	for _, k := range w.consumers.broken {
		for _, s := range w.servers {
			if s.holds(k) {
				held++
			}
		}
	}
	w.rec.say("sessions: %d requests served, %d answered as not executed; uploads: %v", served, refusals, w.consumers.outcomes)
	w.rec.say("servers rejected %d requests and sent %d resets on flows that they had ended", rejected, resets)
	w.rec.say("%d of %d sessions got a reset on their open flow; %d of those flows are still open at their server, which sent none on them", len(w.consumers.broken), len(list), held)
	return held > 0
}
