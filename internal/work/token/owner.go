package token

import (
	"net/netip"
	"time"

	"mangowinch/internal/conf/docs"
	"mangowinch/internal/work/result"
)

// DefaultLifetime is how long a key may be used, the first time and again: so long
// its outcome is remembered. It is several times the deadline of a short request;
// each minute more costs the owner's memory one record a request it ran in a minute.
const DefaultLifetime = 2 * time.Minute

// RetryAfter is said when the owner's address is not known here. It is the time in
// which a new document reaches every process: by then either the address is known,
// or the owner is gone for good.
const RetryAfter = 7 * time.Second

// Owner is one incarnation of an agent in its role as issuer of keys. It is immutable.
type Owner struct {
	Service     string
	Server      uint32
	Incarnation uint64        // never the same for two processes
	Start       time.Time     // with its monotonic reading: ages of keys are measured by it alone
	Lifetime    time.Duration // the same for the whole life of the process
}

// Issue gives a fresh key. Nonce comes from the process's random source; it need
// not be secret, because a key is authenticated.
func (o Owner) Issue(now time.Time, nonce uint64) Key {
	return Key{
		Service:     o.Service,
		Server:      o.Server,
		Incarnation: o.Incarnation,
		Issued:      now.Sub(o.Start).Truncate(time.Millisecond),
		Nonce:       nonce,
	}
}

// Action says who decides about a request that carries a key.
type Action uint8

// The places. The zero value refuses.
const (
	Refuse   Action = iota // nobody: Ruling.Result is the answer
	Local                  // this agent is the owner
	HandOver               // the owner is at Ruling.Agent
)

// Decision is what is to be done with a request that carries a key.
type Decision struct {
	Action Action
	Agent  netip.AddrPort // of the owner, for Pass
	Until  time.Time      // the key's outcome is remembered at least so long, for Here
	Result result.Result  // for Refuse; never "not run", since an earlier try may have run
}

// Decide decides who decides. Servers are those that the service's documents in force
// and just before name.
//
// An owner that was restarted has forgotten what its former process ran, so a key
// of any other incarnation is unknown and never a run. Incarnations are compared
// for equality only: an agent on an instance whose clock is behind may come after
// one with a higher number.
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
	// The memory of outcomes may have dropped this key, so it can neither run
	// nor be called not run. Both times are by this process's clock.
	if !now.Before(until) {
		return refuse(result.KeyExpired, 0)
	}
	return Decision{Action: Local, Until: until}
}

func refuse(r result.Reason, after time.Duration) Decision {
	return Decision{Action: Refuse, Result: result.Result{Outcome: result.Unknown, Reason: r, RetryAfter: after}}
}
