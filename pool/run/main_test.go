package run

import (
	"io"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// Guards against a process that ends when its settings change while it starts: a
// SIGHUP that is not caught yet terminates it, and with it this test.
func TestHangupWhileSettingsAreReadIsCaught(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	code := make(chan int, 1)
	go func() { code <- Main([]string{"--config", path}, nil, io.Discard, io.Discard) }()
	// Opening the pipe waits until Main reads the settings.
	w, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if got := <-code; got != exitFailed {
		t.Errorf("exit code %d for empty settings, want %d", got, exitFailed)
	}
}
