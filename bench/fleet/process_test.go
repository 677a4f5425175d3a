package fleet

import (
	"os"
	"slices"
	"syscall"
	"testing"
	"time"
)

// Guards against a process that keeps running after Close, here a paused one,
// and against a line of output mistaken for the ready line.
func TestProcessStartsAndCloseKillsIt(t *testing.T) {
	p, ready, err := start(t.TempDir(), "echo", nil, "/bin/sh", "-c", "echo starting; echo 127.0.0.1:4711; exec sleep 60")
	if err != nil {
		t.Fatal(err)
	}
	if ready["listen"] != "127.0.0.1:4711" {
		t.Errorf("ready with %v", ready)
	}
	if err := p.Pause(); err != nil {
		t.Error(err)
	}
	f := &Fleet{dir: t.TempDir(), processes: []*Process{p}}
	f.Close()
	if err := p.cmd.Process.Signal(os.Interrupt); err == nil {
		t.Error("the process still runs after Close")
	}
}

// Guards against a start that waits for the ready line of a program that has
// already exited.
func TestStartReportsEarlyExit(t *testing.T) {
	begin := time.Now()
	_, _, err := start(t.TempDir(), "broken", nil, "/bin/sh", "-c", "echo no such setting; exit 3")
	if err == nil || time.Since(begin) > readyTimeout/2 {
		t.Errorf("got %v after %v, want the error at once", err, time.Since(begin))
	}
}

// Guards against an unexpected exit that is not reported, a requested stop that
// is reported as unexpected, and a Done channel that is closed before the last
// line of output was read.
func TestUnexpectedExitDiffersFromStop(t *testing.T) {
	const script = "trap 'echo last; exit 0' TERM; echo 127.0.0.1:4711; while :; do sleep 0.01; done"
	for _, crash := range []bool{true, false} {
		var lines []string
		p, _, err := start(t.TempDir(), "echo", func(line string) { lines = append(lines, line) }, "/bin/sh", "-c", script)
		if err != nil {
			t.Fatal(err)
		}
		if crash {
			err = p.Signal(syscall.SIGTERM)
		} else {
			err = p.Stop(readyTimeout)
		}
		<-p.Done()
		if err != nil || (p.UnexpectedExit() != nil) != crash {
			t.Errorf("got %v and the unexpected exit %v, want an unexpected exit: %v", err, p.UnexpectedExit(), crash)
		}
		if !slices.Contains(lines, "last") {
			t.Errorf("got the lines %q, want the line \"last\" among them", lines)
		}
	}
}
