package logging_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"marigoldfront.dev/infra/logging"
)

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	out strings.Builder
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.String()
}

// Guards against lines without the prefix of their component, against a level
// that is ignored or accepted although it does not exist, and against writing
// every repetition of a line.
func TestPrefixAndLevel(t *testing.T) {
	var out syncBuffer
	l, err := logging.New(&out, "warn")
	if err != nil {
		t.Fatal(err)
	}
	component := logging.ForComponent(l, "gateway")
	component.Info("The listener is open.")
	component.Warn("The store is unreachable.")
	if err := l.Sync(); err != nil {
		t.Fatal(err)
	}
	line := out.String()
	if strings.Count(line, "\n") != 1 || !strings.Contains(line, " warn gateway: The store is unreachable.") {
		t.Errorf("log output: %q", line)
	}
	for range 500 {
		component.Warn("A home is unreachable.")
	}
	if err := l.Sync(); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "gateway: A home"); n < 1 || n > 40 {
		t.Errorf("%d lines with the same sentence, want 1 to 40", n)
	}
	if _, err := logging.New(&out, "loud"); err == nil {
		t.Error("an unknown level was accepted")
	}
}

// Guards against repeated lines that are dropped without a trace. Their number
// must be logged in a separate line.
func TestRepeatedLinesAreSummed(t *testing.T) {
	var out syncBuffer
	l, err := logging.New(&out, "info")
	if err != nil {
		t.Fatal(err)
	}
	for range 500 {
		l.Info("A home is unreachable.")
	}
	want := `Repeated lines were dropped. {"sentence": "A home is unreachable.", "lines": `
	for end := time.Now().Add(10 * time.Second); !strings.Contains(out.String(), want); {
		if time.Now().After(end) {
			t.Fatalf("the number of dropped lines is missing in %q", out.String())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// blockedWriter is a writer whose Write blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against requests that block on logging because the reader of the log
// has stopped.
func TestLoggingDoesNotWaitForItsWriter(t *testing.T) {
	w := blockedWriter{make(chan struct{})}
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
		t.Error("logging blocks on its writer")
	}
	close(w.release)
}
