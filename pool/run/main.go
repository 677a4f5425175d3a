package run

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"

	"marigoldfront.dev/pool/settings"
)

// The exit codes of Main.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

const (
	// gcPercent reduces the CPU time of the garbage collector at the expense of
	// memory. The live heap is only a few MB.
	gcPercent = 200
)

type options struct {
	Config string `long:"config" value-name:"FILE" env:"MARIGOLDFRONT_CONFIG" required:"true" description:"settings file"`
	Check  bool   `long:"check" description:"print all findings of the settings file and exit"`
}

// Main parses the command line, runs an instance and returns the exit code. The
// function connect returns the adapters to the platform. SIGTERM and interrupts
// shut the instance down; SIGHUP validates the settings file again.
func Main(args []string, connect func(settings.Settings) Platform, stdout, stderr io.Writer) int {
	// Signals are caught first, because a SIGHUP that is not caught ends the process.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	var opts options
	parser := flags.NewNamedParser("marigold-pool", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		panic(err)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, err)
			return exitOK
		}
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	cfg, found := settings.Load(opts.Config)
	if len(found) > 0 {
		fmt.Fprintln(stderr, found.Error())
		return exitFailed
	}
	if opts.Check {
		return exitOK
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(budget(&cfg).Heap)
	in, err := New(cfg, connect(cfg))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	go func() {
		for range reloads {
			in.Reload(settings.Load(opts.Config))
		}
	}()
	if err := in.Serve(signals); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}
