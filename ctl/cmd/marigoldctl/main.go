// Command marigoldctl submits jobs for callers, and checks, applies and
// inspects change tickets for operators.
package main

import (
	"os"

	"marigoldfront.dev/ctl/command"
	"marigoldfront.dev/platform/formats"
)

func main() {
	os.Exit(int(command.New(os.Stdout, os.Stderr, formats.Decoder{}).Run(os.Args[1:])))
}
