// Package jobfile reads the jobs to submit from TOML files.
package jobfile

import (
	"fmt"
	"time"

	"marigoldfront.dev/caller"
	"marigoldfront.dev/core/finding"
	"marigoldfront.dev/infra/settings"
)

const (
	maxTasks     = 550
	maxTimeoutMS = 600_000
	maxJobs      = 100_000
)

// File is the content of a job file.
type File struct {
	Jobs []Job `toml:"jobs"`
}

// Job is one entry of a job file.
type Job struct {
	Service    string `toml:"service"`
	Repeatable bool   `toml:"repeatable"`
	TimeoutMS  int64  `toml:"timeout_ms"`
	// Count is how many times the job is submitted, each time as a separate
	// job; 0 means once.
	Count        int    `toml:"count"`
	MemoryMB     int64  `toml:"memory_mb"`
	Accelerators int64  `toml:"accelerators"`
	Tasks        []Task `toml:"tasks"`
}

// Task is one task of a job.
type Task struct {
	Payload    string `toml:"payload"`
	DeclaredMS int64  `toml:"declared_ms"`
	// Count is how many times the job contains the task; 0 means once.
	Count int `toml:"count"`
}

// Load reads the file at path and returns its jobs in the order of the file. An
// entry with a count is repeated. It checks the whole file and returns all
// findings; the jobs are valid only if there are none.
func Load(path string) ([]caller.Job, finding.List) {
	var f File
	at, found := settings.Load(path, &f)
	if len(found) > 0 {
		return nil, found
	}
	if len(f.Jobs) == 0 {
		found.Add(path, "holds no [[jobs]]")
	}
	var jobs []caller.Job
	for i, j := range f.Jobs {
		key := fmt.Sprintf("jobs[%d]", i)
		job := j.toCallerJob()
		j.check(at, key, len(job.Tasks), &found)
		for range max(1, min(j.Count, maxJobs)) {
			jobs = append(jobs, job)
		}
	}
	return jobs, found
}

func (j Job) toCallerJob() caller.Job {
	job := caller.Job{
		Service: j.Service, Repeatable: j.Repeatable,
		Timeout:  time.Duration(j.TimeoutMS) * time.Millisecond,
		MemoryMB: j.MemoryMB, Accelerators: j.Accelerators,
	}
	for _, t := range j.Tasks {
		for range max(1, min(t.Count, maxTasks+1)) {
			job.Tasks = append(job.Tasks, caller.Task{
				Payload: []byte(t.Payload), Declared: time.Duration(t.DeclaredMS) * time.Millisecond,
			})
		}
	}
	return job
}

func (j Job) check(at *settings.File, key string, tasks int, found *finding.List) {
	if j.Service == "" {
		found.Add(at.Place(key+".service"), "is missing")
	}
	if j.TimeoutMS < 1 || j.TimeoutMS > maxTimeoutMS {
		found.Add(at.Place(key+".timeout_ms"), "is %d, allowed are 1 to %d", j.TimeoutMS, maxTimeoutMS)
	}
	if j.Count < 0 || j.Count > maxJobs {
		found.Add(at.Place(key+".count"), "is %d, allowed are 1 to %d", j.Count, maxJobs)
	}
	if tasks < 1 || tasks > maxTasks {
		found.Add(at.Place(key+".tasks"), "holds %d tasks, allowed are 1 to %d", tasks, maxTasks)
	}
}
