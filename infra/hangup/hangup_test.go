//go:build cgo

package hangup

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// Guards against a SIGHUP that ends a process which has just been started, and against one
// that is lost although the program has asked for it.
func TestHangupIsIgnoredUntilItIsAskedFor(t *testing.T) {
	if !signal.Ignored(syscall.SIGHUP) {
		t.Fatal("SIGHUP was not ignored when the runtime started")
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case <-hangups:
	case <-time.After(5 * time.Second):
		t.Error("SIGHUP was not delivered")
	}
}
