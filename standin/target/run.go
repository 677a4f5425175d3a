package target

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

type request struct {
	Job              string `json:"job"`
	Task             int    `json:"task"`
	Attempt          int    `json:"attempt"`
	Caller           string `json:"caller"`
	Service          string `json:"service"`
	Payload          []byte `json:"payload"`
	StartByUnixMS    int64  `json:"start_by_unix_ms"`
	LeaseUntilUnixMS int64  `json:"lease_until_unix_ms"`
}

func (r request) key() string { return fmt.Sprintf("%s/%d/%d", r.Job, r.Task, r.Attempt) }

type reply struct {
	Job     string `json:"job,omitempty"`
	Task    int    `json:"task"`
	Attempt int    `json:"attempt,omitempty"`
	Outcome string `json:"outcome,omitempty"`
	Result  []byte `json:"result,omitempty"`
	Message string `json:"message,omitempty"`
	Running int    `json:"running"`
	Slots   int    `json:"slots"`
}

const (
	outcomeDone   = "done"
	outcomeFailed = "failed"
)

// startTask starts the task and returns status 200, its plan and the channel
// that stops it. If it refuses the task, it returns another HTTP status.
func (t *Target) startTask(r request, overLimit bool) (int, plan, chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	switch {
	case r.Job == "" || r.Attempt < 1 || r.Task < 0:
		return http.StatusBadRequest, plan{}, nil
	case t.leaving:
		return http.StatusGone, plan{}, nil
	case now.UnixMilli() > r.StartByUnixMS:
		return http.StatusPreconditionFailed, plan{}, nil
	case overLimit || t.running >= t.cfg.Slots:
		return http.StatusTooManyRequests, plan{}, nil
	}
	p := t.drawPlan(r)
	s := Start{Target: t.cfg.Name, TimeUnixMS: now.UnixMilli(), Job: r.Job, Task: r.Task, Attempt: r.Attempt,
		Service: r.Service, Caller: r.Caller, Mark: p.mark}
	t.starts = append(t.starts, s)
	if t.cfg.OnStart != nil {
		t.cfg.OnStart(s)
	}
	t.running++
	stop := make(chan struct{})
	t.stops[r.key()] = append(t.stops[r.key()], stop)
	return http.StatusOK, p, stop
}

// waitForEnd waits until the task has run, its lease expires or it is stopped.
// It returns why the task ended early, or an empty string.
func waitForEnd(r request, p plan, stop <-chan struct{}) string {
	end, message := time.Now().Add(p.run), ""
	if lease := time.UnixMilli(r.LeaseUntilUnixMS); r.LeaseUntilUnixMS > 0 && lease.Before(end) {
		end, message = lease, "the lease expired"
	}
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-timer.C:
		return message
	case <-stop:
		return "stopped"
	}
}

func (t *Target) finishTask(r request, stop chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	key := r.key()
	t.stops[key] = slices.DeleteFunc(t.stops[key], func(c chan struct{}) bool { return c == stop })
	if len(t.stops[key]) == 0 {
		delete(t.stops, key)
	}
	t.checkIdle()
}

// stopTask stops every running start of an attempt and reports whether there was
// one.
func (t *Target) stopTask(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.stops[key] {
		close(c)
	}
	found := len(t.stops[key]) > 0
	// finishTask does not need the deleted channels: it only removes its own
	// channel if it is still there. Deleting them here prevents a second close.
	delete(t.stops, key)
	return found
}

func (t *Target) load() (running, slots int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running, t.cfg.Slots
}
