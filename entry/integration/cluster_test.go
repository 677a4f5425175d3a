package integration

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/ticket"
	"marigoldfront.dev/entry/run"
	"marigoldfront.dev/infra/instancelist"
	"marigoldfront.dev/infra/store"
	"marigoldfront.dev/infra/ticketlog"
)

const (
	region      = "region-a"
	zone        = "zone-a"
	callerName  = "desk"
	callerToken = "token-of-the-desk"
	service     = "appraisal"
	// targetConnections bounds the connections of all entry instances to a
	// target. A target accepts testConnections more for requests of the tests.
	targetConnections = 60
	testConnections   = 4
	// propagationLimit bounds the time until all instances use a new
	// configuration (guarantee P8).
	propagationLimit = 6 * time.Second
)

// cluster is a platform with targets and entry instances.
type cluster struct {
	t        testing.TB
	platform *process
	state    directory.State
	log      *ticketlog.Log
	current  *directory.Directory
}

func newCluster(t testing.TB) *cluster {
	c := &cluster{t: t, platform: startProcess(t, "platform", "marigold-standin", "platform", "--listen", "127.0.0.1:0")}
	c.log = ticketlog.New(store.New([]string{c.platform.address()}, nil))
	c.current = directory.Empty()
	sum := sha256.Sum256([]byte(callerToken))
	c.state = directory.State{
		Teams:    map[string]directory.Team{"team": {Name: "team", Weight: 1}},
		Services: map[string]directory.Service{service: {Name: service, Owner: "o", ExpectedMS: 20, MaxAttempts: 3}},
		Callers: map[string]directory.Caller{callerName: {
			Name: callerName, Team: "team", Owner: "o", TokenSHA256: fmt.Sprintf("%x", sum), Services: []string{service},
		}},
		Targets: map[string]directory.Target{},
	}
	return c
}

// startTarget starts a target and adds it to the next ticket and to the
// instance list.
func (c *cluster) startTarget(name string, slots int) *process {
	c.t.Helper()
	p := startProcess(c.t, name, "marigold-standin", "target", "--listen", "127.0.0.1:0", "--name", name,
		"--slots", fmt.Sprint(slots), "--connections", fmt.Sprint(targetConnections+testConnections))
	c.state.Targets[name] = directory.Target{
		Name: name, Services: []string{service}, Region: region, AvailabilityZone: zone, Rack: "rack",
		Address: p.address(), Slots: slots, Connections: targetConnections, MemoryMB: 1024,
	}
	c.listInstance(name, instancelist.KindTarget, p.address(), instancelist.StateLive)
	return p
}

// acceptTicket writes a ticket with the whole state to the ticket log.
func (c *cluster) acceptTicket() {
	c.t.Helper()
	draft := ticket.Ticket{Nonce: ticketlog.NewNonce(), Author: "test", Reason: "test", Put: c.state}
	t, next, err := ticket.Prepare(c.current, draft)
	if err == nil {
		err = c.log.Accept(context.Background(), c.current, t)
	}
	if err != nil {
		c.t.Fatal(err)
	}
	c.current = next
}

// acceptTicketWithOwner writes a ticket that changes the owner of the caller.
func (c *cluster) acceptTicketWithOwner(owner string) {
	c.t.Helper()
	caller := c.state.Callers[callerName]
	caller.Owner = owner
	c.state.Callers[callerName] = caller
	c.acceptTicket()
}

// listInstance adds an instance to the platform's instance list or changes it.
func (c *cluster) listInstance(name, kind, address, state string) {
	c.t.Helper()
	c.callPlatform(http.MethodPost, "/v1/instances", instancelist.Instance{
		Name: name, Kind: kind, Region: region, AvailabilityZone: zone, Address: address, State: state,
	})
}

// callPlatform sends a request to the platform and fails the test unless it
// succeeds.
func (c *cluster) callPlatform(method, path string, body any) {
	c.t.Helper()
	status, text, err := doRequest(http.DefaultClient, method, "http://"+c.platform.address()+path, body)
	if err != nil || status >= 300 {
		c.t.Fatalf("%s %s: %d %s %v", method, path, status, text, err)
	}
}

// entry is the process of an entry instance with its addresses.
type entry struct {
	*process
	Listen     string `json:"listen"`
	PeerListen string `json:"peer_listen"`
}

// startEntry starts an entry instance and adds it to the instance list. change
// modifies its settings.
func (c *cluster) startEntry(name string, change ...func(*run.Settings)) *entry {
	c.t.Helper()
	s := run.DefaultSettings()
	s.Name, s.Region, s.AvailabilityZone = name, region, zone
	s.Listen, s.PeerListen = "127.0.0.1:0", "127.0.0.1:0"
	s.Store, s.InstanceList = []string{c.platform.address()}, "http://"+c.platform.address()
	s.PeerSecret, s.DrainLimitS = "a secret of the tests", 30
	for _, fn := range change {
		fn(&s)
	}
	text, err := toml.Marshal(s)
	if err != nil {
		c.t.Fatal(err)
	}
	path := filepath.Join(c.t.TempDir(), name+".toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		c.t.Fatal(err)
	}
	args := []string{"--config", path}
	if profile := os.Getenv("MARIGOLD_CPU_PROFILE"); profile != "" {
		args = append(args, "--cpu-profile", profile)
	}
	e := &entry{process: startProcess(c.t, name, "marigold-entry", args...)}
	if err := json.Unmarshal([]byte(e.readyLine), e); err != nil {
		c.t.Fatal(err)
	}
	c.listInstance(name, instancelist.KindEntry, e.PeerListen, instancelist.StateLive)
	return e
}

