package cases

import (
	"fmt"
	"time"
)

// The cases. All are functions of nothing, so that no run can change another's.

// Steady is seven tenths of capacity, lookups only.
func Steady() Case {
	return minute("steady", "70% of capacity, lookups of three equal callers", alike(0.7))
}

// Mixed is seven tenths of capacity with feeds and uploads.
func Mixed() Case {
	c := minute("mixed", "70% of capacity: lookups 70%, feeds 10%, uploads 20% of the slot time", alike(0.7))
	c.Mix = mix(0.7, 0.1, 0.2)
	return c
}

// Burst is five times capacity for a second.
func Burst() Case {
	c := minute("burst", "50% of capacity, 5 times capacity from 20 s to 21 s", alike(0.5))
	c.LoadFactor = between(20*time.Second, 21*time.Second, 10)
	c.From, c.To, c.LoadEnd, c.Length = 20*time.Second, 22*time.Second, 21*time.Second, 30*time.Second
	return c
}

// Heavy is one caller that asks for four times capacity beside two modest ones.
func Heavy() Case {
	return minute("heavy", "fund-a asks for 4 times capacity, fund-b and fund-c for 15% each", []CallerLoad{
		{Name: "fund-a", Weight: 1, Load: 4}, {Name: "fund-b", Weight: 1, Load: 0.15}, {Name: "fund-c", Weight: 1, Load: 0.15},
	})
}

// Alone is Heavy without the heavy caller.
func Alone() Case {
	return minute("alone", "fund-b and fund-c ask for 15% of capacity each, nobody else is there", []CallerLoad{
		{Name: "fund-b", Weight: 1, Load: 0.15}, {Name: "fund-c", Weight: 1, Load: 0.15},
	})
}

// Hot is a load of which a few connections send most.
func Hot() Case {
	shapes := alike(0.7)
	shapes[0].Load, shapes[1].Load, shapes[2].Load = 0.5, 0.1, 0.1
	shapes[0].HotConnections = 3
	return minute("hot", "70% of capacity, of which three connections of fund-a send 64%", shapes)
}

// Slow is a server that turns five times slower.
func Slow() Case {
	c := minute("slow", "60% of capacity, one server 5 times slower from 10 s", alike(0.6))
	c.InjectFaults = func(r *run) {
		r.loop.At(10*time.Second, func() { r.servers[0].TimeFactor = 5 })
	}
	return c
}

// FailFast is a server that fails each request within a millisecond.
func FailFast() Case {
	c := minute("failfast", "60% of capacity, one server fails each request in 1 ms from 10 s", alike(0.6))
	c.InjectFaults = func(r *run) {
		r.loop.At(10*time.Second, func() { r.servers[0].FailFast = true })
	}
	return c
}

// FailHalf is a fault that several servers share: each fails every other request.
func FailHalf(sevenths int) Case {
	c := minute(fmt.Sprintf("failhalf %d/7", sevenths),
		fmt.Sprintf("60%% of capacity, %d of 7 servers (or as many of fewer) fail every other request in 1 ms from 10 s", sevenths), alike(0.6))
	c.InjectFaults = func(r *run) {
		r.loop.At(10*time.Second, func() {
			for _, s := range r.servers[:len(r.servers)*sevenths/7] {
				s.FailHalf = true
			}
		})
	}
	return c
}

// Lying is a server that reports that it is idle and quick.
func Lying() Case {
	c := minute("lying", "90% of capacity, one server reports that it is idle and quick", alike(0.9))
	c.InjectFaults = func(r *run) { r.servers[0].FalseReports = true }
	return c
}

// Long is more uploads than the servers can take, beside lookups.
func Long() Case {
	c := minute("long", "fund-a's uploads ask for all slots, fund-b's lookups for 20%, fund-c's feeds for 5%", []CallerLoad{
		{Name: "fund-a", Weight: 1, Load: 1, Mix: mix(0, 0, 1)},
		{Name: "fund-b", Weight: 1, Load: 0.2},
		{Name: "fund-c", Weight: 1, Load: 0.05, Mix: mix(0, 1, 0)},
	})
	c.Mix = mix(1, 0, 0)
	return c
}

// Saturation is a load over capacity for some time, then half of capacity.
func Saturation(times float64, lasting time.Duration) Case {
	c := minute(fmt.Sprintf("saturation %g", times), fmt.Sprintf("%g times capacity for %s, then 50%%", times, lasting), alike(0.5))
	end := 10*time.Second + lasting
	c.LoadFactor = between(10*time.Second, end, 2*times)
	c.From, c.To, c.LoadEnd, c.Length = 10*time.Second, end, end, end+20*time.Second
	return c
}

// Tight is twice capacity with lookups that have little time and queues that are
// longer than that time.
func Tight() Case {
	c := minute("tight", "2 times capacity, lookups have 150 ms, queues of 128", alike(2))
	c.Mix[0].Deadline, c.Mix[0].Queue = 150*time.Millisecond, 128
	return c
}

// Partial is an outage of nearly half of the servers.
func Partial() Case {
	c := minute("partial", "60% of capacity, 3 of 7 servers (or as many of fewer) unreachable from 20 s to 50 s", alike(0.6))
	c.From, c.To, c.LoadEnd = 20*time.Second, 50*time.Second, 50*time.Second
	c.InjectFaults = func(r *run) {
		for _, s := range r.servers[:len(r.servers)*3/7] {
			r.loop.At(20*time.Second, func() { s.Down = true })
			r.loop.At(50*time.Second, func() { s.Down = false })
		}
	}
	return c
}

// Cold is a server that joins with a cold start of 10 s.
func Cold() Case {
	c := minute("cold", "75% of capacity of the rest, one server joins at 20 s, 4 times slower at first", alike(0.6))
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

// Storm is an outage of all servers; callers try again up to five times.
func Storm() Case {
	c := minute("storm", "80% of capacity, all servers unreachable from 20 s to 30 s, callers try 5 times", alike(0.8))
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

// Drain is a server that leaves under load and is stopped 15 s later.
func Drain() Case {
	c := minute("drain", "60% of capacity with uploads, one server leaves at 20 s and stops at 35 s", alike(0.6))
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

// long is how long the saturation of the tables lasts.
const long = 2 * time.Minute

// All lists the cases in the order of the tables.
func All() []Case {
	return []Case{
		Steady(), Mixed(), Hot(), Burst(), Heavy(), Alone(), Slow(), FailFast(), Lying(), Long(),
		Saturation(1, long), Saturation(1.2, long), Saturation(2, long), Saturation(5, long), Tight(), Cold(), Partial(), Storm(), Drain(),
	}
}
