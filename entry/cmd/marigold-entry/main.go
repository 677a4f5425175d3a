// Command marigold-entry runs an entry instance.
package main

import (
	"os"

	"marigoldfront.dev/entry/run"
)

func main() {
	os.Exit(run.Main(os.Args[1:], os.Stdout, os.Stderr))
}
