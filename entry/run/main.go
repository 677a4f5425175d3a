package run

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"runtime/pprof"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// The exit codes of Main.
const (
	exitOK = iota
	// exitFailed is returned for findings in the settings, for errors, and for
	// a shutdown that did not finish all work.
	exitFailed
	exitUsage
)

type options struct {
	Config     string `long:"config" value-name:"FILE" required:"true" description:"settings file"`
	CPUProfile string `long:"cpu-profile" value-name:"FILE" description:"write a CPU profile of the whole run"`
	Check      struct {
	} `command:"check" description:"print all findings of the settings file and exit"`
}

// Main runs the program with the command-line arguments args and returns its
// exit code. After the listeners are open, it writes one line of JSON with
// their addresses to stdout.
func Main(args []string, stdout, stderr io.Writer) int {
	var opts options
	parser := flags.NewNamedParser("marigold-entry", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
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
	settings, findings := LoadSettings(opts.Config)
	if len(findings) > 0 {
		fmt.Fprintln(stderr, findings.Error())
		return exitFailed
	}
	if parser.Active != nil {
		return exitOK
	}
	stop, err := startCPUProfile(opts.CPUProfile)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	defer stop()
	return runInstance(settings, stdout, stderr)
}

// gcPercent uses more memory to save CPU time. The live heap of an instance is a
// few MB, so with the default percentage the garbage collector would run many
// times a second under load.
const gcPercent = 400

// runInstance runs an instance until SIGTERM or SIGINT and returns the exit
// code.
func runInstance(settings Settings, stdout, stderr io.Writer) int {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(settings.budget().Heap)
	in, err := New(settings)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	listen, peerListen := in.Addresses()
	_ = json.NewEncoder(stdout).Encode(struct {
		Ready      bool   `json:"ready"`
		Listen     string `json:"listen"`
		PeerListen string `json:"peer_listen"`
	}{true, listen, peerListen})
	finished, err := in.Serve(signals)
	if err != nil {
		fmt.Fprintln(stderr, err)
	}
	if err != nil || !finished {
		return exitFailed
	}
	return exitOK
}

// startCPUProfile writes a CPU profile to path until stop is called. It does
// nothing if path is empty.
func startCPUProfile(path string) (stop func(), err error) {
	if path == "" {
		return func() {}, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		f.Close()
	}, nil
}
