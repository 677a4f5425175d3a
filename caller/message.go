package caller

import (
	"encoding/json"
	"fmt"
	"time"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/finding"
)

// Job is a group of tasks with one common answer.
type Job struct {
	Service string
	// Repeatable allows the system to start a task again after an attempt whose
	// outcome is unknown. Without it, every task runs at most once.
	Repeatable bool
	// Timeout is between 1 ms and 10 min. It is sent in whole milliseconds.
	Timeout time.Duration
	// MemoryMB and Accelerators are the requirements of each task.
	MemoryMB     int64
	Accelerators int64
	// Tasks holds 1 to 550 tasks.
	Tasks []Task
}

// Task is one task of a job.
type Task struct {
	Payload []byte
	// Declared is the expected run time in whole milliseconds; 0 means unknown.
	Declared time.Duration
}

// Reply is the reply to a request for a job.
type Reply struct {
	// Seq is the sequence number of the job in its session.
	Seq uint64
	// Answer is nil if the job is still running.
	Answer answer.Answer
	// TraceID is the trace ID that the instance reports; it may be empty.
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

// decodeAnswer returns the answer in m. It returns an error for an inconsistent
// answer, because a caller must not act on it.
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
