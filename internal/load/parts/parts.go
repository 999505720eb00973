// Package parts names the mechanisms that decide about opaque flows, so that each can be switched off.
//
// What a mechanism is worth shows only beside a run without it. Settings name those that are off in their section
// [without], and the processes hand Off to whatever decides. Nothing is off in a deployment that serves anybody:
// the section is for measurements (scripts/ablate), and each process says in its log what is off.
//
// It is no place for tuning: a part is on or off.
//
// # Usage
//
//	off, unknown := parts.Parse([]string{"offers", "breaker"})
//	if off.Offers { ... }
package parts

import "slices"

// Off says which mechanisms are switched off.
type Off struct {
	Reports  bool // choice of a server by what agents report (package steer)
	Avoid    bool // servers that didn't answer or refused come last (steer)
	Cold     bool // a server that has just started gets less (steer)
	Distance bool // servers of the own failure domain first (steer)
	Offers   bool // passing a flow on while no slot is free (package share)
	Waiting  bool // flows wait at the agent for a slot (package hold)
	Lag      bool // an opened flow without a request frees its slot soon (package owner)
	Mute     bool // no flows for an own server that says nothing (package local)
	Search   bool // asking all agents for a flow's owner, and resets of flows that nobody holds (local)
	Reach    bool // an entry that hears no agent isn't ready (package edge)
	Lost     bool // callers of an agent that answers nobody are told (edge)
	Breaker  bool // no flows for a server that breaks off its requests, whose callers are told (package trip)
	Quick    bool // few flows for a server that answers far too fast (package quick)
	Bulk     bool // flows that fill the entry's link for long wait for their turn (package bulk)
}

// mechanism is one mechanism: its name in settings and its field.
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
	{"lag", func(o *Off) *bool { return &o.Lag }},
	{"mute", func(o *Off) *bool { return &o.Mute }},
	{"search", func(o *Off) *bool { return &o.Search }},
	{"reach", func(o *Off) *bool { return &o.Reach }},
	{"lost", func(o *Off) *bool { return &o.Lost }},
	{"breaker", func(o *Off) *bool { return &o.Breaker }},
	{"quick", func(o *Off) *bool { return &o.Quick }},
	{"bulk", func(o *Off) *bool { return &o.Bulk }},
}

// Names returns the names of all mechanisms.
func Names() (names []string) {
	for _, p := range mechanisms {
		names = append(names, p.name)
	}
	return names
}

// Parse returns what the names switch off, and the names that mean nothing.
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
