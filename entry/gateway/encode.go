package gateway

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strconv"

	"marigoldfront.dev/infra/intake"
	"marigoldfront.dev/infra/tracing"
	"marigoldfront.dev/wire"
)

// sessionWindow is the number of consecutive sequence numbers that a session may
// have in use. It is reported to the caller when a session is opened.
const sessionWindow = 1024

var contentType = []string{"application/json"}

// rejectionBody is the JSON body of a rejection.
type rejectionBody struct {
	State    string        `json:"state"`
	Findings []findingBody `json:"findings"`
}

type findingBody struct {
	Place   string `json:"place"`
	Message string `json:"message"`
}

// writeReply writes a reply as an HTTP response. An answer for which there is no
// memory is not sent: the caller can collect it later, while a rejection would say
// that nothing has run.
func (g *Gateway) writeReply(ctx context.Context, w http.ResponseWriter, reply *wire.ForwardReply) {
	switch {
	case reply == nil:
		// The client has disconnected, so nothing is written.
	case reply.GetAnswer() != nil:
		a := reply.GetAnswer()
		g.cfg.Metrics.CountAnswer(stateName(a.GetState()))
		if intake.Hold(ctx, answerMemory(a)) != nil {
			panic(http.ErrAbortHandler)
		}
		sendBody(w, http.StatusOK, appendAnswer(a, tracing.TraceID(ctx)))
	case reply.GetRunning():
		sendBody(w, http.StatusAccepted, []byte(`{"state":"running"}`))
	case len(reply.GetRejection()) > 0:
		g.writeRejection(w, reply)
	case reply.GetSession() != "":
		body, _ := json.Marshal(struct {
			Session string `json:"session"`
			Window  int    `json:"window"`
		}{reply.GetSession(), sessionWindow})
		sendBody(w, http.StatusCreated, body)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// writeRejection writes a rejection and counts it. A status that is not a client
// or server error is replaced by 400.
func (g *Gateway) writeRejection(w http.ResponseWriter, reply *wire.ForwardReply) {
	status := int(reply.GetHttpStatus())
	if status < http.StatusBadRequest || status > 599 {
		status = http.StatusBadRequest
	}
	g.cfg.Metrics.CountRejection(strconv.Itoa(status))
	r := rejectionBody{State: "rejected"}
	for _, f := range reply.GetRejection() {
		r.Findings = append(r.Findings, findingBody{Place: f.GetPlace(), Message: f.GetMessage()})
	}
	body, _ := json.Marshal(r)
	sendBody(w, status, body)
}

func sendBody(w http.ResponseWriter, status int, body []byte) {
	w.Header()["Content-Type"] = contentType
	w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// stateName returns the name of an answer's state in JSON and in metrics.
func stateName(s wire.State) string {
	switch s {
	case wire.State_STATE_COMPLETE:
		return "complete"
	case wire.State_STATE_FAILED:
		return "failed"
	case wire.State_STATE_NOT_RUN:
		return "not_run"
	default:
		// A peer of a newer version may send a state that this version does not
		// define. Whether the job has run is then unknown.
		return "unknown"
	}
}

// answerMemory returns the memory, in bytes, that an answer takes with its encoding.
func answerMemory(a *wire.Answer) int64 {
	const fixed, copies = 4 << 10, 3
	n := int64(fixed)
	for _, r := range a.GetResults() {
		n += copies * int64(len(r))
	}
	return n
}

// appendAnswer returns the JSON encoding of an answer. It encodes the results,
// which can have megabytes, directly into the output to avoid a copy.
func appendAnswer(a *wire.Answer, traceID string) []byte {
	size := 256
	for _, r := range a.GetResults() {
		size += base64.StdEncoding.EncodedLen(len(r)) + 3
	}
	state := stateName(a.GetState())
	b := make([]byte, 0, size)
	b = append(b, `{"state":"`...)
	b = append(b, state...)
	b = append(b, `","code":`...)
	b = appendString(b, a.GetCode())
	b = append(b, `,"message":`...)
	b = appendString(b, a.GetMessage())
	if state == "complete" {
		b = append(b, `,"results":[`...)
		for i, r := range a.GetResults() {
			if i > 0 {
				b = append(b, ',')
			}
			b = append(b, '"')
			b = base64.StdEncoding.AppendEncode(b, r)
			b = append(b, '"')
		}
		b = append(b, ']')
	}
	b = append(b, `,"starts":`...)
	b = strconv.AppendInt(b, a.GetStarts(), 10)
	b = append(b, `,"trace_id":`...)
	b = appendString(b, traceID)
	return append(b, '}')
}

// appendString appends s as a JSON string.
func appendString(b []byte, s string) []byte {
	if s == "" {
		return append(b, `""`...)
	}
	text, _ := json.Marshal(s)
	return append(b, text...)
}
