package command

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"marigoldfront.dev/ctl/exit"
	"marigoldfront.dev/platform/formats"
	"marigoldfront.dev/standin/platform"
)

// runDependent matches the output that differs between two runs: nonces, times
// and ports.
var runDependent = regexp.MustCompile(`("nonce": |"created_unix_ms": |created: |127\.0\.0\.1:)[^,\s]+`)

// progressLine matches progress lines, whose number depends on the run time.
var progressLine = regexp.MustCompile(`(?m)^\d+ of \d+ jobs answered\n`)

// transcript runs commands in sequence and records their output and exit codes.
type transcript struct {
	global []string
	log    bytes.Buffer
}

func (r *transcript) run(args ...string) exit.Code {
	var out, errOut bytes.Buffer
	code := New(&out, &errOut, formats.Decoder{}).Run(append(append([]string{}, r.global...), args...))
	fmt.Fprintf(&r.log, "$ marigoldctl %s\n%s%sexit code %d\n\n", strings.Join(args, " "), out.String(), errOut.String(), code)
	return code
}

func (r *transcript) compare(t *testing.T, name string) {
	t.Helper()
	log := progressLine.ReplaceAll(r.log.Bytes(), nil)
	goldie.New(t).Assert(t, name, runDependent.ReplaceAll(log, []byte("$1*")))
}

func newTranscript(t *testing.T) *transcript {
	s := httptest.NewServer(platform.New())
	t.Cleanup(s.Close)
	return &transcript{global: []string{"--store", strings.TrimPrefix(s.URL, "http://"), "--instance-list", s.URL}}
}

// Guards against commands that no longer report what a ticket changes, who owns
// a caller or which targets serve it, for the newest or an earlier ticket.
func TestOperatorCommands(t *testing.T) {
	r := newTranscript(t)
	for _, step := range []struct {
		args string
		want exit.Code
	}{
		{"ticket check testdata/first.toml", exit.OK},
		{"ticket verify 1", exit.NotFound},
		{"ticket apply testdata/first.toml", exit.OK},
		{"ticket apply testdata/second.toml", exit.OK},
		{"ticket apply testdata/second.toml", exit.Conflict},
		{"ticket show 2", exit.OK},
		{"ticket show 3", exit.NotFound},
		{"ticket diff 1 2", exit.OK},
		{"--output json ticket diff 1 2", exit.OK},
		{"ticket verify 2", exit.OK},
		{"owner customs-valuations", exit.OK},
		{"owner customs-valuations --as-of 1", exit.OK},
		{"owner nobody", exit.NotFound},
		{"targets appraisal-desk", exit.OK},
		{"targets --caller customs-valuations --as-of 1", exit.OK},
		{"--output json targets appraisal-desk", exit.OK},
		{"targets", exit.Usage},
		{"instances", exit.OK},
	} {
		if got := r.run(strings.Fields(step.args)...); got != step.want {
			t.Errorf("%s: exit code %d, want %d", step.args, got, step.want)
		}
	}
	r.compare(t, "operator")
}

// Guards against an invalid ticket being written, and against findings without
// file, line and key.
func TestFindings(t *testing.T) {
	r := newTranscript(t)
	for _, file := range []string{"wrong_types.toml", "wrong_values.toml", "missing.toml"} {
		if got := r.run("ticket", "apply", "testdata/"+file); got != exit.Findings {
			t.Errorf("%s: exit code %d, want %d", file, got, exit.Findings)
		}
	}
	if got := r.run("job", "submit", "testdata/wrong_jobs.toml"); got != exit.Findings {
		t.Errorf("wrong jobs: exit code %d", got)
	}
	if got := r.run("ticket", "show", "1"); got != exit.NotFound {
		t.Errorf("a ticket with findings was written: exit code %d", got)
	}
	r.compare(t, "findings")
}

// Guards against an error message that does not state that nothing was changed
// when the store is unreachable.
func TestStoreOutage(t *testing.T) {
	r := &transcript{global: []string{"--store", "127.0.0.1:1"}}
	if got := r.run("ticket", "apply", "testdata/first.toml"); got != exit.Unreachable {
		t.Errorf("exit code %d, want %d", got, exit.Unreachable)
	}
	if !strings.Contains(r.log.String(), "Nothing was changed") {
		t.Errorf("the output does not say that nothing was changed:\n%s", r.log.String())
	}
}

