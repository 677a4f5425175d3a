// Package integration tests entry instances as processes on the loopback
// interface, with stand-ins for the platform and the targets. The guarantees
// named P1 to P8 in the comments are those of docs/design.md.
package integration

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"slices"
	"syscall"
	"testing"
	"time"
)

// maxLogBytes bounds the log output of each process that a failed test prints.
const maxLogBytes = 2000

// programDir is the directory of the built programs.
var programDir string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "marigold")
		if err != nil {
			panic(err)
		}
		defer os.RemoveAll(dir)
		programDir = dir
		args := []string{"build", "-o", dir + "/"}
		if info, ok := debug.ReadBuildInfo(); ok && slices.Contains(info.Settings, debug.BuildSetting{Key: "-race", Value: "true"}) {
			args = append(args, "-race")
		}
		args = append(args, "marigoldfront.dev/entry/cmd/marigold-entry", "marigoldfront.dev/standin/cmd/marigold-standin")
		build := exec.Command("go", args...)
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
			return 1
		}
		return m.Run()
	}())
}

// process is a started program. It is killed when its test ends.
type process struct {
	t    testing.TB
	name string
	cmd  *exec.Cmd
	// readyLine is the first line of the program's output.
	readyLine string
	exited    chan struct{}
}

// startProcess starts a program and waits for its first line of output.
func startProcess(t testing.TB, name, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: exec.Command(filepath.Join(programDir, program), args...), exited: make(chan struct{})}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(t.TempDir(), name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.kill()
		log.Close()
		text, _ := os.ReadFile(log.Name())
		if bytes.Contains(text, []byte("DATA RACE")) || bytes.Contains(text, []byte("panic:")) {
			t.Errorf("%s has a data race or a panic", name)
		}
		if t.Failed() {
			t.Logf("log of %s:\n%s", name, text[max(0, len(text)-maxLogBytes):])
		}
	})
	lines := bufio.NewReader(out)
	p.readyLine, err = lines.ReadString('\n')
	// The goroutine also waits for a process that did not become ready.
	// Otherwise the cleanup would block forever.
	go func() {
		_, _ = io.Copy(io.Discard, lines)
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	if err != nil {
		text, _ := os.ReadFile(log.Name())
		t.Fatalf("%s did not become ready: %v\n%s", name, err, text)
	}
	return p
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Errorf("signal to %s: %v", p.name, err)
	}
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// waitExit waits until the process exits and returns its exit code.
func (p *process) waitExit(limit time.Duration) int {
	p.t.Helper()
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(limit):
		p.t.Fatalf("%s did not end within %v", p.name, limit)
		return -1
	}
}

// address returns the address in the ready line of a stand-in.
func (p *process) address() string {
	p.t.Helper()
	var text string
	if _, err := fmt.Sscan(p.readyLine, &text); err != nil {
		p.t.Fatal(err)
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		p.t.Fatal(err)
	}
	return text
}

// doRequest sends a request with a JSON body and returns the status and body of
// the response. header holds alternating names and values.
func doRequest(client *http.Client, method, url string, body any, header ...string) (int, []byte, error) {
	r, w := io.Pipe()
	go func() { w.CloseWithError(json.NewEncoder(w).Encode(body)) }()
	req, err := http.NewRequest(method, url, r)
	if err != nil {
		return 0, nil, err
	}
	if body == nil {
		req.Body = nil
		r.Close()
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, text, err
}

// eventually polls cond and fails the test unless it holds within limit.
func eventually(t testing.TB, limit time.Duration, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("not within %v: %s", limit, what)
}
