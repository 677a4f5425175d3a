package target

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
)

const maxBodyBytes = 16 << 20

// connections counts the open connections. Tasks on connections that were opened
// above the limit are refused like tasks without a free slot.
type connections struct {
	mu        sync.Mutex
	max       int
	open      map[net.Conn]bool
	peak      int
	overLimit int
}

// overLimitKey is the context key of a bool: whether the connection was opened
// above the limit.
type overLimitKey struct{}

func (c *connections) connContext(ctx context.Context, conn net.Conn) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = map[net.Conn]bool{}
	}
	c.open[conn] = true
	c.peak = max(c.peak, len(c.open))
	overLimit := len(c.open) > c.max
	if overLimit {
		c.overLimit++
	}
	return context.WithValue(ctx, overLimitKey{}, overLimit)
}

func (c *connections) connState(conn net.Conn, s http.ConnState) {
	if s != http.StateClosed && s != http.StateHijacked {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

// Server returns an HTTP server with the target protocol and the controls of the
// stand-in.
func (t *Target) Server() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tasks", t.postTask)
	mux.HandleFunc("DELETE /v1/tasks/{job}/{task}/{attempt}", t.deleteTask)
	mux.HandleFunc("GET /v1/starts", t.getStarts)
	mux.HandleFunc("GET /v1/stats", t.getStats)
	mux.HandleFunc("POST /v1/control", t.postControl)
	return &http.Server{Handler: mux, ConnContext: t.conns.connContext, ConnState: t.conns.connState}
}

func (t *Target) postTask(w http.ResponseWriter, r *http.Request) {
	var req request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil {
		t.refuse(w, http.StatusBadRequest, req, err.Error())
		return
	}
	overLimit, _ := r.Context().Value(overLimitKey{}).(bool)
	status, p, stop := t.startTask(req, overLimit)
	if status != http.StatusOK {
		t.refuse(w, status, req, http.StatusText(status))
		return
	}
	message := waitForEnd(req, p, stop)
	t.finishTask(req, stop)
	out := reply{Job: req.Job, Task: req.Task, Attempt: req.Attempt, Outcome: outcomeDone, Result: p.result}
	if p.fail && message == "" {
		message = "the task failed"
	}
	if message != "" {
		out.Outcome, out.Result, out.Message = outcomeFailed, nil, message
	}
	out.Running, out.Slots = t.load()
	writeJSON(w, http.StatusOK, out)
}

func (t *Target) refuse(w http.ResponseWriter, status int, req request, message string) {
	running, slots := t.load()
	writeJSON(w, status, reply{Job: req.Job, Task: req.Task, Attempt: req.Attempt, Message: message, Running: running, Slots: slots})
}

func (t *Target) deleteTask(w http.ResponseWriter, r *http.Request) {
	if !t.stopTask(r.PathValue("job") + "/" + r.PathValue("task") + "/" + r.PathValue("attempt")) {
		http.Error(w, "not running", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Starts is the reply of GET /v1/starts?from=N.
type Starts struct {
	Starts []Start `json:"starts"`
}

func (t *Target) getStarts(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	t.mu.Lock()
	out := Starts{Starts: append([]Start{}, t.starts[min(max(from, 0), len(t.starts)):]...)}
	t.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

// Stats is the reply of GET /v1/stats.
type Stats struct {
	Starts  int `json:"starts"`
	Running int `json:"running"`
	// PeakConnections is the highest number of connections that were open at
	// once, and OverLimit the number of connections opened above the limit.
	PeakConnections int `json:"most_connections"`
	OverLimit       int `json:"over_limit"`
}

func (t *Target) getStats(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	s := Stats{Starts: len(t.starts), Running: t.running}
	t.mu.Unlock()
	t.conns.mu.Lock()
	s.PeakConnections, s.OverLimit = t.conns.peak, t.conns.overLimit
	t.conns.mu.Unlock()
	writeJSON(w, http.StatusOK, s)
}

// Control is the body of POST /v1/control. An omitted field changes nothing.
type Control struct {
	Leaving *bool    `json:"leaving"`
	FailAll *bool    `json:"fail_all"`
	Speed   *float64 `json:"speed"`
}

func (t *Target) postControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil || c.Speed != nil && *c.Speed <= 0 {
		http.Error(w, "want leaving, fail_all and a speed above 0", http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Leaving != nil {
		t.leaving = *c.Leaving
	}
	if c.FailAll != nil {
		t.cfg.FailAll = *c.FailAll
	}
	if c.Speed != nil {
		t.cfg.Speed = *c.Speed
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
