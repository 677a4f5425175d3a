package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"marigoldfront.dev/bench/fleet"
	"marigoldfront.dev/core/directory"
)

const (
	ctlProgram = "marigoldctl"
	ctlTimeout = 45 * time.Second
	// maxParallelJobs is the value of the flag --parallel.
	maxParallelJobs = "6"
)

// Exit codes with which marigoldctl reports that it received answers.
const (
	exitOK          = 0
	exitNotComplete = 6
	exitUnknown     = 7
)

// entryURLs returns the base URLs of the running entry instances. Those of the
// given availability zone come first, rotated by n so that callers start at
// different instances.
func entryURLs(f *fleet.Fleet, zone string, n int) []string {
	var own, other []string
	for _, e := range sortedEntries(f) {
		switch {
		case e.Exited():
		case e.AvailabilityZone == zone:
			own = append(own, e.URL())
		default:
			other = append(other, e.URL())
		}
	}
	if len(own) > 0 {
		n %= len(own)
		own = append(own[n:len(own):len(own)], own[:n]...)
	}
	return append(own, other...)
}

// sortedEntries returns the entry instances, sorted by name.
func sortedEntries(f *fleet.Fleet) []*fleet.Entry {
	l := f.Entries()
	slices.SortFunc(l, func(a, b *fleet.Entry) int { return strings.Compare(a.EntrySpec.Name, b.EntrySpec.Name) })
	return l
}

// runMarigoldctl runs marigoldctl against the given entry instances, with env
// added to its environment. It returns the standard output and the exit code.
// If the exit code is above 0, the error contains the standard error output. If
// the program does not start or a signal ends it, the exit code is 0 and the
// error is not nil.
func runMarigoldctl(f *fleet.Fleet, entries []string, env []string, args ...string) ([]byte, int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), ctlTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, f.ProgramPath(ctlProgram), args...)
	cmd.Env = append(os.Environ(),
		"MARIGOLD_STORE="+f.Platform.Address, "MARIGOLD_INSTANCE_LIST="+f.Platform.URL(),
		"MARIGOLD_ENTRY="+strings.Join(entries, ","))
	cmd.Env = append(cmd.Env, env...)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() > 0 {
		return out.Bytes(), exit.ExitCode(), fmt.Errorf("marigoldctl %s: %s", strings.Join(args, " "), errOut.String())
	}
	return out.Bytes(), exitOK, err
}

// writeTOML writes v to a file in the directory of the fleet and returns its
// path.
func writeTOML(f *fleet.Fleet, name string, v any) (string, error) {
	b, err := toml.Marshal(v)
	if err != nil {
		return "", err
	}
	path := filepath.Join(f.Dir(), name)
	return path, os.WriteFile(path, b, 0o600)
}

// applyTicket checks and applies the ticket of the demo, and waits until all
// entry instances have it in force.
func applyTicket(f *fleet.Fleet, w io.Writer) error {
	var targets []directory.Target
	for _, t := range f.Targets() {
		targets = append(targets, t.DirectoryTarget())
	}
	path, err := writeTOML(f, "ticket.toml", newTicket(targets))
	if err != nil {
		return err
	}
	all := entryURLs(f, zones[0], 0)
	if _, _, err := runMarigoldctl(f, all, nil, "ticket", "check", path); err != nil {
		return err
	}
	begin := time.Now()
	if _, _, err := runMarigoldctl(f, all, nil, "ticket", "apply", path, "--wait", ticketTimeout); err != nil {
		return err
	}
	fmt.Fprintf(w, "applied: ticket 1, in force at all entry instances within %v\n", time.Since(begin).Round(10*time.Millisecond))
	return nil
}

// ctlAnswer is one answer in the JSON output of marigoldctl.
type ctlAnswer struct {
	Job     int      `json:"job"`
	State   string   `json:"state"`
	Code    string   `json:"code"`
	Message string   `json:"message"`
	Starts  int      `json:"starts"`
	Results [][]byte `json:"results"`
}

// submit submits the caller's jobs through the entry instances of an
// availability zone. The instance that is tried first depends on n.
func submit(f *fleet.Fleet, c callerSpec, zone string, n int) ([]ctlAnswer, error) {
	path, err := writeTOML(f, c.name+"-"+zone+".toml", c.jobFile())
	if err != nil {
		return nil, err
	}
	env := []string{"MARIGOLD_CALLER=" + c.name, "MARIGOLD_TOKEN=" + c.token()}
	out, code, err := runMarigoldctl(f, entryURLs(f, zone, n), env, "--output", "json", "job", "submit", path, "--parallel", maxParallelJobs)
	if code != exitOK && code != exitNotComplete && code != exitUnknown {
		return nil, err
	}
	var reply struct {
		Answers []ctlAnswer `json:"answers"`
	}
	return reply.Answers, json.Unmarshal(out, &reply)
}

// jobFile returns the caller's jobs in this order: those that complete, those
// that fail, those that no target can run.
func (c callerSpec) jobFile() jobFile {
	var f jobFile
	for i := range c.jobCount() {
		j := fileJob{Service: c.service, Repeatable: c.repeatable, TimeoutMS: timeoutMS}
		failing := i >= c.jobs && i < c.jobs+c.failingJobs
		if i >= c.jobs+c.failingJobs {
			j.MemoryMB = unplaceableMemoryMB
		}
		for t := range c.tasks {
			b, err := json.Marshal(taskPayload{RunMS: c.runMS + 20*t, Fail: failing, Result: c.result(i, t)})
			if err != nil {
				panic(err)
			}
			j.Tasks = append(j.Tasks, fileTask{Payload: string(b), DeclaredMS: c.runMS})
		}
		f.Jobs = append(f.Jobs, j)
	}
	return f
}

// waitForInterrupt prints the addresses of the processes and waits for SIGINT
// or SIGTERM.
func waitForInterrupt(f *fleet.Fleet, w io.Writer) {
	fmt.Fprintf(w, "settings and logs: %s\n", f.Dir())
	for _, e := range sortedEntries(f) {
		if e.Exited() {
			continue
		}
		fmt.Fprintf(w, "%s: pid %d, callers and operators at %s, peers at %s\n", e.EntrySpec.Name, e.PID(), e.Address, e.PeerAddress)
	}
	fmt.Fprintf(w, "export MARIGOLD_STORE=%s MARIGOLD_INSTANCE_LIST=%s MARIGOLD_ENTRY=%s\n",
		f.Platform.Address, f.Platform.URL(), strings.Join(entryURLs(f, zones[0], 0), ","))
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	<-stop
}
