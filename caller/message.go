package caller

import (
	"encoding/json"
	"fmt"
	"time"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/finding"
)

// Job is a group of tasks that are answered together.
type Job struct {
	Service string
	// Repeatable allows the system to start a task again after an ambiguous
	// attempt. Without it every task runs at most once.
	Repeatable bool
	// Timeout is from 1 ms to 10 min, in whole milliseconds.
	Timeout time.Duration
	// MemoryMB and Accelerators apply to each task.
	MemoryMB     int64
	Accelerators int64
	// Tasks holds 1 to 550 tasks.
	Tasks []Task
}

// Task is one task of a job.
type Task struct {
	Payload []byte
	// Declared is a guess of the run time; 0 means none.
	Declared time.Duration
}

// Reply is what a session returns for one job.
type Reply struct {
	Seq uint64
	// Answer is nil for a job that still runs.
	Answer  answer.Answer
	TraceID string
}

type jobMessage struct {
	Service           string        `json:"service"`
	Repeatable        bool          `json:"repeatable"`
	TimeoutMS         int64         `json:"timeout_ms"`
	AcknowledgedBelow uint64        `json:"acknowledged_below,omitempty"`
	MemoryMB          int64         `json:"memory_mb,omitempty"`
	Accelerators      int64         `json:"accelerators,omitempty"`
	Tasks             []taskMessage `json:"tasks"`
}

type taskMessage struct {
	Payload    []byte `json:"payload"`
	DeclaredMS int64  `json:"declared_ms,omitempty"`
}

type openMessage struct {
	Caller string `json:"caller"`
}

type sessionMessage struct {
	Session string `json:"session"`
	Window  uint64 `json:"window"`
}

type acknowledgeMessage struct {
	AcknowledgedBelow uint64 `json:"acknowledged_below"`
}

type answerMessage struct {
	State    string           `json:"state"`
	Code     answer.Code      `json:"code"`
	Message  string           `json:"message"`
	Results  [][]byte         `json:"results"`
	Starts   int              `json:"starts"`
	TraceID  string           `json:"trace_id"`
	Findings []findingMessage `json:"findings"`
}

type findingMessage struct {
	Place   string `json:"place"`
	Message string `json:"message"`
}

func encodeJob(j Job, acknowledgedBelow uint64) ([]byte, error) {
	m := jobMessage{
		Service: j.Service, Repeatable: j.Repeatable,
		TimeoutMS:         j.Timeout.Milliseconds(),
		AcknowledgedBelow: acknowledgedBelow,
		MemoryMB:          j.MemoryMB, Accelerators: j.Accelerators,
		Tasks: make([]taskMessage, len(j.Tasks)),
	}
	for i, t := range j.Tasks {
		m.Tasks[i] = taskMessage{Payload: t.Payload, DeclaredMS: t.Declared.Milliseconds()}
	}
	return json.Marshal(m)
}

// decodeAnswer returns the answer in m. It returns an error for an answer that
// contradicts itself, because a caller must not act on one.
func decodeAnswer(m answerMessage) (answer.Answer, error) {
	r := answer.Reason{Code: m.Code, Message: m.Message}
	if m.State != "complete" && len(m.Results) > 0 {
		return nil, fmt.Errorf("answer %s carries %d results", m.State, len(m.Results))
	}
	switch m.State {
	case "complete":
		return answer.Complete{Results: m.Results, Starts: m.Starts}, nil
	case "failed":
		return answer.Failed{Reason: r, Starts: m.Starts}, nil
	case "not_run":
		if m.Starts != 0 {
			return nil, fmt.Errorf("answer not_run reports %d starts", m.Starts)
		}
		return answer.NotRun{Reason: r}, nil
	case "unknown":
		return answer.Unknown{Reason: r, Starts: m.Starts}, nil
	}
	return nil, fmt.Errorf("answer has the unexpected state %q", m.State)
}

func decodeRejection(status int, body []byte) *Rejected {
	var m answerMessage
	e := &Rejected{Status: status}
	if json.Unmarshal(body, &m) == nil {
		for _, f := range m.Findings {
			e.Findings = append(e.Findings, finding.Finding{Place: f.Place, Message: f.Message})
		}
	}
	if len(e.Findings) == 0 {
		e.Findings.Add("request", "the instance gave no reason: %.200s", body)
	}
	return e
}
