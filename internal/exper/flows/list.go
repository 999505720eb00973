package flows

import (
	"time"

	"mangowinch/internal/load/shift"
)

// NamedRules is a set of rules with the name of its row.
type NamedRules struct {
	Name  string
	Rules shift.Rules
}

// Rules lists the rules that are compared.
func Rules() []NamedRules {
	set := func(name string, part, dead float64) NamedRules {
		r := shift.Default
		r.Gain, r.DeadZone = part, dead
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

func base(name, story string) Case {
	return Case{
		Name: name, Description: story, Servers: 7, Entries: 4, Rate: 100, MeanDuration: time.Minute, Load: 0.7,
		MinLag: 2 * time.Second, ChangeAt: 5 * time.Minute, Length: 20 * time.Minute,
	}
}

// Slow is a server that turns five times slower.
func Slow() Case {
	c := base("slow", "one server 5 times slower from 300 s, flows last a minute, reports are 2 to 4 s old")
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

// Few is a service with few, long flows, where chance makes loads differ.
func Few() Case {
	c := Slow()
	c.Name, c.Description = "few", "as slow, but with 140 flows at a time in place of 6,000"
	c.Rate = 140.0 / 60
	return c
}

// Drain is a server that leaves.
func Drain() Case {
	c := base("drain", "one server leaves at 300 s")
	c.ServerLeaves = true
	return c
}

// All lists the cases.
func All() []Case {
	return []Case{Slow(), Stale(), Brief(), Few(), Drain()}
}
