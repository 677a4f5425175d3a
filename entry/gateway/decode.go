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
	"marigoldfront.dev/wire"
)

const (
	maxBodyBytes  = 8 << 20
	maxTasks      = 550
	maxTimeoutMS  = int64(10 * time.Minute / time.Millisecond)
	maxWaitMS     = int64(time.Minute / time.Millisecond)
	maxNameBytes  = 255
	maxSmallBytes = 4 << 10
	// bodyTime bounds the time to receive a body or to send one.
	bodyTime = 30 * time.Second
)

// job is the body of a submission.
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

// readBody reads a body of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *wire.ForwardReply) {
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTime))
	body, err := readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	// The connection is watched for a broken client while the request waits,
	// which is a read as well.
	_ = rc.SetReadDeadline(time.Time{})
	var tooMany *http.MaxBytesError
	if errors.As(err, &tooMany) {
		return nil, tooLarge(limit)
	}
	if err != nil {
		return nil, home.Reject(http.StatusBadRequest, "body", "the body is cut")
	}
	return body, nil
}

func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

func tooLarge(limit int64) *wire.ForwardReply {
	return home.Reject(http.StatusRequestEntityTooLarge, "body", fmt.Sprintf("the body has more than %d bytes", limit))
}

// decode reads exactly one JSON value with known keys only.
func decode(body []byte, into any) finding.List {
	var found finding.List
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	err := dec.Decode(into)
	var wrongType *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	var encoding base64.CorruptInputError
	switch {
	case err == nil:
		if _, err := dec.Token(); err != io.EOF {
			found.Add("body", "something follows the JSON value")
		}
	case errors.As(err, &wrongType):
		found.Add(wrongType.Field, "is a %s at byte %d", wrongType.Value, wrongType.Offset)
	case errors.As(err, &syntax):
		found.Add("body", "%v at byte %d", syntax, syntax.Offset)
	case errors.As(err, &encoding):
		locate(body, &found)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		found.Add("body", "the JSON value is cut")
	default:
		found.Add("body", "%v", err)
	}
	return found
}

// locate names the payloads that are not valid base64. The decoder does not
// say which one it was.
func locate(body []byte, found *finding.List) {
	var texts struct {
		Tasks []struct {
			Payload string `json:"payload"`
		} `json:"tasks"`
	}
	if err := json.Unmarshal(body, &texts); err != nil {
		found.Add("body", "%v", err)
		return
	}
	for i, t := range texts.Tasks {
		if _, err := base64.StdEncoding.DecodeString(t.Payload); err != nil {
			found.Add(fmt.Sprintf("tasks[%d].payload", i), "is not valid base64")
		}
	}
}

// decodeJob reads and checks a submission. All findings are reported together.
func decodeJob(body []byte) (*job, finding.List) {
	var j job
	if found := decode(body, &j); len(found) > 0 {
		return nil, found
	}
	var found finding.List
	if j.Service == "" || len(j.Service) > maxNameBytes {
		found.Add("service", "must have 1 to %d bytes", maxNameBytes)
	}
	bounded(&found, "timeout_ms", j.TimeoutMS, 1, maxTimeoutMS)
	bounded(&found, "memory_mb", j.MemoryMB, 0, math.MaxInt32)
	bounded(&found, "accelerators", j.Accelerators, 0, math.MaxInt32)
	bounded(&found, "tasks", int64(len(j.Tasks)), 1, maxTasks)
	if len(j.Tasks) <= maxTasks {
		for i := range j.Tasks {
			if d := j.Tasks[i].DeclaredMS; d < 0 || d > maxTimeoutMS {
				bounded(&found, fmt.Sprintf("tasks[%d].declared_ms", i), d, 0, maxTimeoutMS)
			}
		}
	}
	return &j, found
}

func bounded(found *finding.List, place string, v, low, high int64) {
	if v < low || v > high {
		found.Add(place, "is %d, allowed are %d to %d", v, low, high)
	}
}

// message returns the wire form of a submission.
func (j *job) message() *wire.Submission {
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

// sequence reads the sequence number of a path.
func sequence(r *http.Request) (uint64, *wire.ForwardReply) {
	n, err := strconv.ParseUint(r.PathValue("seq"), 10, 64)
	if err != nil || n == 0 {
		return 0, home.Reject(http.StatusBadRequest, "seq", "must be a number from 1 on")
	}
	return n, nil
}

// waitOf reads the optional wait_ms of a query.
func waitOf(r *http.Request) (int64, *wire.ForwardReply) {
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
