package soak

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
)

// The states of answers in the API for callers.
const (
	stateComplete = "complete"
	stateFailed   = "failed"
	stateNotRun   = "not_run"
	stateUnknown  = "unknown"
)

// jobAnswer is one answer that a caller received.
type jobAnswer struct {
	State   string   `json:"state"`
	Code    string   `json:"code"`
	Message string   `json:"message"`
	Results [][]byte `json:"results"`
	Starts  int      `json:"starts"`
	// Instance is the name of the instance that sent the answer.
	Instance string `json:"-"`
}

// jobRecord holds a submitted job and all answers, rejections and errors that
// its caller received.
type jobRecord struct {
	ID         int
	Session    string
	Seq        uint64
	Repeatable bool
	Tasks      int
	// HasFailingTask reports whether the payload of a task makes it fail, so that
	// the job cannot become complete.
	HasFailingTask bool
	body           jobRequest

	mu         sync.Mutex
	answers    []jobAnswer
	rejections []string
	// lastError describes the last request that failed. It is printed for jobs
	// that remain without an answer.
	lastError string
}

func (r *jobRecord) addAnswer(answer jobAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, answer)
}

func (r *jobRecord) addRejection(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rejections = append(r.rejections, text)
}

func (r *jobRecord) setLastError(instance string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastError = fmt.Sprintf("%s: %v", instance, err)
}

// bestAnswer returns the first answer with a state other than unknown, or else
// the last answer, or the zero value if there is none.
func (r *jobRecord) bestAnswer() jobAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best jobAnswer
	for _, a := range r.answers {
		if a.State != stateUnknown {
			return a
		}
		best = a
	}
	return best
}

// bestState returns the state of the best answer, or "" if there is no answer.
func (r *jobRecord) bestState() string { return r.bestAnswer().State }

// taskStart is one start of a task as a target printed it.
type taskStart struct {
	Target     string `json:"target"`
	TimeUnixMS int64  `json:"time_unix_ms"`
	Job        string `json:"job"`
	Task       int    `json:"task"`
	Attempt    int    `json:"attempt"`
	Mark       string `json:"mark"`
}

// taskMark returns the text that identifies a task in its payload and result.
func taskMark(job, task int) string { return fmt.Sprintf("soak-%d-%d", job, task) }

// parseTaskMark returns the job and task of a text that taskMark returned, and
// false for any other text.
func parseTaskMark(m string) (job, task int, ok bool) {
	parts := strings.Split(m, "-")
	if len(parts) != 3 || parts[0] != "soak" {
		return 0, 0, false
	}
	job, err1 := strconv.Atoi(parts[1])
	task, err2 := strconv.Atoi(parts[2])
	return job, task, err1 == nil && err2 == nil
}
