package cases

import (
	"fmt"
	"time"
)

// Each case is built by a function, so that runs share no state.

// Steady offers 70% of capacity, lookups only.
func Steady() Case {
	return newCase("steady", "70% of capacity, lookups of three equal callers", equalCallers(0.7))
}

// Mixed offers 70% of capacity as lookups, feeds and uploads.
func Mixed() Case {
	c := newCase("mixed", "70% of capacity: lookups 70%, feeds 10%, uploads 20% of the slot time", equalCallers(0.7))
	c.Mix = mix(0.7, 0.1, 0.2)
	return c
}

// Burst offers 5 times capacity for one second, and half of capacity otherwise.
func Burst() Case {
	c := newCase("burst", "50% of capacity, 5 times capacity from 20 s to 21 s", equalCallers(0.5))
	c.LoadFactor = factorBetween(20*time.Second, 21*time.Second, 10)
	c.From, c.To, c.LoadEnd, c.Length = 20*time.Second, 22*time.Second, 21*time.Second, 30*time.Second
	return c
}

// Heavy has one caller that offers 4 times capacity and two that offer 15% each.
func Heavy() Case {
	return newCase("heavy", "fund-a asks for 4 times capacity, fund-b and fund-c for 15% each", []CallerLoad{
		{Name: "fund-a", Weight: 1, Load: 4}, {Name: "fund-b", Weight: 1, Load: 0.15}, {Name: "fund-c", Weight: 1, Load: 0.15},
	})
}

// Alone is Heavy without the overloading caller.
func Alone() Case {
	return newCase("alone", "fund-b and fund-c ask for 15% of capacity each, nobody else is there", []CallerLoad{
		{Name: "fund-b", Weight: 1, Load: 0.15}, {Name: "fund-c", Weight: 1, Load: 0.15},
	})
}

// Hot sends most of the load over three connections.
func Hot() Case {
	callers := equalCallers(0.7)
	callers[0].Load, callers[1].Load, callers[2].Load = 0.5, 0.1, 0.1
	callers[0].HotConnections = 3
	return newCase("hot", "70% of capacity, of which three connections of fund-a send 64%", callers)
}

// Slow has a server that becomes five times slower.
func Slow() Case {
	c := newCase("slow", "60% of capacity, one server 5 times slower from 10 s", equalCallers(0.6))
	c.InjectFaults = func(r *run) {
		r.loop.At(10*time.Second, func() { r.servers[0].TimeFactor = 5 })
	}
	return c
}

// FailFast has a server that starts to fail each request within a millisecond.
func FailFast() Case {
	c := newCase("failfast", "60% of capacity, one server fails each request in 1 ms from 10 s", equalCallers(0.6))
	c.InjectFaults = func(r *run) {
		r.loop.At(10*time.Second, func() { r.servers[0].FailFast = true })
	}
	return c
}

// FailHalf has several servers, given in sevenths of all, that start to fail every other request.
func FailHalf(sevenths int) Case {
	c := newCase(fmt.Sprintf("failhalf %d/7", sevenths),
		fmt.Sprintf("60%% of capacity, %d of 7 servers (or as many of fewer) fail every other request in 1 ms from 10 s", sevenths), equalCallers(0.6))
	c.InjectFaults = func(r *run) {
		r.loop.At(10*time.Second, func() {
			for _, s := range r.servers[:len(r.servers)*sevenths/7] {
				s.FailHalf = true
			}
		})
	}
	return c
}

// Lying has a server that always reports that it is idle and fast.
func Lying() Case {
	c := newCase("lying", "90% of capacity, one server reports that it is idle and quick", equalCallers(0.9))
	c.InjectFaults = func(r *run) { r.servers[0].FalseReports = true }
	return c
}

// Long offers more uploads than the servers can run, together with lookups and feeds.
func Long() Case {
	c := newCase("long", "fund-a's uploads ask for all slots, fund-b's lookups for 20%, fund-c's feeds for 5%", []CallerLoad{
		{Name: "fund-a", Weight: 1, Load: 1, Mix: mix(0, 0, 1)},
		{Name: "fund-b", Weight: 1, Load: 0.2},
		{Name: "fund-c", Weight: 1, Load: 0.05, Mix: mix(0, 1, 0)},
	})
	c.Mix = mix(1, 0, 0)
	return c
}

