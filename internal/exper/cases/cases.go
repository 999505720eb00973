package cases

import (
	"time"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/exper/fakes"
)

// connections is how many callers' connections each server's agent holds.
const connections = 2000

// Service is the size of a service.
type Service struct {
	Name                               string
	Servers, Slots, Domains            int
	IntraDomainDelay, InterDomainDelay time.Duration // one way within a failure domain, between two
}

// Today's services.
var (
	TracingCore = Service{"tracing-core", 7, 4, 3, 100 * time.Microsecond, 500 * time.Microsecond}
	DocIntake   = Service{"doc-intake", 3, 4, 3, 100 * time.Microsecond, 500 * time.Microsecond}
	DossierDesk = Service{"dossier-desk", 7, 5, 4, 100 * time.Microsecond, time.Millisecond}
	PiecesDepot = Service{"pieces-depot", 4, 5, 4, 100 * time.Microsecond, time.Millisecond}
)

// Services lists them all.
var Services = []Service{TracingCore, DocIntake, DossierDesk, PiecesDepot}

// CallerLoad is one caller of a case.
type CallerLoad struct {
	Name           string
	Weight         int
	Load           float64          // slot time asked for, as a share of all slots, at level 1 of the case
	HotConnections int              // connections that send nine tenths of its requests
	Constant       bool             // not multiplied by the case's level
	Mix            []fakes.Workload // in place of the case's
}

// Case is one load.
type Case struct {
	Name         string
	Description  string
	Callers      []CallerLoad
	Mix          []fakes.Workload
	LoadFactor   func(time.Duration) float64
	Length       time.Duration
	From, To     time.Duration // arrivals in this time are measured
	LoadEnd      time.Duration // of the load that recovery is counted from
	Tries        int           // that a caller makes of a request, 1 for none after the first
	InjectFaults func(*run)
}

// Work of the services. The brief gives slots and connections, not service times;
// these are assumptions.
var (
	lookup = fakes.Workload{Class: "lookup", Kind: docs.Lookup, Mean: 20 * time.Millisecond, Variation: 1, Max: 400 * time.Millisecond, Deadline: 500 * time.Millisecond, Queue: 32, Share: 1}
	feed   = fakes.Workload{Class: "feed", Kind: docs.Feed, Mean: 10 * time.Millisecond, Variation: 1, Max: time.Second, Deadline: time.Second, Queue: 32}
	upload = fakes.Workload{Class: "upload", Kind: docs.Upload, Mean: 2 * time.Second, Variation: 1, Max: 10 * time.Second, Deadline: 30 * time.Second, Queue: 8}
)

// mix shares the offered slot time among the kinds of work.
func mix(lookups, feeds, uploads float64) []fakes.Workload {
	l, f, u := lookup, feed, upload
	l.Share, f.Share, u.Share = lookups, feeds, uploads
	return []fakes.Workload{l, f, u}
}

// alike are three callers that ask for the same, together for the given level.
func alike(level float64) []CallerLoad {
	return []CallerLoad{
		{Name: "fund-a", Weight: 1, Load: level / 3},
		{Name: "fund-b", Weight: 1, Load: level / 3},
		{Name: "fund-c", Weight: 1, Load: level / 3},
	}
}

func steady(time.Duration) float64 { return 1 }

// between multiplies the level from one time to another.
func between(from, to time.Duration, times float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t >= from && t < to {
			return times
		}
		return 1
	}
}

// minute is a case of steady lookups: 10 s to warm up, a minute measured.
func minute(name, story string, callers []CallerLoad) Case {
	return Case{
		Name: name, Description: story, Callers: callers, Mix: mix(1, 0, 0), LoadFactor: steady,
		Length: 80 * time.Second, From: 10 * time.Second, To: 70 * time.Second, LoadEnd: 80 * time.Second, Tries: 1,
	}
}