func (e *entry) url() string { return "http://" + e.Listen }

func (e *entry) status() (s run.Status) {
	if _, text, err := doRequest(http.DefaultClient, http.MethodGet, e.url()+"/v1/status", nil); err == nil {
		_ = json.Unmarshal(text, &s)
	}
	return s
}

func (e *entry) healthy() bool {
	status, _, err := doRequest(http.DefaultClient, http.MethodGet, e.url()+"/healthz", nil)
	return err == nil && status == http.StatusOK
}

// waitConverged waits until all entries have the current ticket, the targets
// and each other as live peers.
func (c *cluster) waitConverged(entries ...*entry) {
	c.t.Helper()
	eventually(c.t, propagationLimit, "all entry instances have the ticket, the targets and their peers", func() bool {
		for _, e := range entries {
			s := e.status()
			live := 0
			for _, p := range s.Peers {
				if p.State == "live" {
					live++
				}
			}
			if s.Ticket != c.current.Number || live < len(entries)-1 || len(s.Targets) < len(c.state.Targets) {
				return false
			}
		}
		return true
	})
}

// answer is a response to a caller, or the error of the request.
type answer struct {
	Status   int      `json:"-"`
	State    string   `json:"state"`
	Code     string   `json:"code"`
	Message  string   `json:"message"`
	Results  [][]byte `json:"results"`
	Starts   int      `json:"starts"`
	Findings []struct{ Place, Message string }
	Err      error `json:"-"`
}

func (e *entry) request(method, path string, body any) (a answer) {
	var text []byte
	a.Status, text, a.Err = doRequest(http.DefaultClient, method, e.url()+path, body)
	if a.Err == nil && len(text) > 0 {
		a.Err = json.Unmarshal(text, &a)
	}
	return a
}

func decodeAnswer(resp *http.Response, err error) (a answer) {
	if err != nil {
		return answer{Err: err}
	}
	defer resp.Body.Close()
	a.Status = resp.StatusCode
	a.Err = json.NewDecoder(resp.Body).Decode(&a)
	return a
}

func (e *entry) openSession() string {
	e.t.Helper()
	status, text, err := doRequest(http.DefaultClient, http.MethodPost, e.url()+"/v1/sessions",
		map[string]string{"caller": callerName}, "Authorization", "Bearer "+callerToken)
	var m struct{ Session string }
	if err != nil || status != http.StatusCreated || json.Unmarshal(text, &m) != nil {
		e.t.Fatalf("open at %s: %d %s %v", e.name, status, text, err)
	}
	return m.Session
}

type taskBody struct {
	Payload []byte `json:"payload"`
}

type jobBody struct {
	Service    string     `json:"service"`
	Repeatable bool       `json:"repeatable"`
	TimeoutMS  int64      `json:"timeout_ms"`
	Tasks      []taskBody `json:"tasks"`
}

// newJob returns a job of n tasks that run for runTime each.
func newJob(n int, runTime, timeout time.Duration) jobBody {
	j := jobBody{Service: service, TimeoutMS: timeout.Milliseconds()}
	for i := range n {
		j.Tasks = append(j.Tasks, taskBody{fmt.Appendf(nil, `{"run_ms":%d,"result":"r%d"}`, runTime.Milliseconds(), i)})
	}
	return j
}

func (e *entry) submit(session string, seq int, j jobBody) answer {
	return e.request(http.MethodPut, fmt.Sprintf("/v1/sessions/%s/jobs/%d", session, seq), j)
}

// startsAt returns the starts that a target has accepted.
func startsAt(p *process) []startRecord {
	p.t.Helper()
	_, text, err := doRequest(http.DefaultClient, http.MethodGet, "http://"+p.address()+"/v1/starts", nil)
	var m struct{ Starts []startRecord }
	if err == nil {
		err = json.Unmarshal(text, &m)
	}
	if err != nil {
		p.t.Fatal(err)
	}
	return m.Starts
}

// startRecord describes a start that a target has accepted.
type startRecord struct {
	TimeUnixMS int64 `json:"time_unix_ms"`
	Job        string
	Task       int
	Attempt    int
}

// requireComplete fails the test unless the answer contains the results of a
// job of n tasks from newJob.
func requireComplete(t testing.TB, a answer, n int) {
	t.Helper()
	if a.Err != nil || a.State != "complete" || len(a.Results) != n {
		t.Fatalf("answer: %+v, want complete with %d results", a, n)
	}
	for i, r := range a.Results {
		if string(r) != fmt.Sprintf("r%d", i) {
			t.Fatalf("result %d is %q", i, r)
		}
	}
}

// jobSeq returns the sequence number in the job name of a start.
func jobSeq(s startRecord) string { return s.Job[strings.LastIndexByte(s.Job, '-')+1:] }