// Saturation offers factor times capacity for the given duration, then half of capacity.
func Saturation(factor float64, duration time.Duration) Case {
	c := newCase(fmt.Sprintf("saturation %g", factor), fmt.Sprintf("%g times capacity for %s, then 50%%", factor, duration), equalCallers(0.5))
	end := 10*time.Second + duration
	c.LoadFactor = factorBetween(10*time.Second, end, 2*factor)
	c.From, c.To, c.LoadEnd, c.Length = 10*time.Second, end, end, end+20*time.Second
	return c
}

// Tight offers twice capacity in lookups with short deadlines. The queues are so long that a request in
// a full one waits past its deadline.
func Tight() Case {
	c := newCase("tight", "2 times capacity, lookups have 150 ms, queues of 128", equalCallers(2))
	c.Mix[0].Deadline, c.Mix[0].Queue = 150*time.Millisecond, 128
	return c
}

// Partial has an outage of nearly half of the servers.
func Partial() Case {
	c := newCase("partial", "60% of capacity, 3 of 7 servers (or as many of fewer) unreachable from 20 s to 50 s", equalCallers(0.6))
	c.From, c.To, c.LoadEnd = 20*time.Second, 50*time.Second, 50*time.Second
	c.InjectFaults = func(r *run) {
		for _, s := range r.servers[:len(r.servers)*3/7] {
			r.loop.At(20*time.Second, func() { s.Down = true })
			r.loop.At(50*time.Second, func() { s.Down = false })
		}
	}
	return c
}

// Cold has a server that joins and needs 10 s of cold start to reach full speed.
func Cold() Case {
	c := newCase("cold", "75% of capacity of the rest, one server joins at 20 s, 4 times slower at first", equalCallers(0.6))
	c.InjectFaults = func(r *run) {
		s := r.servers[0]
		s.Down = true
		r.system.Leaving(0)
		r.loop.At(20*time.Second, func() {
			s.Down = false
			s.ColdStart, s.ColdStartAt = 10*time.Second, r.loop.Now()
			r.system.Joined(0)
		})
	}
	c.From, c.To = 20*time.Second, 40*time.Second
	return c
}

// Storm has an outage of all servers; callers make up to five tries of each request.
func Storm() Case {
	c := newCase("storm", "80% of capacity, all servers unreachable from 20 s to 30 s, callers try 5 times", equalCallers(0.8))
	c.Tries = 5
	c.From, c.To, c.LoadEnd, c.Length = 30*time.Second, 60*time.Second, 30*time.Second, 100*time.Second
	c.InjectFaults = func(r *run) {
		for _, s := range r.servers {
			r.loop.At(20*time.Second, func() { s.Down = true })
			r.loop.At(30*time.Second, func() { s.Down = false })
		}
	}
	return c
}

// Drain has a server that leaves under load and is stopped 15 s later.
func Drain() Case {
	c := newCase("drain", "60% of capacity with uploads, one server leaves at 20 s and stops at 35 s", equalCallers(0.6))
	c.Mix = mix(0.7, 0.1, 0.2)
	c.From, c.To, c.LoadEnd = 20*time.Second, 40*time.Second, 20*time.Second
	c.InjectFaults = func(r *run) {
		r.loop.At(20*time.Second, func() {
			r.servers[0].Draining = true
			r.system.Leaving(0)
		})
		r.loop.At(35*time.Second, func() { r.servers[0].Stop() })
	}
	return c
}

// saturationLength is the duration of the overload in the Saturation cases of All.
const saturationLength = 2 * time.Minute

// All returns the cases in the order of the tables.
func All() []Case {
	return []Case{
		Steady(), Mixed(), Hot(), Burst(), Heavy(), Alone(), Slow(), FailFast(), Lying(), Long(),
		Saturation(1, saturationLength), Saturation(1.2, saturationLength), Saturation(2, saturationLength), Saturation(5, saturationLength), Tight(), Cold(), Partial(), Storm(), Drain(),
	}
}
