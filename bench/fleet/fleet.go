// Package fleet starts, pauses and stops the programs of the system as real
// processes on loopback addresses. Closing a fleet kills all its processes.
package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/ticket"
	"marigoldfront.dev/infra/store"
	"marigoldfront.dev/infra/ticketlog"
)

const (
	loopback       = "127.0.0.1:0"
	standinProgram = "marigold-standin"
	entryProgram   = "marigold-entry"
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
)

// Fleet is a set of processes that share one stand-in for the platform. It is
// safe for concurrent use.
type Fleet struct {
	Platform *Platform

	bin string
	dir string

	mu        sync.Mutex
	processes []*Process
	targets   []*Target
	entries   []*Entry
}

// New starts the stand-in for the platform from the programs in the directory
// bin. The caller must close the fleet.
func New(bin string) (*Fleet, error) {
	for _, program := range []string{standinProgram, entryProgram} {
		if _, err := os.Stat(filepath.Join(bin, program)); err != nil {
			return nil, fmt.Errorf("program not built, run make build: %w", err)
		}
	}
	dir, err := os.MkdirTemp("", "marigold-fleet-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{bin: bin, dir: dir}
	p, ready, err := f.start("platform", nil, standinProgram, "platform", "--listen", loopback)
	if err != nil {
		f.Close()
		return nil, err
	}
	f.Platform = &Platform{Process: p, Address: ready["listen"]}
	return f, nil
}

// Dir returns the directory that holds the settings and the output of each
// process. Close removes it.
func (f *Fleet) Dir() string { return f.dir }

// ProgramPath returns the path of a built program.
func (f *Fleet) ProgramPath(name string) string { return filepath.Join(f.bin, name) }

func (f *Fleet) start(name string, onLine func(string), program string, args ...string) (*Process, map[string]string, error) {
	p, ready, err := start(f.dir, name, onLine, f.ProgramPath(program), args...)
	if err != nil {
		return nil, nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
	return p, ready, nil
}

// Targets returns all targets that were started, including those that exited.
func (f *Fleet) Targets() []*Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Target(nil), f.targets...)
}

// Entries returns all entry instances that were started, including those that
// exited.
func (f *Fleet) Entries() []*Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Entry(nil), f.entries...)
}

// TaskStarts returns the task starts of all targets that are still running.
func (f *Fleet) TaskStarts() ([]TaskStart, error) {
	var all []TaskStart
	for _, t := range f.Targets() {
		if t.Exited() {
			continue
		}
		s, err := t.TaskStarts()
		if err != nil {
			return nil, err
		}
		all = append(all, s...)
	}
	return all, nil
}

// AwaitTicket waits until every running entry instance has applied the ticket,
// and returns an error if that takes longer than limit.
func (f *Fleet) AwaitTicket(number uint64, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, e := range f.Entries() {
		for !e.Exited() {
			s, err := e.Status()
			if err == nil && s.Ticket >= number {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s has ticket %d after %v, want %d (%v)\n%s", e.Name, s.Ticket, limit, number, err, e.RecentOutput())
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// Close kills every process that the fleet started and removes its files.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		// SIGKILL also ends a process that is paused by SIGSTOP.
		_ = p.Signal(syscall.SIGKILL)
	}
	for _, p := range f.processes {
		<-p.done
	}
	_ = os.RemoveAll(f.dir)
}

// ApplyTicket appends a ticket that puts the objects of put into the
// configuration, and returns its number. It calls the store directly.
func (f *Fleet) ApplyTicket(ctx context.Context, put directory.State) (uint64, error) {
	l := ticketlog.New(store.New([]string{f.Platform.Address}, nil))
	d, err := l.Load(ctx, 0)
	if err != nil {
		return 0, err
	}
	t, _, err := ticket.Prepare(d, ticket.Ticket{Nonce: ticketlog.NewNonce(), Author: "bench", Put: put})
	if err != nil {
		return 0, err
	}
	return t.Number, l.Accept(ctx, d, t)
}

// DirectoryState returns a configuration with all started targets, the given
// services and callers, and a team of weight 1 for each team of the callers.
func (f *Fleet) DirectoryState(services []directory.Service, callers []directory.Caller) directory.State {
	s := directory.State{Teams: map[string]directory.Team{}, Services: map[string]directory.Service{},
		Callers: map[string]directory.Caller{}, Targets: map[string]directory.Target{}}
	for _, v := range services {
		s.Services[v.Name] = v
	}
	for _, c := range callers {
		s.Callers[c.Name] = c
		s.Teams[c.Team] = directory.Team{Name: c.Team, Weight: 1}
	}
	for _, t := range f.Targets() {
		s.Targets[t.TargetSpec.Name] = t.DirectoryTarget()
	}
	return s
}

// TokenSHA256 returns the digest of a caller token in the form that tickets
// contain: hexadecimal SHA-256.
func TokenSHA256(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
