// Command marigold-standin runs stand-ins of the platform and of targets for
// tests.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	p := flags.NewParser(&struct{}{}, flags.Default)
	add(p, "platform", "Run the key-value store and the instance list", &platformCommand{})
	add(p, "target", "Run a target", &targetCommand{})
	if _, err := p.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
}

func add(p *flags.Parser, name, summary string, cmd flags.Commander) {
	if _, err := p.AddCommand(name, summary, "", cmd); err != nil {
		panic(err)
	}
}
