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
	// exitFailed is for findings in the settings, for errors, and for a stop
	// that could not finish all work.
	exitFailed
	exitUsage
)

type options struct {
	Config     string `long:"config" value-name:"FILE" required:"true" description:"settings file"`
	CPUProfile string `long:"cpu-profile" value-name:"FILE" description:"write a CPU profile of the whole run"`
	Check      struct {
	} `command:"check" description:"print all findings of the settings file and exit"`
}

// Main runs the command line and returns the exit code. Once the listeners
// are open it prints one line of JSON with their addresses to stdout.
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
	settings, found := LoadSettings(opts.Config)
	if len(found) > 0 {
		fmt.Fprintln(stderr, found.Error())
		return exitFailed
	}
	if parser.Active != nil {
		return exitOK
	}
	stop, err := profile(opts.CPUProfile)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	defer stop()
	return serve(settings, stdout, stderr)
}

// gcPercent and memoryLimit trade memory for processor time: the live heap of
// an instance is a few MB, so that the default percentage would collect it
// many times a second under load.
const (
	gcPercent   = 400
	memoryLimit = 512 << 20
)

func serve(settings Settings, stdout, stderr io.Writer) int {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
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

// profile starts a CPU profile, unless path is empty.
func profile(path string) (stop func(), err error) {
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
