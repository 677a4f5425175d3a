package fleet

import (
	"os"
	"testing"
	"time"
)

// Guards against a process that outlives the run that started it, and against
// taking any line of output for the ready line.
func TestProcessIsReadyAndEnds(t *testing.T) {
	p, ready, err := start(t.TempDir(), "echo", "/bin/sh", "-c", "echo starting; echo 127.0.0.1:4711; exec sleep 60")
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

// Guards against a run that waits for a program that has already failed.
func TestStartReportsAnEarlyEnd(t *testing.T) {
	begin := time.Now()
	_, _, err := start(t.TempDir(), "broken", "/bin/sh", "-c", "echo no such setting; exit 3")
	if err == nil || time.Since(begin) > readyTimeout/2 {
		t.Errorf("got %v after %v, want the error at once", err, time.Since(begin))
	}
}
