package fleet

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"marigoldfront.dev/bench/procstat"
)

const (
	// readyTimeout is how long a program may take to print its ready line.
	readyTimeout = 15 * time.Second
	// keptLines is how many lines of output are kept for error messages.
	keptLines = 60
)

// Process is one started program.
type Process struct {
	label string
	cmd   *exec.Cmd
	done  chan struct{}
	// ready receives the fields of the ready line once.
	ready chan map[string]string

	mu   sync.Mutex
	last []string
	// expected says that the run itself ends the process.
	expected bool
	err      error
}

// start runs the program, copies its output to a file of the directory, and
// waits for its ready line. Each line of output goes to onLine, if that is set.
func start(dir, name string, onLine func(string), program string, args ...string) (*Process, map[string]string, error) {
	p := &Process{
		label: name, cmd: exec.Command(program, args...),
		done: make(chan struct{}), ready: make(chan map[string]string, 1),
	}
	// Children end with this process, so that an interrupted run leaves none.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	// A restarted program continues the file of its predecessor.
	copied, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, err
	}
	out, in, err := os.Pipe()
	if err != nil {
		copied.Close()
		return nil, nil, err
	}
	p.cmd.Stdout, p.cmd.Stderr = in, in
	err = p.cmd.Start()
	in.Close()
	if err != nil {
		out.Close()
		copied.Close()
		return nil, nil, fmt.Errorf("start %s: %w", name, err)
	}
	go p.wait(out, copied, onLine)
	fields, err := p.awaitReady()
	if err != nil {
		p.Kill()
		return nil, nil, err
	}
	return p, fields, nil
}

func (p *Process) awaitReady() (map[string]string, error) {
	t := time.NewTimer(readyTimeout)
	defer t.Stop()
	select {
	case f := <-p.ready:
		return f, nil
	case <-p.done:
		return nil, fmt.Errorf("%s ended before it was ready: %w\n%s", p.label, p.Err(), p.RecentOutput())
	case <-t.C:
		return nil, fmt.Errorf("%s was not ready after %v\n%s", p.label, readyTimeout, p.RecentOutput())
	}
}

// wait reads the output to its end, which comes with the end of the process,
// and only then waits for it, so that no line is lost.
func (p *Process) wait(out io.ReadCloser, copied *os.File, onLine func(string)) {
	p.read(out, copied, onLine)
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.done)
}

// read keeps the last lines of the output, copies all of them, and recognises
// the ready line.
func (p *Process) read(out io.ReadCloser, copied *os.File, onLine func(string)) {
	defer out.Close()
	defer copied.Close()
	lines := bufio.NewScanner(out)
	lines.Buffer(make([]byte, 64<<10), 4<<20)
	seen := false
	for lines.Scan() {
		line := lines.Text()
		fmt.Fprintln(copied, line)
		if f := readyFields(line); f != nil && !seen {
			seen = true
			p.ready <- f
		}
		if onLine != nil {
			onLine(line)
		}
		p.mu.Lock()
		p.last = append(p.last, line)
		if len(p.last) > keptLines {
			p.last = p.last[1:]
		}
		p.mu.Unlock()
	}
	_, _ = io.Copy(io.Discard, out) // A line above the limit must not block the program.
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns how the process ended; nil means with exit code 0.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Exited reports whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

var errEnded = errors.New("process ended")

// UnexpectedExit returns how the process ended without being stopped or killed by the
// run, or nil.
func (p *Process) UnexpectedExit() error {
	p.mu.Lock()
	expected := p.expected
	p.mu.Unlock()
	if expected || !p.Exited() {
		return nil
	}
	return fmt.Errorf("%s ended by itself: %w\n%s", p.label, errors.Join(p.Err(), errEnded), p.RecentOutput())
}

func (p *Process) expectEnd() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expected = true
}

// RecentOutput returns the last lines of the output.
func (p *Process) RecentOutput() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.last, "\n")
}

// Sample returns the memory and processor use of the process.
func (p *Process) Sample() (procstat.Sample, error) { return procstat.Read(p.PID()) }

// Signal sends a signal to this process only. It does nothing once the process
// has ended.
func (p *Process) Signal(s syscall.Signal) error {
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Pause stops the process where it is, until Resume.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Stop asks the process to end and waits for it up to limit.
func (p *Process) Stop(limit time.Duration) error {
	if err := p.RequestStop(); err != nil {
		return err
	}
	return p.AwaitStop(limit)
}

// RequestStop asks the process to end.
func (p *Process) RequestStop() error {
	p.expectEnd()
	return p.Signal(syscall.SIGTERM)
}

// AwaitStop waits up to limit for the end of a process that was asked to end,
// and then kills it. An exit code other than 0 is an error.
func (p *Process) AwaitStop(limit time.Duration) error {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-p.done:
		if err := p.Err(); err != nil {
			return fmt.Errorf("stop %s: %w\n%s", p.label, err, p.RecentOutput())
		}
		return nil
	case <-t.C:
		p.Kill()
		return fmt.Errorf("%s runs %v after its stop\n%s", p.label, limit, p.RecentOutput())
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.expectEnd()
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}
