package main

import (
	"context"
	"fmt"
	"time"

	"mangowinch/internal/bench/feeds"
)

type feedsCommand struct {
	Deployment string        `default:"examples/zagreb" help:"Directory of a deployment."`
	Binaries   string        `default:"bin" help:"Directory of the programs."`
	Service    string        `default:"tracing-core" help:"Service whose feeds are opened."`
	Feeds      int           `default:"20" help:"Feeds, each on a connection of its own."`
	Length     time.Duration `default:"2m" help:"Length of a feed."`
}

// Run prints both halves and how much later the last feed ended.
func (c *feedsCommand) Run() error {
	r, err := feeds.Measure(context.Background(), feeds.Plan{Deployment: c.Deployment, Binaries: c.Binaries, Service: c.Service, Feeds: c.Feeds, Length: c.Length})
	if err != nil {
		return err
	}
	fmt.Printf("%-12s %6s %6s %10s %14s %14s\n", "half", "killed", "whole", "bytes", "first ended", "last ended")
	for _, h := range []struct {
		name string
		half feeds.Phase
	}{{"undisturbed", r.Undisturbed}, {"disturbed", r.Disturbed}} {
		fmt.Printf("%-12s %6d %6d %10d %14s %14s\n", h.name, h.half.Killed, h.half.Complete, h.half.Bytes,
			h.half.Times[0].Round(time.Millisecond), h.half.Last().Round(time.Millisecond))
	}
	fmt.Printf("last feed disturbed, to undisturbed: %.4f\n", float64(r.Disturbed.Last())/float64(r.Undisturbed.Last()))
	return nil
}
