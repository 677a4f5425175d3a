package demo

import (
	"fmt"

	"marigoldfront.dev/bench/fleet"
	"marigoldfront.dev/core/directory"
)

// callerSpec is a caller of the demo with its jobs. Each of its jobs is
// submitted once in each availability zone.
type callerSpec struct {
	name       string
	user       string
	owner      string
	service    string
	repeatable bool
	jobs       int
	tasks      int
	runMS      int
	// failing and neverFit are jobs in addition, whose tasks fail and which no
	// target can run.
	failing  int
	neverFit int
}

const (
	serviceDesk  = "appraisal-desk"
	serviceCheck = "chama-check"
	// neverFitMB is more memory than any target has.
	neverFitMB = 1 << 30
	timeoutMS  = 30_000
)

var callers = []callerSpec{
	{name: "motif-matches", user: "Guild", owner: "Weavers' registry, Kumasi", service: serviceDesk, repeatable: true, jobs: 12, tasks: 5, runMS: 120, failing: 1},
	{name: "customs-valuations", user: "Guild", owner: "Export desk, Takoradi", service: serviceDesk, jobs: 10, tasks: 3, runMS: 150, neverFit: 1},
	{name: "stall-scans", user: "Chama Segura", owner: "Inspection team, Caxias", service: serviceCheck, repeatable: true, jobs: 14, tasks: 4, runMS: 100, neverFit: 1},
	{name: "gas-certificates", user: "Chama Segura", owner: "Certificate office, Porto Alegre", service: serviceCheck, jobs: 10, tasks: 2, runMS: 150, failing: 1},
}

func services() []string { return []string{serviceDesk, serviceCheck} }

func (c callerSpec) total() int { return c.jobs + c.failing + c.neverFit }

// token returns the caller's bearer token, which is worth nothing outside of
// the demo.
func (c callerSpec) token() string { return "demo-token-of-" + c.name }

func (c callerSpec) result(job, task int) string {
	return fmt.Sprintf("%s job %d task %d", c.name, job, task)
}

type payload struct {
	RunMS  int    `json:"run_ms"`
	Fail   bool   `json:"fail,omitempty"`
	Result string `json:"result"`
}

// ticketFile is the demo's first ticket, with targets as they were started.
type ticketFile struct {
	Author   string              `toml:"author"`
	Reason   string              `toml:"reason"`
	Teams    []directory.Team    `toml:"teams"`
	Services []directory.Service `toml:"services"`
	Callers  []directory.Caller  `toml:"callers"`
	Targets  []directory.Target  `toml:"targets"`
}

func newTicket(targets []directory.Target) ticketFile {
	t := ticketFile{
		Author: "demo operator", Reason: "Create both users' callers, services and targets.",
		Teams: []directory.Team{{Name: "guild", Weight: 1}, {Name: "chama-segura", Weight: 1}},
		Services: []directory.Service{
			{Name: serviceDesk, Owner: "Guild platform team", ExpectedMS: 200, MaxAttempts: 3},
			{Name: serviceCheck, Owner: "Chama Segura platform team", ExpectedMS: 200, MaxAttempts: 3, HedgePercent: 2},
		},
		Targets: targets,
	}
	for _, c := range callers {
		team := "guild"
		if c.service == serviceCheck {
			team = "chama-segura"
		}
		t.Callers = append(t.Callers, directory.Caller{Name: c.name, Team: team, Owner: c.owner,
			TokenSHA256: fleet.TokenSHA256(c.token()), Services: []string{c.service}})
	}
	return t
}

// jobFile is a file of jobs as `marigoldctl job submit` reads it.
type jobFile struct {
	Jobs []fileJob `toml:"jobs"`
}

type fileJob struct {
	Service    string     `toml:"service"`
	Repeatable bool       `toml:"repeatable"`
	TimeoutMS  int        `toml:"timeout_ms"`
	MemoryMB   int        `toml:"memory_mb,omitempty"`
	Tasks      []fileTask `toml:"tasks"`
}

type fileTask struct {
	Payload    string `toml:"payload"`
	DeclaredMS int    `toml:"declared_ms"`
}