// entryStub is an entry instance that answers jobs 1 to 4 of a session with the
// four states.
func entryStub(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPost:
		w.WriteHeader(http.StatusCreated)
		io.WriteString(w, `{"session":"s1","window":1024}`)
	case strings.HasSuffix(r.URL.Path, "/jobs/1"):
		io.WriteString(w, `{"state":"complete","results":["b2s="],"starts":1,"trace_id":"t1"}`)
	case strings.HasSuffix(r.URL.Path, "/jobs/2"):
		io.WriteString(w, `{"state":"failed","code":"task_failed","message":"no such rug","starts":2}`)
	case strings.HasSuffix(r.URL.Path, "/jobs/3"):
		io.WriteString(w, `{"state":"not_run","code":"never_fits","message":"1 task needs 9 MB","starts":0}`)
	case strings.HasSuffix(r.URL.Path, "/jobs/4"):
		io.WriteString(w, `{"state":"unknown","code":"ambiguous_attempt","message":"connection lost","starts":1}`)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// Guards against an exit code of success for an unknown or failed answer, which
// scripts would take for a complete one.
func TestCallerCommands(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(entryStub))
	defer s.Close()
	r := &transcript{global: []string{"--entry", s.URL, "--caller", "dealer-checks"}}
	for _, step := range []struct {
		args string
		want exit.Code
	}{
		{"session open", exit.OK},
		{"job submit testdata/jobs.toml --parallel 1", exit.Unknown},
		{"job collect --session s1 --seq 1", exit.OK},
		{"job collect --session s1 --seq 2", exit.NotComplete},
		{"--output json job cancel --session s1 --seq 4", exit.Unknown},
	} {
		if got := r.run(strings.Fields(step.args)...); got != step.want {
			t.Errorf("%s: exit code %d, want %d", step.args, got, step.want)
		}
	}
	r.compare(t, "caller")
}

// Guards against an instance that is behind or unreachable but counted as up to
// date, and against a draining instance counted as behind: a command that waits
// for the ticket would then wait until its time limit.
func TestTicketStatus(t *testing.T) {
	const peers = `"peers":[{"instance":"b","state":"draining","ticket":1},{"instance":"c","state":"suspected","ticket":1}]`
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, `{"instance":"a","availability_zone":"accra","state":"live","ticket":2,"digest":"d",`+peers+`}`)
	}))
	defer s.Close()
	r := &transcript{global: []string{"--entry", s.URL}}
	for number, want := range map[string]exit.Code{"1": exit.OK, "2": exit.NotInForce} {
		if got := r.run("ticket", "status", number); got != want {
			t.Errorf("ticket %s: exit code %d, want %d\n%s", number, got, want, r.log.String())
		}
	}
	if !strings.Contains(r.log.String(), "ticket 2: in force at 1 of 2 instances, 1 draining") {
		t.Errorf("wrong counts:\n%s", r.log.String())
	}
	stopped := &transcript{global: []string{"--entry", s.URL, "--entry", "http://127.0.0.1:1"}}
	if got := stopped.run("ticket", "status", "1"); got != exit.NotInForce {
		t.Errorf("with an unreachable instance: exit code %d", got)
	}
}

// Guards against help texts without options or examples, and against help that
// prints the caller's token.
func TestHelp(t *testing.T) {
	t.Setenv("MARIGOLD_TOKEN", "secret-in-the-environment")
	r := &transcript{}
	for _, args := range []string{"--help", "ticket apply --help", "job submit --help", "job submit", "pool targets --help"} {
		r.run(strings.Fields(args)...)
	}
	if strings.Contains(r.log.String(), "secret-in-the-environment") {
		t.Error("the help shows the token")
	}
	r.compare(t, "help")
}

// Guards against files in examples that no longer match the file formats.
func TestExamples(t *testing.T) {
	for _, user := range []string{"guild", "chama-segura"} {
		dir := filepath.Join("..", "..", "examples", user)
		r := newTranscript(t)
		if got := r.run("ticket", "apply", filepath.Join(dir, "ticket.toml")); got != exit.OK {
			t.Errorf("%s: %s", user, r.log.String())
		}
		if got := r.run("ticket", "verify", "1"); got != exit.OK || !strings.Contains(r.log.String(), "48 targets") {
			t.Errorf("%s: want 48 targets: %s", user, r.log.String())
		}
		if _, err := os.Stat(filepath.Join(dir, "jobs.toml")); err != nil {
			t.Error(err)
		}
		if got := r.run("job", "submit", filepath.Join(dir, "jobs.toml")); got != exit.Usage {
			t.Errorf("%s: jobs.toml has findings: %s", user, r.log.String())
		}
	}
}
