package sender

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"marigoldfront.dev/core/dispatch"
)

const (
	// maxResultBytes bounds the result of a task.
	maxResultBytes = 1 << 20
	// maxReplyBytes bounds a reply: a result in base64 plus the other fields.
	maxReplyBytes = maxResultBytes/3*4 + 64<<10
)

// reply is the body of a target's response to a start.
type reply struct {
	Job     string `json:"job"`
	Task    int    `json:"task"`
	Attempt int    `json:"attempt"`
	Outcome string `json:"outcome"`
	Result  []byte `json:"result"`
	Message string `json:"message"`
	Running *int   `json:"running"`
	Slots   *int   `json:"slots"`
}

// JobName returns the name of a job in the target protocol: the incarnation of
// the home in hexadecimal, the session number and the sequence number,
// separated by hyphens.
func JobName(id dispatch.JobID) string {
	b := make([]byte, 0, 48)
	b = strconv.AppendUint(b, id.Session.Incarnation, 16)
	b = append(b, '-')
	b = strconv.AppendUint(b, id.Session.Number, 10)
	b = append(b, '-')
	return string(strconv.AppendUint(b, id.Seq, 10))
}

// appendStartBody appends the JSON body of a start to b.
func appendStartBody(b []byte, job string, a *dispatch.StartAttempt) []byte {
	b = append(b, `{"job":"`...)
	b = append(b, job...)
	b = append(b, `","task":`...)
	b = strconv.AppendInt(b, int64(a.Attempt.Task), 10)
	b = append(b, `,"attempt":`...)
	b = strconv.AppendInt(b, int64(a.Attempt.Number), 10)
	b = append(b, `,"caller":`...)
	b = appendJSONString(b, a.Caller)
	b = append(b, `,"service":`...)
	b = appendJSONString(b, a.Service)
	b = append(b, `,"payload":"`...)
	b = base64.StdEncoding.AppendEncode(b, a.Payload)
	b = append(b, `","start_by_unix_ms":`...)
	b = strconv.AppendInt(b, a.StartBy.UnixMilli(), 10)
	b = append(b, `,"lease_until_unix_ms":`...)
	b = strconv.AppendInt(b, a.LeaseUntil.UnixMilli(), 10)
	return append(b, '}')
}

// appendJSONString appends s to b as a JSON string.
func appendJSONString(b []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			text, _ := json.Marshal(s)
			return append(b, text...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

// errAttemptMismatch means that a reply belongs to another attempt.
var errAttemptMismatch = errors.New("the reply names another job, task or attempt")

// readReply reads the whole reply of a target and returns the outcome of the
// attempt and the load of the target. An error means that the reply does not
// show the outcome.
func readReply(resp *http.Response, job string, id dispatch.AttemptID, runTime time.Duration) (dispatch.Outcome, dispatch.Load, error) {
	body, err := readBody(resp)
	if err != nil {
		return nil, dispatch.Load{}, err
	}
	var r reply
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, dispatch.Load{}, fmt.Errorf("the reply is malformed: %w", err)
	}
	outcome, err := classify(resp.StatusCode, &r, job, id, runTime)
	return outcome, reportedLoad(&r), err
}

// refusalCauses maps the HTTP statuses of refused starts to their causes. The
// task has not run.
var refusalCauses = map[int]dispatch.RefusalCause{
	http.StatusTooManyRequests:    dispatch.NoFreeSlot,
	http.StatusGone:               dispatch.TargetLeaving,
	http.StatusPreconditionFailed: dispatch.LeaseExpired,
	http.StatusBadRequest:         dispatch.BadRequest,
}

// classify returns the outcome of a reply. A refusal must name the attempt too:
// if a refusal of another start were accepted, the task could run twice.
func classify(status int, r *reply, job string, id dispatch.AttemptID, runTime time.Duration) (dispatch.Outcome, error) {
	cause, refused := refusalCauses[status]
	switch {
	case !refused && status != http.StatusOK:
		return nil, fmt.Errorf("the reply has status %d", status)
	case r.Job != job || r.Task != id.Task || r.Attempt != id.Number:
		return nil, errAttemptMismatch
	case refused:
		return dispatch.Refused{Cause: cause}, nil
	default:
		return taskOutcome(r, runTime)
	}
}

// taskOutcome returns the outcome of a task that has run.
func taskOutcome(r *reply, runTime time.Duration) (dispatch.Outcome, error) {
	switch r.Outcome {
	case "done":
		if len(r.Result) > maxResultBytes {
			return nil, fmt.Errorf("the result has %d bytes, at most %d are allowed", len(r.Result), maxResultBytes)
		}
		return dispatch.TaskSucceeded{Result: r.Result, RunTime: runTime}, nil
	case "failed":
		return dispatch.TaskFailed{Message: r.Message, RunTime: runTime}, nil
	default:
		return nil, fmt.Errorf("the reply has the outcome %q", r.Outcome)
	}
}

// reportedLoad returns the load of the target, if the reply contains it.
func reportedLoad(r *reply) dispatch.Load {
	if r.Running == nil || r.Slots == nil {
		return dispatch.Load{}
	}
	return dispatch.Load{Known: true, Running: *r.Running, Slots: *r.Slots}
}

// readBody reads a body of known or unknown length. It returns an error if the
// body exceeds maxReplyBytes.
func readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxReplyBytes {
		return nil, errTooLarge
	}
	if n := resp.ContentLength; n >= 0 {
		body := make([]byte, n)
		if _, err := io.ReadFull(resp.Body, body); err != nil {
			return nil, fmt.Errorf("the reply is cut: %w", err)
		}
		// The transport reuses a connection only after the body is read up to
		// io.EOF.
		_, err := resp.Body.Read(make([]byte, 1))
		if err != io.EOF {
			return nil, errors.New("the reply is longer than it says")
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("the reply is cut: %w", err)
	}
	if len(body) > maxReplyBytes {
		return nil, errTooLarge
	}
	return body, nil
}

var errTooLarge = fmt.Errorf("the reply has more than %d bytes", maxReplyBytes)
