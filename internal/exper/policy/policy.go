// Package policy has the ways of spreading and admitting requests that the
// experiments compare: the product's own decision code, driven as a process would
// drive it, and the usual rules as baselines.
//
// The baselines are balancers in front of the servers: four entries, each with its
// own counts, which place each request without a hop, in front of a
// first-come-first-served queue at each server, with the same bound as the product's. They try
// a refused request at up to two more servers. That favours them: the product's
// requests arrive at the agent that holds the connection and pay for each hop.
//
// # Usage
//
//	system := policy.New(policy.Mangowinch, world)
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
	Mangowinch       Name = "mangowinch"        // admit, queue, place and retry
	RoundRobin       Name = "round robin"       // baseline
	Random           Name = "random"            // baseline
	LeastConnections Name = "least connections" // baseline
	LeastReported    Name = "least reported"    // baseline: the least busy by the servers' own lagging reports
	ByFlow           Name = "by flow"           // baseline: a request runs where its connection is, first come first served, bounded
	FCFS             Name = "fcfs queue"        // own placement, but first come first served, bounded
	Unlimited        Name = "no limit"          // own placement, but nothing is refused and no deadline is told
)

// Names lists all policies in the order of the tables.
var Names = []Name{Mangowinch, RoundRobin, Random, LeastConnections, LeastReported, ByFlow, FCFS, Unlimited}

// Env is what a policy acts in.
type Env struct {
	Loop             *loop.Loop
	Servers          []*fakes.Server
	Limits           admit.Limits  // Slots are each server's own
	IntraDomainDelay time.Duration // one way between agents of a failure domain
	InterDomainDelay time.Duration // one way between failure domains
	Random           *rand.Rand
	Tuning           Tuning
}

// Tuning are thresholds that an experiment changes.
type Tuning struct {
	Admit          admit.Rules
	Place          place.Rules
	Retry          retry.Rules
	ReportInterval time.Duration // between two reports of an agent to its peers; 0: they only ride on replies
	UsageWindow    time.Duration // time constant of the share of slot time in a report
}

// DefaultTuning are the thresholds in use.
var DefaultTuning = Tuning{
	Admit:       admit.Default,
	Place:       place.Default,
	Retry:       retry.Default,
	UsageWindow: time.Second,
}

// Answer is what a caller gets.
type Answer struct {
	End        fakes.End     // Shed: refused as not run
	Reason     result.Reason // of a refusal
	RetryAfter time.Duration // of a refusal
}

// System takes requests and hears of servers that come and go.
type System interface {
	Submit(j *fakes.Job, answer func(Answer))
	// Leaving says that a server takes no new work from now on. Only the process
	// beside it hears it at once.
	Leaving(server int)
	// Joined says that a server was started.
	Joined(server int)
	// Waiting returns how many requests wait in queues.
	Waiting() int
	// HandOvers returns how many requests were handed to another server's agent, and how
	// many of them to another failure domain.
	HandOvers() (handed, far int)
}

// New returns a system of the given policy.
func New(n Name, w *Env) System {
	switch n {
	case RoundRobin, Random, LeastConnections, LeastReported:
		return newDirect(n, w)
	default:
		return newAgents(n, w)
	}
}

func kindOf(classes []docs.Class, name string) docs.Class {
	for _, c := range classes {
		if c.Name == name {
			return c
		}
	}
	return docs.Class{}
}
