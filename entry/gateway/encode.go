package gateway

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"marigoldfront.dev/wire"
)

// window is the width of the sequence numbers that a session has in use.
const window = 1024

var contentType = []string{"application/json"}

type rejection struct {
	State    string        `json:"state"`
	Findings []findingText `json:"findings"`
}

type findingText struct {
	Place   string `json:"place"`
	Message string `json:"message"`
}

// write sends the reply to a caller.
func (g *Gateway) write(w http.ResponseWriter, reply *wire.ForwardReply, traceID string) {
	switch {
	case reply == nil:
		// The client is gone; there is nobody to reply to.
	case reply.GetAnswer() != nil:
		a := reply.GetAnswer()
		g.cfg.Metrics.CountAnswer(stateText(a.GetState()))
		send(w, http.StatusOK, appendAnswer(a, traceID))
	case reply.GetRunning():
		send(w, http.StatusAccepted, []byte(`{"state":"running"}`))
	case len(reply.GetRejection()) > 0:
		g.reject(w, reply)
	case reply.GetSession() != "":
		body, _ := json.Marshal(struct {
			Session string `json:"session"`
			Window  int    `json:"window"`
		}{reply.GetSession(), window})
		send(w, http.StatusCreated, body)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func (g *Gateway) reject(w http.ResponseWriter, reply *wire.ForwardReply) {
	status := int(reply.GetHttpStatus())
	if status < http.StatusBadRequest || status > 599 {
		status = http.StatusBadRequest
	}
	g.cfg.Metrics.CountRejection(strconv.Itoa(status))
	r := rejection{State: "rejected"}
	for _, f := range reply.GetRejection() {
		r.Findings = append(r.Findings, findingText{Place: f.GetPlace(), Message: f.GetMessage()})
	}
	body, _ := json.Marshal(r)
	send(w, status, body)
}

func send(w http.ResponseWriter, status int, body []byte) {
	// A client that does not read must not hold its answer in memory for good.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(bodyTime))
	w.Header()["Content-Type"] = contentType
	w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func stateText(s wire.State) string {
	switch s {
	case wire.State_STATE_COMPLETE:
		return "complete"
	case wire.State_STATE_FAILED:
		return "failed"
	case wire.State_STATE_NOT_RUN:
		return "not_run"
	default:
		// A state of a newer peer says nothing that this instance can vouch for.
		return "unknown"
	}
}

// appendAnswer returns the JSON of an answer. The results, which may have
// megabytes, are written without an intermediate copy.
func appendAnswer(a *wire.Answer, traceID string) []byte {
	size := 256
	for _, r := range a.GetResults() {
		size += base64.StdEncoding.EncodedLen(len(r)) + 3
	}
	state := stateText(a.GetState())
	b := make([]byte, 0, size)
	b = append(b, `{"state":"`...)
	b = append(b, state...)
	b = append(b, `","code":`...)
	b = appendText(b, a.GetCode())
	b = append(b, `,"message":`...)
	b = appendText(b, a.GetMessage())
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
	b = appendText(b, traceID)
	return append(b, '}')
}

func appendText(b []byte, s string) []byte {
	if s == "" {
		return append(b, `""`...)
	}
	text, _ := json.Marshal(s)
	return append(b, text...)
}
