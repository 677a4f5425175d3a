// Package target is the stand-in of a target: it runs tasks by waiting, and
// records every start for verification.
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

// Config describes a target.
type Config struct {
	Name string
	// Slots is the number of tasks that run at once.
	Slots int
	// Connections is the number of connections that may carry tasks at once.
	Connections int
	// Speed divides run times; 1 is the standard speed.
	Speed float64
	// Seed draws run times, failures and stragglers.
	Seed uint64
	// FailAll fails every task right after its start.
	FailAll bool
	// FailShare and StraggleShare are the shares of tasks, 0 to 1, that fail
	// and that take straggleFactor times as long.
	FailShare, StraggleShare float64
	// OnStart, if set, is told each start before the task runs.
	OnStart func(Start)
}

const (
	straggleFactor = 10
	// Most tasks take 50 ms to 1 s, a few take several seconds.
	shortestRun = 50 * time.Millisecond
	longestRun  = time.Second
	longShare   = 0.02
	longFactor  = 4
	failAfter   = time.Millisecond
)

// Start is one start that the target made. Starts are never merged: a second
// start of the same attempt is a second entry.
type Start struct {
	Target     string `json:"target"`
	TimeUnixMS int64  `json:"time_unix_ms"`
	Job        string `json:"job"`
	Task       int    `json:"task"`
	Attempt    int    `json:"attempt"`
	Service    string `json:"service"`
	Caller     string `json:"caller"`
	// Mark is the mark of the task's payload, if it has one.
	Mark string `json:"mark,omitempty"`
}

// Target runs tasks. It is safe for concurrent use.
type Target struct {
	mu      sync.Mutex
	cfg     Config
	leaving bool
	running int
	starts  []Start
	stops   map[string][]chan struct{}
	// idle is closed when the target is leaving and nothing runs.
	idle  chan struct{}
	conns connections
}

// New returns a target.
func New(cfg Config) *Target {
	return &Target{cfg: cfg, stops: map[string][]chan struct{}{}, idle: make(chan struct{}),
		conns: connections{max: cfg.Connections}}
}

// Leave refuses new tasks from now on. The returned channel is closed once no
// task runs.
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

// payload is the optional form of a task's payload that sets its run time,
// its failure, its result, and a mark by which a test finds its start again.
type payload struct {
	RunMS  *int64  `json:"run_ms"`
	Fail   bool    `json:"fail"`
	Result *string `json:"result"`
	Mark   string  `json:"mark"`
}

// plan is what will happen to a task.
type plan struct {
	run    time.Duration
	fail   bool
	result []byte
	mark   string
}

// plan draws run times by job and task, so that a task takes equally long on
// targets of the same seed and speed, and failures and stragglers by attempt.
func (t *Target) plan(r request) plan {
	p := plan{result: r.Payload}
	byTask, byAttempt := t.rand(r.Job, r.Task, 0), t.rand(r.Job, r.Task, r.Attempt)
	spread := float64(longestRun) / float64(shortestRun)
	run := float64(shortestRun) * math.Pow(spread, byTask.Float64())
	if byTask.Float64() < longShare {
		run *= longFactor
	}
	var own payload
	if json.Unmarshal(r.Payload, &own) == nil {
		p.fail, p.mark = own.Fail, own.Mark
		if own.RunMS != nil {
			run = float64(*own.RunMS) * float64(time.Millisecond)
		}
		if own.Result != nil {
			p.result = []byte(*own.Result)
		}
	}
	if byAttempt.Float64() < t.cfg.StraggleShare {
		run *= straggleFactor
	}
	p.fail = p.fail || byAttempt.Float64() < t.cfg.FailShare
	p.run = time.Duration(run / t.cfg.Speed)
	if t.cfg.FailAll {
		p.fail, p.run = true, failAfter
	}
	return p
}

func (t *Target) rand(job string, task, attempt int) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d/%d", job, task, attempt)
	return rand.New(rand.NewPCG(t.cfg.Seed, h.Sum64()))
}
