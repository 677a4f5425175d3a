package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdMax        = time.Second
	heartbeatEvery = 1500 * time.Millisecond
	workerCPU      = 64_000
)

// worker is a stand-in of a worker. The spec of a task is its run time in milliseconds.
type worker struct {
	id, service, zone, kind string
	rec                     *record
	store                   *store
	listener                net.Listener
	server                  *http.Server
	// link is the way to the worker. Its address is the one in the store.
	link *link
	done chan struct{}

	mu      sync.Mutex
	born    time.Time
	seq     int
	state   string
	cpu     int64
	guards  bool
	fence   int64
	until   time.Time // end of the lease
	running map[string]*taskRun
	highest map[string]int
	ended   [][]any
	lastEnd int64
	changed chan struct{}
	starts  []start
	usedCPU int64
}

type taskRun struct {
	task   string
	run    int
	cpu    int64
	cancel chan struct{}
	began  time.Time
}

// start is a task that has begun on an order.
type start struct {
	at     time.Time
	task   string
	run    int
	worker string
	kind   string
	fence  int64
	end    time.Time
	how    string
}

func newWorker(rec *record, st *store, id, service, zone, kind string, source func(port int) string) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k, err := newLink(l.Addr().String(), source)
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, service: service, zone: zone, kind: kind, rec: rec, store: st, listener: l, link: k,
		done: make(chan struct{}), born: time.Now(), state: "ready", cpu: workerCPU, guards: true, running: map[string]*taskRun{},
		highest: map[string]int{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	mux.HandleFunc("POST /run-start", w.start)
	mux.HandleFunc("POST /run-stop", w.stop)
	mux.HandleFunc("POST /hold", w.hold)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }()
	go w.heartbeats()
	go w.expire()
	return w, nil
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1000 }

func (w *worker) heartbeats() {
	for {
		w.register()
		select {
		case <-time.After(heartbeatEvery):
		case <-w.done:
			return
		}
	}
}

func (w *worker) register() {
	w.mu.Lock()
	w.seq++
	entry := map[string]any{
		"Service": w.service, "Address": w.link.address(), "Zone": w.zone, "Version": "v1", "Slots": 8, "State": w.state,
		"ColdRemainingMs": 0, "Capacity": map[string]int64{"Cpu": w.cpu, "MemMb": 131072, "Gpu": 0},
		"Labels": []string{w.kind, "r-" + w.zone}, "ClockMs": w.clock(), "Seq": w.seq, "born": w.born.UnixMilli(),
	}
	w.mu.Unlock()
	w.store.put("servers/"+w.id, entry)
}

func (w *worker) expire() {
	for {
		select {
		case <-time.After(2 * time.Millisecond):
		case <-w.done:
			return
		}
		w.mu.Lock()
		if len(w.running) > 0 && time.Now().After(w.until) {
			for key := range w.running {
				w.endRun(key, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) endRun(key, how string) {
	r := w.running[key]
	if r == nil {
		return
	}
	delete(w.running, key)
	close(r.cancel)
	w.usedCPU -= r.cpu
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, r.task, r.run, how, ""})
	for i := range w.starts {
		if s := &w.starts[i]; s.task == r.task && s.run == r.run && s.end.IsZero() {
			s.end, s.how = time.Now(), how
		}
	}
	w.rec.add("worker %s: run %d of task %s has ended %s", w.id, r.run, r.task, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

type order struct {
	Task         string
	Run          int
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	LastSeen     int64
	WaitMs       int64
}

func (w *worker) read(rw http.ResponseWriter, r *http.Request) (in order, ok bool) {
	if id := r.Header.Get("Target-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return in, false
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return in, false
	}
	return in, true
}

// fenced refuses an order with a lower fencing token. The caller holds the lock.
func (w *worker) fenced(rw http.ResponseWriter, in order) bool {
	if in.FencingToken < w.fence {
		w.refuse(rw, "fence")
		return true
	}
	w.fence = in.FencingToken
	return false
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"ClockMs": w.clock(), "Reason": reason})
}

func (w *worker) extend(deadline int64) {
	if deadline == 0 {
		return
	}
	left := min(time.Duration(deadline-w.clock())*time.Millisecond, holdMax)
	if until := time.Now().Add(left); until.After(w.until) {
		w.until = until
	}
}

// spec is what a stand-in reads from the spec of a task: its run time.
func specTime(spec string) time.Duration {
	ms, err := strconv.Atoi(strings.TrimSpace(spec))
	if err != nil {
		ms = 100
	}
	return time.Duration(ms) * time.Millisecond
}

const taskCPU = 27_000

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	in, ok := w.read(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(rw, in) {
		return
	}
	key := fmt.Sprint(in.Task, "#", in.Run)
	switch {
	case w.running[key] != nil:
	case in.Run <= w.highest[in.Task]:
		w.extend(in.DeadlineMs)
		w.refuse(rw, "old")
		return
	case in.DeadlineMs <= w.clock():
		w.refuse(rw, "late")
		return
	case w.usedCPU+taskCPU > w.cpu && w.guards:
		w.extend(in.DeadlineMs)
		w.refuse(rw, "room")
		return
	default:
		w.extend(in.DeadlineMs)
		w.begin(key, in)
	}
	reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clock()})
}

func (w *worker) begin(key string, in order) {
	run := &taskRun{task: in.Task, run: in.Run, cpu: taskCPU, cancel: make(chan struct{}), began: time.Now()}
	w.running[key] = run
	w.highest[in.Task] = in.Run
	w.usedCPU += run.cpu
	w.starts = append(w.starts, start{at: run.began, task: in.Task, run: in.Run, worker: w.id, kind: w.kind, fence: in.FencingToken})
	w.rec.add("worker %s (zone %s): run %d of task %s starts, fencing token %d", w.id, w.zone, in.Run, in.Task, in.FencingToken)
	go func() {
		select {
		case <-time.After(specTime(in.Spec)):
			w.mu.Lock()
			w.endRun(key, "done")
			w.mu.Unlock()
		case <-run.cancel:
		}
	}()
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request) {
	in, ok := w.read(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(rw, in) {
		return
	}
	w.highest[in.Task] = max(w.highest[in.Task], in.Run)
	w.endRun(fmt.Sprint(in.Task, "#", in.Run), "stopped")
	reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clock()})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	in, ok := w.read(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(rw, in) {
		return
	}
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= in.LastSeen {
		w.ended = w.ended[1:]
	}
	w.extend(in.DeadlineMs)
	limit := time.After(time.Duration(in.WaitMs) * time.Millisecond)
	for waiting := in.WaitMs > 0; waiting && len(w.ended) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-limit:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	runs := [][]any{}
	for _, run := range w.running {
		percent := 100 * float64(time.Since(run.began)) / float64(time.Minute)
		runs = append(runs, []any{run.task, run.run, "", int(percent), taskCPU})
	}
	reply(rw, http.StatusOK, map[string]any{
		"ClockMs": w.clock(), "born": w.born.UnixMilli(), "Running": runs, "EndedRuns": append([][]any{}, w.ended[:min(len(w.ended), 500)]...),
	})
}

func (w *worker) allStarts() []start {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]start{}, w.starts...)
}
