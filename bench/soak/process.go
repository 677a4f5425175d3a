package soak

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
)

const (
	readyTimeout = 20 * time.Second
	tailLines    = 60
)

// process is one started program.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}

	mu sync.Mutex
	// expected says that the run itself ends the process.
	expected bool
	err      error
	tail     []string
}

// launch starts a program. Its standard output goes line by line to onLine and
// its standard error to a file in dir.
func launch(bin, dir, name, program string, args []string, onLine func(string)) (*process, error) {
	p := &process{name: name, cmd: exec.Command(filepath.Join(bin, program), args...), done: make(chan struct{})}
	// A child ends with this program, so that an interrupted run leaves none.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		log.Close()
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go p.wait(out, stderr, log, onLine)
	return p, nil
}

// wait reads both outputs to their ends, which come with the end of the
// process, and only then waits for it, so that no line is lost.
func (p *process) wait(out, stderr io.Reader, log *os.File, onLine func(string)) {
	var wg sync.WaitGroup
	wg.Go(func() { eachLine(out, onLine) })
	wg.Go(func() {
		eachLine(stderr, func(line string) {
			fmt.Fprintln(log, line)
			p.keep(line)
		})
	})
	wg.Wait()
	log.Close()
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.done)
}

func eachLine(r io.Reader, do func(string)) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 4<<20)
	for lines.Scan() {
		do(lines.Text())
	}
	_, _ = io.Copy(io.Discard, r) // A line above the limit must not block the program.
}

func (p *process) keep(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tail = append(p.tail, line)
	p.tail = p.tail[max(0, len(p.tail)-tailLines):]
}

// crash returns how the process ended without being told to, or nil.
func (p *process) crash() error {
	select {
	case <-p.done:
	default:
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.expected {
		return nil
	}
	return fmt.Errorf("%s ended by itself: %w\n%s", p.name, errors.Join(p.err, errEnded), strings.Join(p.tail, "\n"))
}

var errEnded = errors.New("process ended")

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.expect()
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) expect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expected = true
}

// stop asks the process to end and waits for it up to limit. An end with
// another exit code than 0 is an error.
func (p *process) stop(limit time.Duration) error {
	p.beginStop()
	return p.awaitStop(limit)
}

func (p *process) beginStop() {
	p.expect()
	p.signal(syscall.SIGTERM)
}

func (p *process) awaitStop(limit time.Duration) error {
	select {
	case <-p.done:
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.err != nil {
			return fmt.Errorf("stop %s: %w\n%s", p.name, p.err, strings.Join(p.tail, "\n"))
		}
		return nil
	case <-time.After(limit):
		p.kill()
		return fmt.Errorf("%s did not end within %v", p.name, limit)
	}
}
