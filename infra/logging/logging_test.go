package logging_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"marigoldfront.dev/infra/logging"
)

// buffer is a writer that can be read while it is written.
type buffer struct {
	mu  sync.Mutex
	out strings.Builder
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.String()
}

// Guards against lines without the prefix of their part, against a level that
// is ignored or accepted although it does not exist, and against a flood.
func TestPrefixAndLevel(t *testing.T) {
	var out buffer
	l, err := logging.New(&out, "warn")
	if err != nil {
		t.Fatal(err)
	}
	part := logging.ForComponent(l, "gateway")
	part.Info("The listener is open.")
	part.Warn("The store is unreachable.")
	if err := l.Sync(); err != nil {
		t.Fatal(err)
	}
	line := out.String()
	if strings.Count(line, "\n") != 1 || !strings.Contains(line, " warn gateway: The store is unreachable.") {
		t.Errorf("log output: %q", line)
	}
	for range 500 {
		part.Warn("A home is unreachable.")
	}
	if err := l.Sync(); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "gateway: A home"); n < 1 || n > 40 {
		t.Errorf("%d lines of one sentence", n)
	}
	if _, err := logging.New(&out, "loud"); err == nil {
		t.Error("an unknown level was accepted")
	}
}

// Guards against repeated events that vanish from the log: those that are left
// out are summed in a line of their own.
func TestRepeatedLinesAreSummed(t *testing.T) {
	var out buffer
	l, err := logging.New(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	for range 500 {
		l.Info("A home is unreachable.")
	}
	want := `Lines were left out. {"sentence": "A home is unreachable.", "lines": `
	for end := time.Now().Add(10 * time.Second); !strings.Contains(out.String(), want); {
		if time.Now().After(end) {
			t.Fatalf("no sum in %q", out.String())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// stuck is a writer that takes nothing until it is released.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against requests that wait for a log whose reader has stopped.
func TestLoggingDoesNotWaitForItsWriter(t *testing.T) {
	w := stuck{make(chan struct{})}
	l, err := logging.New(w, "info")
	if err != nil {
		t.Fatal(err)
	}
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		for i := range 10_000 {
			l.Info(strings.Repeat("x", i%1000) + ".")
		}
	}()
	select {
	case <-logged:
	case <-time.After(10 * time.Second):
		t.Error("logging waits for its writer")
	}
	close(w.release)
}
