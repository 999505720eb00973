package flows

import (
	"time"

	"mangowinch/internal/load/shift"
)

// NamedRules are rules with the name of their table row.
type NamedRules struct {
	Name  string
	Rules shift.Rules
}

// Rules returns the rules that are compared.
func Rules() []NamedRules {
	set := func(name string, gain, deadZone float64) NamedRules {
		r := shift.Default
		r.Gain, r.DeadZone = gain, deadZone
		return NamedRules{name, r}
	}
	return []NamedRules{
		set("fixed weights", 0, 0),
		set("plain, undamped", 1, 0),
		set("undamped, dead zone 0.1", 1, 0.1),
		set("part 0.2 (Jockey's), no dead zone", 0.2, 0),
		set("part 0.2 (Jockey's), dead zone 0.1", 0.2, 0.1),
		set("part 0.1, no dead zone", 0.1, 0),
		set("part 0.05, no dead zone", 0.05, 0),
		set("part 0.05, dead zone 0.05", 0.05, 0.05),
		set("part 0.05, dead zone 0.1", 0.05, 0.1),
		set("part 0.02, no dead zone", 0.02, 0),
		set("part 0.02, dead zone 0.1", 0.02, 0.1),
	}
}

// newCase returns a case without time factors or leaving servers. Its change is after 5 minutes.
func newCase(name, description string) Case {
	return Case{
		Name: name, Description: description, Servers: 7, Entries: 4, Rate: 100, MeanDuration: time.Minute, Load: 0.7,
		MinLag: 2 * time.Second, ChangeAt: 5 * time.Minute, Length: 20 * time.Minute,
	}
}

// Slow has a server that becomes five times slower.
func Slow() Case {
	c := newCase("slow", "one server 5 times slower from 300 s, flows last a minute, reports are 2 to 4 s old")
	c.TimeFactors = []float64{5}
	return c
}

// Stale is Slow with reports that are four times as old.
func Stale() Case {
	c := Slow()
	c.Name, c.Description, c.MinLag = "stale", "one server 5 times slower from 300 s, reports are 5 to 10 s old", 5*time.Second
	return c
}

// Brief is Slow with flows of ten seconds.
func Brief() Case {
	c := Slow()
	c.Name, c.Description, c.MeanDuration = "brief", "one server 5 times slower from 300 s, flows last 10 s", 10*time.Second
	c.Rate = 600
	return c
}

// Few is Slow with few flows, so that loads vary at random.
func Few() Case {
	c := Slow()
	c.Name, c.Description = "few", "as slow, but with 140 flows at a time in place of 6,000"
	c.Rate = 140.0 / 60
	return c
}

// Drain has a server that leaves.
func Drain() Case {
	c := newCase("drain", "one server leaves at 300 s")
	c.ServerLeaves = true
	return c
}

// All returns all cases.
func All() []Case {
	return []Case{Slow(), Stale(), Brief(), Few(), Drain()}
}
