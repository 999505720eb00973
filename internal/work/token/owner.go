package token

import (
	"net/netip"
	"time"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/work/result"
)

// DefaultLifetime is how long a key may be used, for the first request and for repeats, and thus
// how long its outcome is kept. It is several times the deadline of a short request. Each
// additional minute adds one record to the owner's store for each request that the owner runs in a
// minute.
const DefaultLifetime = 2 * time.Minute

// RetryAfter is the retry delay that is returned when the owner's address is not known. Within this
// time a new document reaches every process. After it, either the address is known or the owner has
// been removed permanently.
const RetryAfter = 7 * time.Second

// Owner is one incarnation of an agent in its role as issuer of keys. It is immutable.
type Owner struct {
	Service     string
	Server      uint32
	Incarnation uint64        // unique per process
	Start       time.Time     // with its monotonic reading, which alone determines the age of keys
	Lifetime    time.Duration // constant while the process runs
}

// Issue returns a new key. Nonce comes from the process's random source. It need not be secret,
// because a key is authenticated.
func (o Owner) Issue(now time.Time, nonce uint64) Key {
	return Key{
		Service:     o.Service,
		Server:      o.Server,
		Incarnation: o.Incarnation,
		Issued:      now.Sub(o.Start).Truncate(time.Millisecond),
		Nonce:       nonce,
	}
}

// Action is what to do with a request that carries a key.
type Action uint8

// The actions. The zero value refuses.
const (
	Refuse   Action = iota // answer with Decision.Result
	Local                  // this agent is the owner
	HandOver               // the owner is at Decision.Agent
)

// Decision is the result of Decide.
type Decision struct {
	Action Action
	Agent  netip.AddrPort // address of the owner, for HandOver
	Until  time.Time      // the key's outcome is kept at least until this time, for Local
	Result result.Result  // for Refuse; never "not run", because an earlier attempt may have run
}

// Decide determines which agent decides about a request with a key. Servers are those of the
// current and the previous service document.
//
// A restarted owner has lost the records of its previous process, so the outcome of a key of any
// other incarnation is unknown and the request must not run. Incarnations are compared for equality
// only: on an instance whose clock is behind, a later process may have a lower incarnation.
func (o Owner) Decide(now time.Time, k Key, servers []docs.Server) Decision {
	if k.Service != o.Service {
		return refuse(result.KeyInvalid, 0)
	}
	if k.Server != o.Server {
		for _, s := range servers {
			if s.ID == k.Server {
				return Decision{Action: HandOver, Agent: s.Agent}
			}
		}
		return refuse(result.OwnerUnavailable, RetryAfter)
	}
	if k.Incarnation != o.Incarnation {
		return refuse(result.OwnerUnavailable, 0)
	}
	issued := o.Start.Add(k.Issued)
	until := issued.Add(o.Lifetime)
	if issued.After(now) {
		return refuse(result.KeyInvalid, 0)
	}
	// The record of this key may have been evicted, so the request must neither run nor be called
	// not run. Both times are on this process's clock.
	if !now.Before(until) {
		return refuse(result.KeyExpired, 0)
	}
	return Decision{Action: Local, Until: until}
}

func refuse(r result.Reason, after time.Duration) Decision {
	return Decision{Action: Refuse, Result: result.Result{Outcome: result.Unknown, Reason: r, RetryAfter: after}}
}
