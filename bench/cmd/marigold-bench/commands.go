package main

import (
	"github.com/jessevdk/go-flags"

	"marigoldfront.dev/bench/demo"
)

// commands holds the subcommands, one line each.
var commands = []struct {
	name, short string
	command     flags.Commander
}{
	{"demo", "Run jobs of both users through a small system", &demo.Command{}},
}
