// Package parts names the mechanisms that decide about opaque flows, so that each can be switched off.
//
// The effect of a mechanism can be determined only by comparison with a run without it. The settings list
// the mechanisms that are off in their section [without], and the processes pass Off to the code that
// decides. Everything is on in a deployment that serves callers: the section is for ablation experiments
// (scripts/ablate), and each process logs which mechanisms are off.
//
// Package parts is not for tuning: a mechanism is either on or off.
//
// # Usage
//
//	off, unknown := parts.Parse([]string{"offers", "breaker"})
//	if off.Offers { ... }
package parts

import "slices"

// Off holds the mechanisms that are switched off. Processes log it under the names of its fields.
type Off struct {
	Reports  bool // placement of flows by the reports of agents (package steer)
	Avoid    bool // servers that did not answer or refused come last (steer)
	Cold     bool // reduced load for a server that has just started (steer)
	Distance bool // preference for servers of the own failure domain (steer)
	Offers   bool // offering a flow to another agent while no slot is free (package share)
	Waiting  bool // queueing of flows at the agent until a slot is free (package hold)
	Signs    bool // flows whose callers seem to have left come last (hold)
	Floor    bool // a least part of the openings for each priority (hold)
	Lag      bool // early release of the slot of an open flow without a request (package owner)
	Mute     bool // no new flows for an unresponsive own server (package local)
	Search   bool // querying all agents for a flow's owner, and resets of flows without an owner (local)
	Reach    bool // an entry that receives nothing from any agent is not ready (package edge)
	Lost     bool // callers of a failed agent are notified (edge)
	Breaker  bool // no new flows for a server that aborts requests, and notification of its callers (package trip)
	Quick    bool // few new flows for a server that answers too fast (package quick)
	Bulk     bool // queueing of flows that occupy the entry's link for a long time (package bulk)
	Pace     bool // packets of these flows are sent at the rate of the link, after everything else (package pace)
	Rates    bool // placement by the measured service time of each server (packages speed and steer)
	Shares   bool // flows of callers that use less come first (package usage)
	Level    bool // refusal at the entry while a service is overloaded (package level)
}

// mechanism is a mechanism with its name in settings and its field of Off.
type mechanism struct {
	name  string
	field func(*Off) *bool
}

var mechanisms = []mechanism{
	{"reports", func(o *Off) *bool { return &o.Reports }},
	{"avoid", func(o *Off) *bool { return &o.Avoid }},
	{"cold", func(o *Off) *bool { return &o.Cold }},
	{"distance", func(o *Off) *bool { return &o.Distance }},
	{"offers", func(o *Off) *bool { return &o.Offers }},
	{"waiting", func(o *Off) *bool { return &o.Waiting }},
	{"signs", func(o *Off) *bool { return &o.Signs }},
	{"floor", func(o *Off) *bool { return &o.Floor }},
	{"lag", func(o *Off) *bool { return &o.Lag }},
	{"mute", func(o *Off) *bool { return &o.Mute }},
	{"search", func(o *Off) *bool { return &o.Search }},
	{"reach", func(o *Off) *bool { return &o.Reach }},
	{"lost", func(o *Off) *bool { return &o.Lost }},
	{"breaker", func(o *Off) *bool { return &o.Breaker }},
	{"quick", func(o *Off) *bool { return &o.Quick }},
	{"bulk", func(o *Off) *bool { return &o.Bulk }},
	{"pace", func(o *Off) *bool { return &o.Pace }},
	{"rates", func(o *Off) *bool { return &o.Rates }},
	{"shares", func(o *Off) *bool { return &o.Shares }},
	{"level", func(o *Off) *bool { return &o.Level }},
}

// Names returns the names of all mechanisms.
func Names() (names []string) {
	for _, p := range mechanisms {
		names = append(names, p.name)
	}
	return names
}

// Parse returns the mechanisms switched off by the names, and the unknown names.
func Parse(names []string) (off Off, unknown []string) {
	for _, n := range names {
		i := slices.IndexFunc(mechanisms, func(p mechanism) bool { return p.name == n })
		if i < 0 {
			unknown = append(unknown, n)
			continue
		}
		*mechanisms[i].field(&off) = true
	}
	return off, unknown
}
