package soak

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
)

// The states of answers.
const (
	stateComplete = "complete"
	stateFailed   = "failed"
	stateNotRun   = "not_run"
	stateUnknown  = "unknown"
)

// observed is one answer that a caller received.
type observed struct {
	State   string   `json:"state"`
	Code    string   `json:"code"`
	Message string   `json:"message"`
	Results [][]byte `json:"results"`
	Starts  int      `json:"starts"`
	// Instance is the instance that answered.
	Instance string `json:"-"`
}

// record is what the caller knows about one of its jobs.
type record struct {
	ID         int
	Session    string
	Seq        uint64
	Repeatable bool
	Tasks      int
	// Fails says that a task of the job fails by its payload, so that the job
	// cannot be complete.
	Fails bool
	body  jobBody

	mu       sync.Mutex
	answers  []observed
	rejected []string
	// last is the last request without an answer, for jobs that are lost.
	last string
}

func (r *record) add(o observed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, o)
}

func (r *record) reject(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rejected = append(r.rejected, text)
}

func (r *record) noAnswer(instance string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = fmt.Sprintf("%s: %v", instance, err)
}

// best is the first answer that says what happened, else the last unknown,
// else an empty one.
func (r *record) best() observed {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best observed
	for _, a := range r.answers {
		if a.State != stateUnknown {
			return a
		}
		best = a
	}
	return best
}

// outcome is the state of the best answer, empty for a job without one.
func (r *record) outcome() string { return r.best().State }

// start is one start as a target recorded it.
type start struct {
	Target     string `json:"target"`
	TimeUnixMS int64  `json:"time_unix_ms"`
	Job        string `json:"job"`
	Task       int    `json:"task"`
	Attempt    int    `json:"attempt"`
	Mark       string `json:"mark"`
}

// mark names a task in its payload and in its result.
func mark(job, task int) string { return fmt.Sprintf("soak-%d-%d", job, task) }

func parseMark(m string) (job, task int, ok bool) {
	parts := strings.Split(m, "-")
	if len(parts) != 3 || parts[0] != "soak" {
		return 0, 0, false
	}
	job, err1 := strconv.Atoi(parts[1])
	task, err2 := strconv.Atoi(parts[2])
	return job, task, err1 == nil && err2 == nil
}
