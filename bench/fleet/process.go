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
	err  error
}

// start runs the program, copies its output to a file of the directory, and
// waits for its ready line.
func start(dir, name, program string, args ...string) (*Process, map[string]string, error) {
	p := &Process{
		label: name, cmd: exec.Command(program, args...),
		done: make(chan struct{}), ready: make(chan map[string]string, 1),
	}
	// Children end with this process, so that an interrupted run leaves none.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	copied, err := os.Create(filepath.Join(dir, name+".log"))
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
	go p.read(out, copied)
	go p.wait()
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
		return nil, fmt.Errorf("%s ended before it was ready: %w\n%s", p.label, p.Err(), p.Tail())
	case <-t.C:
		return nil, fmt.Errorf("%s was not ready after %v\n%s", p.label, readyTimeout, p.Tail())
	}
}

func (p *Process) wait() {
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.done)
}

// read keeps the last lines of the output, copies all of them, and recognises
// the ready line.
func (p *Process) read(out io.ReadCloser, copied *os.File) {
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
		p.mu.Lock()
		p.last = append(p.last, line)
		if len(p.last) > keptLines {
			p.last = p.last[1:]
		}
		p.mu.Unlock()
	}
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

// Tail returns the last lines of the output.
func (p *Process) Tail() string {
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
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-p.done:
		return p.Err()
	case <-t.C:
		return fmt.Errorf("%s runs %v after its stop\n%s", p.label, limit, p.Tail())
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}
