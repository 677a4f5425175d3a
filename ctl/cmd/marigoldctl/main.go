// Command marigoldctl submits jobs for callers, and checks, applies and
// inspects change tickets for operators.
package main

import (
	"os"

	"marigoldfront.dev/ctl/command"
)

func main() {
	os.Exit(int(command.New(os.Stdout, os.Stderr).Run(os.Args[1:])))
}
