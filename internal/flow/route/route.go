// Package route determines which server a datagram belongs to.
//
// Entries share no flow table, so each entry must arrive at the same choice from the datagram and the
// service's document alone. A datagram whose connection ID names a server goes to that server. For any other
// datagram, servers are ranked by weighted rendezvous hashing: all entries with the same document agree, and
// a server that joins or leaves moves only its own share of the flows.
//
// Entries do not always have the same document. A Table therefore also holds the servers of the previous
// document, and a Choice also names the best candidate under that one: an agent can ask it whether it owns
// the flow (package table). An entry's view of a server (leaving, unresponsive) only changes the order of
// candidates, never what an agent accepts.
//
// The package does no input or output and does not depend on QUIC.
//
// # Usage
//
//	t := route.Table{Current: servers, Previous: previous}
//	choice := t.Choose(dst[:0], key, 3)
package route

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Server describes a server for routing.
type Server struct {
	ID           uint32
	Weight       float64 // share of new flows; with 0, none while another server has a weight
	Leaving      bool    // takes no new flows, according to the document, the platform's list or the server's agent
	Unresponsive bool    // has not answered lately, see Detector
}

// Table is an immutable snapshot of one service's servers.
type Table struct {
	Current  []Server // servers of the document in force
	Previous []Server // servers of the previous document, while flows opened under it may be half open
}

// Choice is the server that a flow's datagram is sent to, with its alternatives.
type Choice struct {
	Server     uint32   // first candidate
	Candidates []uint32 // all, best first
	// HasFormer means that the last candidate is the choice under the previous document and may already own
	// the flow.
	HasFormer bool
}

// Key returns the hash of the destination connection ID, which a flow's first datagrams have in common.
func Key(destination []byte) uint64 { return xxhash.Sum64(destination) }

// Choose ranks the servers for a flow and appends their IDs to dst: at most n of the current servers, and
// possibly one that is the choice of the previous servers. Without any current server, the choice has no
// candidates.
func (t *Table) Choose(dst []uint32, key uint64, n int) (c Choice) {
	dst = rank(dst, t.Current, key, n)
	c.Candidates = dst
	if len(dst) == 0 {
		return c
	}
	c.Server = dst[0]
	var buf [1]uint32
	best := rank(buf[:0], t.Previous, key, 1)
	if len(best) == 1 && best[0] != dst[0] && contains(t.Current, best[0]) {
		c.Candidates = append(without(dst, best[0]), best[0])
		c.HasFormer = true
	}
	return c
}

func contains(ss []Server, id uint32) bool {
	return slices.ContainsFunc(ss, func(s Server) bool { return s.ID == id })
}

func without(ids []uint32, id uint32) []uint32 {
	return slices.DeleteFunc(ids, func(i uint32) bool { return i == id })
}

// rank appends the n best servers. Unresponsive and leaving servers come after all others, so that a caller
// reaches one only if there is no other. A leaving server then at least answers the caller with a refusal.
func rank(dst []uint32, ss []Server, key uint64, n int) []uint32 {
	type scored struct {
		id    uint32
		class int
		score float64
	}
	var room [16]scored
	best := room[:0]
	for i := range ss {
		s := &ss[i]
		best = append(best, scored{s.ID, class(s), score(s, key)})
	}
	slices.SortFunc(best, func(a, b scored) int {
		if a.class != b.class {
			return a.class - b.class
		}
		if a.score > b.score {
			return -1
		}
		if a.score < b.score {
			return 1
		}
		return int(a.id) - int(b.id)
	})
	for _, b := range best[:min(n, len(best))] {
		dst = append(dst, b.id)
	}
	return dst
}

func class(s *Server) int {
	switch {
	case s.Leaving:
		return 2
	case s.Unresponsive || s.Weight <= 0:
		return 1
	default:
		return 0
	}
}

// score returns the weighted rendezvous score -weight/ln(u), with u uniform in (0,1). The share of keys for
// which a server has the best score equals its share of the weights.
func score(s *Server, key uint64) float64 {
	h := mix(key ^ mix(uint64(s.ID)))
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -max(s.Weight, math.SmallestNonzeroFloat64) / math.Log(u)
}

// mix is the finalizer of splitmix64. Each input bit affects all output bits.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
