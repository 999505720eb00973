package cases

import (
	"time"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/exper/fakes"
)

// connectionsPerServer is the number of caller connections that each server's agent holds.
const connectionsPerServer = 2000

// Service is the size of a service.
type Service struct {
	Name                               string
	Servers, Slots, Domains            int
	IntraDomainDelay, InterDomainDelay time.Duration // one-way network delays
}

// The services of the experiments.
var (
	TracingCore = Service{"tracing-core", 7, 4, 3, 100 * time.Microsecond, 500 * time.Microsecond}
	DocIntake   = Service{"doc-intake", 3, 4, 3, 100 * time.Microsecond, 500 * time.Microsecond}
	DossierDesk = Service{"dossier-desk", 7, 5, 4, 100 * time.Microsecond, time.Millisecond}
	PiecesDepot = Service{"pieces-depot", 4, 5, 4, 100 * time.Microsecond, time.Millisecond}
)

// Services lists all services.
var Services = []Service{TracingCore, DocIntake, DossierDesk, PiecesDepot}

// CallerLoad is the load of one caller of a case.
type CallerLoad struct {
	Name           string
	Weight         int
	Load           float64          // offered slot time as a share of all slots, at load factor 1
	HotConnections int              // connections that send 90% of its requests
	Constant       bool             // not multiplied by the case's load factor
	Mix            []fakes.Workload // replaces the case's mix
}

// Case is one load pattern, with the faults that happen during it.
type Case struct {
	Name         string
	Description  string
	Callers      []CallerLoad
	Mix          []fakes.Workload
	LoadFactor   func(time.Duration) float64
	Length       time.Duration
	From, To     time.Duration // requests that arrive in this interval are measured
	LoadEnd      time.Duration // start of the recovery time
	Tries        int           // tries of each request by its caller, including the first
	InjectFaults func(*run)
}

// The request classes. The project's requirements give slots and connections but no service times, so the
// service times here are assumptions.
var (
	lookup = fakes.Workload{Class: "lookup", Kind: docs.Lookup, Mean: 20 * time.Millisecond, Variation: 1, Max: 400 * time.Millisecond, Deadline: 500 * time.Millisecond, Queue: 32, Share: 1}
	feed   = fakes.Workload{Class: "feed", Kind: docs.Feed, Mean: 10 * time.Millisecond, Variation: 1, Max: time.Second, Deadline: time.Second, Queue: 32}
	upload = fakes.Workload{Class: "upload", Kind: docs.Upload, Mean: 2 * time.Second, Variation: 1, Max: 10 * time.Second, Deadline: 30 * time.Second, Queue: 8}
)

// mix divides the offered slot time among the classes by the given shares.
func mix(lookups, feeds, uploads float64) []fakes.Workload {
	l, f, u := lookup, feed, upload
	l.Share, f.Share, u.Share = lookups, feeds, uploads
	return []fakes.Workload{l, f, u}
}

// equalCallers returns three callers with equal loads that add up to the given load.
func equalCallers(load float64) []CallerLoad {
	return []CallerLoad{
		{Name: "fund-a", Weight: 1, Load: load / 3},
		{Name: "fund-b", Weight: 1, Load: load / 3},
		{Name: "fund-c", Weight: 1, Load: load / 3},
	}
}

func constantLoad(time.Duration) float64 { return 1 }

// factorBetween returns a load factor that has the given value in the interval [from, to) and is 1 otherwise.
func factorBetween(from, to time.Duration, factor float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t >= from && t < to {
			return factor
		}
		return 1
	}
}

// newCase returns a case of constant lookups with 10 s of warm-up and one measured minute.
func newCase(name, description string, callers []CallerLoad) Case {
	return Case{
		Name: name, Description: description, Callers: callers, Mix: mix(1, 0, 0), LoadFactor: constantLoad,
		Length: 80 * time.Second, From: 10 * time.Second, To: 70 * time.Second, LoadEnd: 80 * time.Second, Tries: 1,
	}
}
