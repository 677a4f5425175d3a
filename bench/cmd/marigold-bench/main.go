// Command marigold-bench runs the programs of the system as processes on
// loopback addresses, to demonstrate, test and measure them.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	p := flags.NewNamedParser("marigold-bench", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.short, c.short+".", c.command); err != nil {
			panic(err)
		}
	}
	if _, err := p.Parse(); err != nil {
		if flags.WroteHelp(err) {
			fmt.Println(err)
			return
		}
		fmt.Fprintf(os.Stderr, "marigold-bench: %v\n", err)
		os.Exit(1)
	}
}
