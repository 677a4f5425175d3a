package gateway

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"marigoldfront.dev/core/finding"
	"marigoldfront.dev/entry/home"
	"marigoldfront.dev/infra/intake"
	"marigoldfront.dev/wire"
)

const (
	maxBodyBytes      = 8 << 20
	maxTasks          = 550
	maxTimeoutMS      = int64(10 * time.Minute / time.Millisecond)
	maxWaitMS         = int64(time.Minute / time.Millisecond)
	maxNameBytes      = 255
	maxSmallBodyBytes = 4 << 10
	// bodyTimeout bounds the time to receive a request body: that of the job with
	// the longest timeout.
	bodyTimeout = time.Duration(maxTimeoutMS) * time.Millisecond
)

// job is the JSON body of a submission.
type job struct {
	Service           string `json:"service"`
	Repeatable        bool   `json:"repeatable"`
	TimeoutMS         int64  `json:"timeout_ms"`
	AcknowledgedBelow uint64 `json:"acknowledged_below"`
	MemoryMB          int64  `json:"memory_mb"`
	Accelerators      int64  `json:"accelerators"`
	Tasks             []task `json:"tasks"`
}

type task struct {
	Payload    []byte `json:"payload"`
	DeclaredMS int64  `json:"declared_ms"`
}

// readBody reads a request body of at most limit bytes. It returns a rejection if
// the body is larger or incomplete, or if a limit of the instance is met.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *wire.ForwardReply) {
	body, err := intake.ReadBody(w, r, limit, time.Now().Add(bodyTimeout))
	var tooLargeErr *http.MaxBytesError
	var refused *intake.RefusedError
	switch {
	case errors.As(err, &tooLargeErr):
		return nil, tooLarge(limit)
	case errors.As(err, &refused):
		return nil, refuse(w, refused)
	case err != nil:
		return nil, home.Reject(http.StatusBadRequest, "body", "the body is cut")
	}
	return body, nil
}

// refuse returns the rejection of a request because of a limit. The request has had
// no effect.
func refuse(w http.ResponseWriter, refused *intake.RefusedError) *wire.ForwardReply {
	intake.SetRefusal(w, refused)
	return home.Reject(http.StatusServiceUnavailable, "instance", refused.Error())
}

func tooLarge(limit int64) *wire.ForwardReply {
	return home.Reject(http.StatusRequestEntityTooLarge, "body", fmt.Sprintf("the body has more than %d bytes", limit))
}

// decode decodes a body that must consist of exactly one JSON value without
// unknown keys.
func decode(body []byte, into any) finding.List {
	var findings finding.List
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	err := dec.Decode(into)
	var typeErr *json.UnmarshalTypeError
	var syntaxErr *json.SyntaxError
	var base64Err base64.CorruptInputError
	switch {
	case err == nil:
		if _, err := dec.Token(); err != io.EOF {
			findings.Add("body", "something follows the JSON value")
		}
	case errors.As(err, &typeErr):
		findings.Add(typeErr.Field, "is a %s at byte %d", typeErr.Value, typeErr.Offset)
	case errors.As(err, &syntaxErr):
		findings.Add("body", "%v at byte %d", syntaxErr, syntaxErr.Offset)
	case errors.As(err, &base64Err):
		findInvalidPayloads(body, &findings)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		findings.Add("body", "the JSON value is cut")
	default:
		findings.Add("body", "%v", err)
	}
	return findings
}

// findInvalidPayloads adds a finding for each payload that is not valid base64.
// The error of the JSON decoder does not contain the index of the payload.
func findInvalidPayloads(body []byte, findings *finding.List) {
	var submission struct {
		Tasks []struct {
			Payload string `json:"payload"`
		} `json:"tasks"`
	}
	if err := json.Unmarshal(body, &submission); err != nil {
		findings.Add("body", "%v", err)
		return
	}
	for i, t := range submission.Tasks {
		if _, err := base64.StdEncoding.DecodeString(t.Payload); err != nil {
			findings.Add(fmt.Sprintf("tasks[%d].payload", i), "is not valid base64")
		}
	}
}

// decodeJob decodes and validates a submission. If the JSON is valid, it returns
// the findings of all fields together.
func decodeJob(body []byte) (*job, finding.List) {
	var j job
	if findings := decode(body, &j); len(findings) > 0 {
		return nil, findings
	}
	var findings finding.List
	if j.Service == "" || len(j.Service) > maxNameBytes {
		findings.Add("service", "must have 1 to %d bytes", maxNameBytes)
	}
	checkRange(&findings, "timeout_ms", j.TimeoutMS, 1, maxTimeoutMS)
	checkRange(&findings, "memory_mb", j.MemoryMB, 0, math.MaxInt32)
	checkRange(&findings, "accelerators", j.Accelerators, 0, math.MaxInt32)
	checkRange(&findings, "tasks", int64(len(j.Tasks)), 1, maxTasks)
	if len(j.Tasks) <= maxTasks {
		for i := range j.Tasks {
			if d := j.Tasks[i].DeclaredMS; d < 0 || d > maxTimeoutMS {
				checkRange(&findings, fmt.Sprintf("tasks[%d].declared_ms", i), d, 0, maxTimeoutMS)
			}
		}
	}
	return &j, findings
}

// checkRange adds a finding if v is not within low and high.
func checkRange(findings *finding.List, place string, v, low, high int64) {
	if v < low || v > high {
		findings.Add(place, "is %d, allowed are %d to %d", v, low, high)
	}
}

// toMessage converts a submission to a message. The messages of the tasks share
// one allocation.
func (j *job) toMessage() *wire.Submission {
	m := &wire.Submission{
		Service: j.Service, Repeatable: j.Repeatable, TimeoutMs: j.TimeoutMS,
		MemoryMb: j.MemoryMB, Accelerators: j.Accelerators,
		Tasks: make([]*wire.Task, len(j.Tasks)),
	}
	tasks := make([]wire.Task, len(j.Tasks))
	for i, t := range j.Tasks {
		tasks[i].Payload, tasks[i].DeclaredMs = t.Payload, t.DeclaredMS
		m.Tasks[i] = &tasks[i]
	}
	return m
}

// parseSequence parses the sequence number of a job in the request path.
func parseSequence(r *http.Request) (uint64, *wire.ForwardReply) {
	n, err := strconv.ParseUint(r.PathValue("seq"), 10, 64)
	if err != nil || n == 0 {
		return 0, home.Reject(http.StatusBadRequest, "seq", "must be a number from 1 on")
	}
	return n, nil
}

// parseWait parses the optional query parameter wait_ms, in milliseconds.
func parseWait(r *http.Request) (int64, *wire.ForwardReply) {
	text := r.URL.Query().Get("wait_ms")
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > maxWaitMS {
		return 0, home.Reject(http.StatusBadRequest, "wait_ms", fmt.Sprintf("must be a number from 0 to %d", maxWaitMS))
	}
	return n, nil
}
