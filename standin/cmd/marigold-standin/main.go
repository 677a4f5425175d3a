// Command marigold-standin runs a stand-in for the platform or for a target, for
// use in tests.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	p := flags.NewParser(&struct{}{}, flags.Default)
	addCommand(p, "platform", "Run the key-value store and the instance list", &platformCommand{})
	addCommand(p, "target", "Run a target", &targetCommand{})
	if _, err := p.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
}

func addCommand(p *flags.Parser, name, summary string, cmd flags.Commander) {
	if _, err := p.AddCommand(name, summary, "", cmd); err != nil {
		panic(err)
	}
}
