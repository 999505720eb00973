// Package policy implements the policies for placement and admission that the experiments compare:
// mangowinch's own decision code, called as the agents call it, and common policies as baselines.
//
// Most placement baselines are balancers in front of the servers: four entries, each with its own counts,
// place requests directly, without a hop. Each server has a first-come-first-served queue with the same limit
// as mangowinch's. A refused request is tried at up to two more servers. This model favours the baselines,
// because mangowinch's requests arrive at the agent that holds the connection, and each hop takes time.
//
// Package policy makes no decisions for production use.
//
// # Usage
//
//	system := policy.New(policy.Mangowinch, env)
//	system.Submit(job, func(a policy.Answer) { ... })
package policy

import (
	"math/rand/v2"
	"time"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/exper/fakes"
	"mangowinch/internal/exper/loop"
	"mangowinch/internal/load/admit"
	"mangowinch/internal/load/place"
	"mangowinch/internal/load/retry"
	"mangowinch/internal/work/result"
)

// Name names a policy.
type Name string

// The policies.
const (
	Mangowinch       Name = "mangowinch"        // packages admit, queue, place and retry
	RoundRobin       Name = "round robin"       // baseline
	Random           Name = "random"            // baseline
	LeastConnections Name = "least connections" // baseline
	LeastReported    Name = "least reported"    // baseline: lowest load by the servers' own delayed reports
	ByFlow           Name = "by flow"           // baseline: bounded FCFS queue at the agent that holds the connection
	FCFS             Name = "fcfs queue"        // mangowinch's placement with a bounded FCFS queue
	Unlimited        Name = "no limit"          // mangowinch's placement with an unbounded FCFS queue and no deadlines at servers
)

// Names lists all policies, in the order of the tables.
var Names = []Name{Mangowinch, RoundRobin, Random, LeastConnections, LeastReported, ByFlow, FCFS, Unlimited}

// Env is the simulated environment of a policy.
type Env struct {
	Loop             *loop.Loop
	Servers          []*fakes.Server
	Limits           admit.Limits  // Slots is set for each server
	IntraDomainDelay time.Duration // one way, between agents of one failure domain
	InterDomainDelay time.Duration // one way, between failure domains
	Random           *rand.Rand
	Tuning           Tuning
}

// Tuning holds the thresholds that an experiment can change.
type Tuning struct {
	Admit          admit.Rules
	Place          place.Rules
	Retry          retry.Rules
	ReportInterval time.Duration // between two reports of an agent to its peers; 0: reports are sent in replies only
	UsageWindow    time.Duration // time constant of the share of slot time in a report
}

// DefaultTuning holds the thresholds that mangowinch uses.
var DefaultTuning = Tuning{
	Admit:       admit.Default,
	Place:       place.Default,
	Retry:       retry.Default,
	UsageWindow: time.Second,
}

// Answer is the answer to a caller.
type Answer struct {
	End        fakes.End
	Reason     result.Reason // of a refusal (Shed)
	RetryAfter time.Duration // in a refusal: when the caller may retry
}

// System places and runs requests, and is notified when servers leave and join.
type System interface {
	// Submit calls answer when the request ends, possibly before Submit returns.
	Submit(j *fakes.Job, answer func(Answer))
	// Leaving notifies the system that a server, given by its index, accepts no new work from now on. Only
	// the process beside the server knows at once.
	Leaving(server int)
	// Joined notifies the system that a server was started.
	Joined(server int)
	// Waiting returns the number of requests in queues.
	Waiting() int
	// HandOvers returns the number of hand-overs to another server's agent, retries included, and the number
	// of these that crossed failure domains.
	HandOvers() (handedOver, crossDomain int)
}

// New returns a system that applies the given policy.
func New(n Name, env *Env) System {
	switch n {
	case RoundRobin, Random, LeastConnections, LeastReported:
		return newBaseline(n, env)
	default:
		return newAgents(n, env)
	}
}

// classByName returns the class with the given name, or a zero Class.
func classByName(classes []docs.Class, name string) docs.Class {
	for _, c := range classes {
		if c.Name == name {
			return c
		}
	}
	return docs.Class{}
}
