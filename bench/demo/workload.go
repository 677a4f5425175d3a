package demo

import (
	"fmt"

	"marigoldfront.dev/bench/fleet"
	"marigoldfront.dev/core/directory"
)

// callerSpec describes a caller of the demo and its jobs. Each job is submitted
// once in each availability zone.
type callerSpec struct {
	name       string
	user       string
	owner      string
	service    string
	repeatable bool
	jobs       int
	tasks      int
	runMS      int
	// failingJobs is the number of additional jobs whose tasks fail.
	// unplaceableJobs is the number of additional jobs that no target can run.
	failingJobs     int
	unplaceableJobs int
}

const (
	appraisalService = "appraisal-desk"
	chamaService     = "chama-check"
	// unplaceableMemoryMB is more memory than any target has.
	unplaceableMemoryMB = 1 << 30
	timeoutMS           = 30_000
)

var callers = []callerSpec{
	{name: "motif-matches", user: "Guild", owner: "Weavers' registry, Kumasi", service: appraisalService, repeatable: true, jobs: 12, tasks: 5, runMS: 120, failingJobs: 1},
	{name: "customs-valuations", user: "Guild", owner: "Export desk, Takoradi", service: appraisalService, jobs: 10, tasks: 3, runMS: 150, unplaceableJobs: 1},
	{name: "stall-scans", user: "Chama Segura", owner: "Inspection team, Caxias", service: chamaService, repeatable: true, jobs: 14, tasks: 4, runMS: 100, unplaceableJobs: 1},
	{name: "gas-certificates", user: "Chama Segura", owner: "Certificate office, Porto Alegre", service: chamaService, jobs: 10, tasks: 2, runMS: 150, failingJobs: 1},
}

func services() []string { return []string{appraisalService, chamaService} }

// jobCount returns the number of jobs of the caller in one availability zone.
func (c callerSpec) jobCount() int { return c.jobs + c.failingJobs + c.unplaceableJobs }

// token returns the caller's bearer token, which is valid only in the demo.
func (c callerSpec) token() string { return "demo-token-of-" + c.name }

// result returns the result that a target returns for the task.
func (c callerSpec) result(job, task int) string {
	return fmt.Sprintf("%s job %d task %d", c.name, job, task)
}

// taskPayload is the payload of a task, as the target stand-in reads it.
type taskPayload struct {
	RunMS  int    `json:"run_ms"`
	Fail   bool   `json:"fail,omitempty"`
	Result string `json:"result"`
}

// ticketFile is the ticket that configures the demo.
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
			{Name: appraisalService, Owner: "Guild platform team", ExpectedMS: 200, MaxAttempts: 3},
			{Name: chamaService, Owner: "Chama Segura platform team", ExpectedMS: 200, MaxAttempts: 3, HedgePercent: 2},
		},
		Targets: targets,
	}
	for _, c := range callers {
		team := "guild"
		if c.service == chamaService {
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
