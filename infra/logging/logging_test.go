package logging_test

import (
	"bytes"
	"strings"
	"testing"

	"marigoldfront.dev/infra/logging"
)

// Guards against lines without the prefix of their part, against a level that
// is ignored or accepted although it does not exist, and against a flood.
func TestPrefixAndLevel(t *testing.T) {
	var out bytes.Buffer
	l, err := logging.New(&out, "warn")
	if err != nil {
		t.Fatal(err)
	}
	part := logging.Part(l, "gateway")
	part.Info("The listener is open.")
	part.Warn("The store is unreachable.")
	line := out.String()
	if strings.Count(line, "\n") != 1 || !strings.Contains(line, " warn gateway: The store is unreachable.") {
		t.Errorf("log output: %q", line)
	}
	for range 500 {
		part.Warn("A home is unreachable.")
	}
	if n := strings.Count(out.String(), "A home"); n > 100 {
		t.Errorf("%d lines of one sentence", n)
	}
	if _, err := logging.New(&out, "loud"); err == nil {
		t.Error("an unknown level was accepted")
	}
}
