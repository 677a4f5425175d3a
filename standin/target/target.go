// Package target implements a stand-in for a target. It simulates tasks by
// waiting for their run time, and records every start, so that tests can verify
// which attempts were started.
package target

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Config configures a Target.
type Config struct {
	Name string
	// Slots is the maximum number of tasks that run at once.
	Slots int
	// Connections is the maximum number of open connections that may carry
	// tasks.
	Connections int
	// Speed divides the run times; 1 is the standard speed.
	Speed float64
	// Seed seeds the random run times, failures and stragglers.
	Seed uint64
	// FailAll makes every task fail 1 ms after its start.
	FailAll bool
	// FailShare and StraggleShare are the shares of tasks, 0 to 1, that fail
	// and that take straggleFactor times as long.
	FailShare, StraggleShare float64
	// OnStart, if set, is called for each start before the task runs. Calls do
	// not overlap. It must not call methods of the Target.
	OnStart func(Start)
}

const (
	straggleFactor = 10
	// Most tasks take 50 ms to 1 s. The share longShare takes longFactor times
	// as long.
	shortestRun = 50 * time.Millisecond
	longestRun  = time.Second
	longShare   = 0.02
	longFactor  = 4
	failAfter   = time.Millisecond
)

// Start records one start of a task. Starts are never merged: a second start of
// the same attempt is a second record, so that tests can detect duplicates.
type Start struct {
	Target     string `json:"target"`
	TimeUnixMS int64  `json:"time_unix_ms"`
	Job        string `json:"job"`
	Task       int    `json:"task"`
	Attempt    int    `json:"attempt"`
	Service    string `json:"service"`
	Caller     string `json:"caller"`
	// Mark is the mark in the task's payload, or empty.
	Mark string `json:"mark,omitempty"`
}

// Target simulates a target. It is safe for concurrent use.
type Target struct {
	mu      sync.Mutex
	cfg     Config
	leaving bool
	running int
	starts  []Start
	// stops holds, by attempt, the channels that stop its running starts.
	stops map[string][]chan struct{}
	// idle is closed when the target is leaving and no task runs.
	idle  chan struct{}
	conns connections
}

// New returns a target that runs no task yet.
func New(cfg Config) *Target {
	return &Target{cfg: cfg, stops: map[string][]chan struct{}{}, idle: make(chan struct{}),
		conns: connections{max: cfg.Connections}}
}

// Leave makes the target refuse new tasks and finish the running ones. The
// returned channel is closed when no task runs.
func (t *Target) Leave() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
	t.checkIdle()
	return t.idle
}

func (t *Target) checkIdle() {
	if !t.leaving || t.running > 0 {
		return
	}
	select {
	case <-t.idle:
	default:
		close(t.idle)
	}
}

// payload is the JSON form that a task's payload may have. It sets the run time,
// the failure and the result of the task, and a mark by which a test identifies
// its start. Without a result, the payload itself is the result.
type payload struct {
	RunMS  *int64  `json:"run_ms"`
	Fail   bool    `json:"fail"`
	Result *string `json:"result"`
	Mark   string  `json:"mark"`
}

// plan holds the simulated run time and outcome of a start.
type plan struct {
	run    time.Duration
	fail   bool
	result []byte
	mark   string
}

// drawPlan seeds the run time with job and task, so that a task takes equally
// long on all targets with the same seed and speed. It seeds failures and
// stragglers with the attempt as well, so that a repeated attempt can differ.
func (t *Target) drawPlan(r request) plan {
	p := plan{result: r.Payload}
	taskRand, attemptRand := t.newRand(r.Job, r.Task, 0), t.newRand(r.Job, r.Task, r.Attempt)
	spread := float64(longestRun) / float64(shortestRun)
	run := float64(shortestRun) * math.Pow(spread, taskRand.Float64())
	if taskRand.Float64() < longShare {
		run *= longFactor
	}
	var override payload
	if json.Unmarshal(r.Payload, &override) == nil {
		p.fail, p.mark = override.Fail, override.Mark
		if override.RunMS != nil {
			run = float64(*override.RunMS) * float64(time.Millisecond)
		}
		if override.Result != nil {
			p.result = []byte(*override.Result)
		}
	}
	if attemptRand.Float64() < t.cfg.StraggleShare {
		run *= straggleFactor
	}
	p.fail = p.fail || attemptRand.Float64() < t.cfg.FailShare
	p.run = time.Duration(run / t.cfg.Speed)
	if t.cfg.FailAll {
		p.fail, p.run = true, failAfter
	}
	return p
}

// newRand returns a generator seeded with the target's seed and the arguments.
func (t *Target) newRand(job string, task, attempt int) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d/%d", job, task, attempt)
	return rand.New(rand.NewPCG(t.cfg.Seed, h.Sum64()))
}
