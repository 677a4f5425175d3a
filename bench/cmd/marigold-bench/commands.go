package main

import (
	"github.com/jessevdk/go-flags"

	"marigoldfront.dev/bench/demo"
	"marigoldfront.dev/bench/measure"
	"marigoldfront.dev/bench/policies"
	"marigoldfront.dev/bench/slopes"
	"marigoldfront.dev/bench/soak"
)

// commands lists the subcommands.
var commands = []struct {
	name, short string
	command     flags.Commander
}{
	{"demo", "Run jobs of both users through a small system", &demo.Command{}},
	{"measure", "Compare the policies on real processes", &measure.Command{}},
	{"policies", "Compare policies for leased targets in simulated time", &policies.Command{}},
	{"soak", "Run a load under failures and verify every answer", &soak.Command{}},
	{"slopes", "Measure the cost of an entry process at several sizes", &slopes.Command{}},
}
