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
	// maxResultBytes bounds a task's result.
	maxResultBytes = 1 << 20
	// maxReplyBytes bounds a reply: a result in base64 and the other fields.
	maxReplyBytes = maxResultBytes/3*4 + 64<<10
)

// reply is what a target answers to a start.
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

// JobName returns the name of a job in the target protocol.
func JobName(id dispatch.JobID) string {
	b := make([]byte, 0, 48)
	b = strconv.AppendUint(b, id.Session.Incarnation, 16)
	b = append(b, '-')
	b = strconv.AppendUint(b, id.Session.Number, 10)
	b = append(b, '-')
	return string(strconv.AppendUint(b, id.Seq, 10))
}

// appendStart appends the JSON body of a start to b.
func appendStart(b []byte, job string, a *dispatch.StartAttempt) []byte {
	b = append(b, `{"job":"`...)
	b = append(b, job...)
	b = append(b, `","task":`...)
	b = strconv.AppendInt(b, int64(a.Attempt.Task), 10)
	b = append(b, `,"attempt":`...)
	b = strconv.AppendInt(b, int64(a.Attempt.Number), 10)
	b = append(b, `,"caller":`...)
	b = appendString(b, a.Caller)
	b = append(b, `,"service":`...)
	b = appendString(b, a.Service)
	b = append(b, `,"payload":"`...)
	b = base64.StdEncoding.AppendEncode(b, a.Payload)
	b = append(b, `","start_by_unix_ms":`...)
	b = strconv.AppendInt(b, a.StartBy.UnixMilli(), 10)
	b = append(b, `,"lease_until_unix_ms":`...)
	b = strconv.AppendInt(b, a.LeaseUntil.UnixMilli(), 10)
	return append(b, '}')
}

// appendString appends s as a JSON string.
func appendString(b []byte, s string) []byte {
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

// errMismatch says that a reply belongs to another attempt.
var errMismatch = errors.New("the reply names another job, task or attempt")

// readReply reads the whole reply of a target and returns the outcome that it
// proves. An error means that it proves nothing.
func readReply(resp *http.Response, job string, id dispatch.AttemptID, took time.Duration) (dispatch.Outcome, dispatch.Load, error) {
	text, err := readAll(resp)
	if err != nil {
		return nil, dispatch.Load{}, err
	}
	var r reply
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, dispatch.Load{}, fmt.Errorf("the reply is malformed: %w", err)
	}
	outcome, err := classify(resp.StatusCode, &r, job, id, took)
	return outcome, load(&r), err
}

// refusals are the statuses that say that the task did not run.
var refusals = map[int]dispatch.RefusalCause{
	http.StatusTooManyRequests:    dispatch.NoFreeSlot,
	http.StatusGone:               dispatch.TargetLeaving,
	http.StatusPreconditionFailed: dispatch.LeaseExpired,
	http.StatusBadRequest:         dispatch.BadRequest,
}

// classify returns the outcome of a reply. Refusals must name the attempt as
// well: one that belongs to another start would let a task run a second time.
func classify(status int, r *reply, job string, id dispatch.AttemptID, took time.Duration) (dispatch.Outcome, error) {
	cause, refused := refusals[status]
	switch {
	case !refused && status != http.StatusOK:
		return nil, fmt.Errorf("the reply has status %d", status)
	case r.Job != job || r.Task != id.Task || r.Attempt != id.Number:
		return nil, errMismatch
	case refused:
		return dispatch.Refused{Cause: cause}, nil
	default:
		return ended(r, took)
	}
}

func ended(r *reply, took time.Duration) (dispatch.Outcome, error) {
	switch r.Outcome {
	case "done":
		if len(r.Result) > maxResultBytes {
			return nil, fmt.Errorf("the result has %d bytes, at most %d are allowed", len(r.Result), maxResultBytes)
		}
		return dispatch.TaskSucceeded{Result: r.Result, RunTime: took}, nil
	case "failed":
		return dispatch.TaskFailed{Message: r.Message, RunTime: took}, nil
	default:
		return nil, fmt.Errorf("the reply has the outcome %q", r.Outcome)
	}
}

func load(r *reply) dispatch.Load {
	if r.Running == nil || r.Slots == nil {
		return dispatch.Load{}
	}
	return dispatch.Load{Known: true, Running: *r.Running, Slots: *r.Slots}
}

// readAll reads a body of known or unknown length up to the bound.
func readAll(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxReplyBytes {
		return nil, errTooLarge
	}
	if n := resp.ContentLength; n >= 0 {
		text := make([]byte, n)
		if _, err := io.ReadFull(resp.Body, text); err != nil {
			return nil, fmt.Errorf("the reply is cut: %w", err)
		}
		// The transport reuses a connection only after it saw the end.
		_, err := resp.Body.Read(make([]byte, 1))
		if err != io.EOF {
			return nil, errors.New("the reply is longer than it says")
		}
		return text, nil
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("the reply is cut: %w", err)
	}
	if len(text) > maxReplyBytes {
		return nil, errTooLarge
	}
	return text, nil
}

var errTooLarge = fmt.Errorf("the reply has more than %d bytes", maxReplyBytes)
