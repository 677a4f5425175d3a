package run

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"go.uber.org/goleak"
)

// Guards against a settings check that stops at the first finding, omits the
// line or key of a finding, or succeeds in spite of findings.
func TestCheckReportsAllFindings(t *testing.T) {
	var out, errs bytes.Buffer
	if code := Main([]string{"check", "--config", "testdata/faulty.toml"}, &out, &errs); code != exitFailed {
		t.Errorf("exit code %d", code)
	}
	want := []string{
		"2: region", "3: availability_zone", "4: listen", "5: peer_listen", "6: store", "7: instance_list",
		"8: peer_secret", "9: drain_limit_s", "10: log_level", "12: policy", "13: colour",
	}
	lines := strings.Split(strings.TrimSpace(errs.String()), "\n")
	if len(lines) != len(want) {
		t.Errorf("%d findings, want %d:\n%s", len(lines), len(want), errs.String())
	}
	for _, w := range want {
		if !strings.Contains(errs.String(), "testdata/faulty.toml:"+w+": ") {
			t.Errorf("no finding at %s in:\n%s", w, errs.String())
		}
	}
	errs.Reset()
	if code := Main([]string{"check", "--config", "testdata/none.toml"}, &out, &errs); code != exitFailed || errs.Len() == 0 {
		t.Errorf("missing file: exit code %d, %q", code, errs.String())
	}
}

// Guards against goroutines that remain after the shutdown, and against a
// graceful shutdown that depends on the store or the instance list, which are
// unreachable here.
func TestStopLeavesNoGoroutine(t *testing.T) {
	defer goleak.VerifyNone(t)
	text := `name = "e1"
region = "r"
availability_zone = "z"
listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
store = ["127.0.0.1:1"]
instance_list = "http://127.0.0.1:1"
peer_secret = "a secret of the tests"
log_level = "error"
`
	path := filepath.Join(t.TempDir(), "entry.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, found := LoadSettings(path)
	if len(found) > 0 {
		t.Fatal(found)
	}
	in, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan os.Signal, 1)
	stop <- syscall.SIGTERM
	if finished, err := in.Serve(stop); !finished || err != nil {
		t.Errorf("finished %v, error %v", finished, err)
	}
}
