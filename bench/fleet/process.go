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
	// readyTimeout limits the time until a program prints its ready line.
	readyTimeout = 15 * time.Second
	// maxRecentLines is the number of output lines kept for error messages.
	maxRecentLines = 60
)

// Process is one started program. It is safe for concurrent use.
type Process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	// ready receives the fields of the ready line once.
	ready chan map[string]string

	mu          sync.Mutex
	recentLines []string
	// exitExpected is set once the process is stopped or killed on purpose.
	exitExpected bool
	err          error
}

// start runs the program, appends its output to the file name.log in dir, and
// waits for its ready line, whose fields it returns. It passes each line of
// output to onLine, if that is set.
func start(dir, name string, onLine func(string), program string, args ...string) (*Process, map[string]string, error) {
	p := &Process{
		name: name, cmd: exec.Command(program, args...),
		done: make(chan struct{}), ready: make(chan map[string]string, 1),
	}
	// The kernel kills the child when this process exits, so that an interrupted
	// run leaves no processes behind.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	// A restarted program appends to the log of the earlier process.
	logFile, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, err
	}
	readEnd, writeEnd, err := os.Pipe()
	if err != nil {
		logFile.Close()
		return nil, nil, err
	}
	p.cmd.Stdout, p.cmd.Stderr = writeEnd, writeEnd
	err = p.cmd.Start()
	writeEnd.Close()
	if err != nil {
		readEnd.Close()
		logFile.Close()
		return nil, nil, fmt.Errorf("start %s: %w", name, err)
	}
	go p.wait(readEnd, logFile, onLine)
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
		return nil, fmt.Errorf("%s exited before it was ready: %w\n%s", p.name, p.Err(), p.RecentOutput())
	case <-t.C:
		return nil, fmt.Errorf("%s was not ready after %v\n%s", p.name, readyTimeout, p.RecentOutput())
	}
}

// wait reads the output until the process closes it at its exit, and only then
// waits for the process, so that done is closed after the last line was read.
func (p *Process) wait(out io.ReadCloser, logFile *os.File, onLine func(string)) {
	p.readOutput(out, logFile, onLine)
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.done)
}

// readOutput copies the output to logFile, keeps the last lines, and sends the
// fields of the first ready line to p.ready.
func (p *Process) readOutput(out io.ReadCloser, logFile *os.File, onLine func(string)) {
	defer out.Close()
	defer logFile.Close()
	lines := bufio.NewScanner(out)
	lines.Buffer(make([]byte, 64<<10), 4<<20)
	readySeen := false
	for lines.Scan() {
		line := lines.Text()
		fmt.Fprintln(logFile, line)
		if f := readyFields(line); f != nil && !readySeen {
			readySeen = true
			p.ready <- f
		}
		if onLine != nil {
			onLine(line)
		}
		p.mu.Lock()
		p.recentLines = append(p.recentLines, line)
		if len(p.recentLines) > maxRecentLines {
			p.recentLines = p.recentLines[1:]
		}
		p.mu.Unlock()
	}
	_, _ = io.Copy(io.Discard, out) // A line above the scanner's limit must not block the program.
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns the error with which the process exited. It is nil for exit code 0
// and while the process runs.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

var errExited = errors.New("process exited")

// UnexpectedExit returns an error if the process exited without a preceding
// call of Stop, RequestStop or Kill, and nil otherwise.
func (p *Process) UnexpectedExit() error {
	p.mu.Lock()
	expected := p.exitExpected
	p.mu.Unlock()
	if expected || !p.Exited() {
		return nil
	}
	return fmt.Errorf("%s exited unexpectedly: %w\n%s", p.name, errors.Join(p.Err(), errExited), p.RecentOutput())
}

func (p *Process) expectExit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitExpected = true
}

// RecentOutput returns the last maxRecentLines lines of the output.
func (p *Process) RecentOutput() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.recentLines, "\n")
}

// Sample returns the memory and processor use of the process.
func (p *Process) Sample() (procstat.Sample, error) { return procstat.Read(p.PID()) }

// Signal sends a signal to this process only. It does nothing if the process
// has exited.
func (p *Process) Signal(s syscall.Signal) error {
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Pause suspends the process until Resume is called.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a process suspended by Pause.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Stop requests the process to stop and waits up to limit, like AwaitStop.
func (p *Process) Stop(limit time.Duration) error {
	if err := p.RequestStop(); err != nil {
		return err
	}
	return p.AwaitStop(limit)
}

// RequestStop sends SIGTERM to the process and does not wait for its exit.
func (p *Process) RequestStop() error {
	p.expectExit()
	return p.Signal(syscall.SIGTERM)
}

// AwaitStop waits for the exit of a process after RequestStop. If the process
// still runs after limit, AwaitStop kills it and returns an error. An exit code
// other than 0 is an error too.
func (p *Process) AwaitStop(limit time.Duration) error {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-p.done:
		if err := p.Err(); err != nil {
			return fmt.Errorf("stop %s: %w\n%s", p.name, err, p.RecentOutput())
		}
		return nil
	case <-t.C:
		p.Kill()
		return fmt.Errorf("%s still ran %v after the request to stop\n%s", p.name, limit, p.RecentOutput())
	}
}

// Kill sends SIGKILL to the process and waits for its exit.
func (p *Process) Kill() {
	p.expectExit()
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}
