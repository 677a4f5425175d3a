package load

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"marigoldfront.dev/caller"
	"marigoldfront.dev/core/answer"
)

// Caller is a client system of the run.
type Caller struct {
	Name    string
	Token   string
	Service string
}

// State is how a job ended for its caller.
type State string

// The states. NoAnswer includes rejected messages.
const (
	Complete State = "complete"
	Failed   State = "failed"
	NotRun   State = "not_run"
	Unknown  State = "unknown"
	NoAnswer State = "no_answer"
)

// Outcome is what became of a planned job.
type Outcome struct {
	Job     *Job
	Latency time.Duration
	State   State
	Code    answer.Code
	Err     error
}

// Generator submits planned jobs. Jobs are spread over the entry instances in
// turn, as a load balancer would.
type Generator struct {
	callers []Caller
	lanes   [][]*lane
}

// lane is the session of one caller at one instance.
type lane struct {
	client  *caller.Client
	mu      sync.Mutex
	session *caller.Session
}

// New opens a session for each caller at each base URL.
func New(ctx context.Context, callers []Caller, bases []string) (*Generator, error) {
	g := &Generator{callers: callers}
	for _, c := range callers {
		var lanes []*lane
		for i := range bases {
			rotated := append(append([]string{}, bases[i:]...), bases[:i]...)
			client, err := caller.New(caller.Config{Caller: c.Name, Token: c.Token, Bases: rotated})
			if err != nil {
				return nil, err
			}
			s, err := client.Open(ctx)
			if err != nil {
				return nil, err
			}
			lanes = append(lanes, &lane{client: client, session: s})
		}
		g.lanes = append(g.lanes, lanes)
	}
	return g, nil
}

// Run submits the jobs at their times and returns when each has its outcome.
func (g *Generator) Run(ctx context.Context, jobs []Job) []Outcome {
	out := make([]Outcome, len(jobs))
	var wg sync.WaitGroup
	begin := time.Now()
	for i := range jobs {
		j := &jobs[i]
		time.Sleep(time.Until(begin.Add(j.SubmitAt)))
		if ctx.Err() != nil {
			out[i] = Outcome{Job: j, State: NoAnswer, Err: ctx.Err()}
			continue
		}
		lanes := g.lanes[j.Caller]
		wg.Go(func() { out[i] = lanes[i%len(lanes)].submit(ctx, g.callers[j.Caller].Service, j) })
	}
	wg.Wait()
	return out
}

func (l *lane) submit(ctx context.Context, service string, j *Job) Outcome {
	l.mu.Lock()
	s := l.session
	l.mu.Unlock()
	begin := time.Now()
	rep, err := s.Submit(ctx, j.message(service))
	o := Outcome{Job: j, Latency: time.Since(begin), Err: err}
	o.State, o.Code = state(rep.Answer)
	var none *caller.NoAnswer
	if caller.SessionLost(rep.Answer) || errors.As(err, &none) {
		l.replace(ctx, s)
	}
	return o
}

func (l *lane) replace(ctx context.Context, old *caller.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != old {
		return
	}
	if s, err := l.client.Open(ctx); err == nil {
		l.session = s
	}
}

func state(a answer.Answer) (State, answer.Code) {
	switch a := a.(type) {
	case answer.Complete:
		return Complete, ""
	case answer.Failed:
		return Failed, a.Reason.Code
	case answer.NotRun:
		return NotRun, a.Reason.Code
	case answer.Unknown:
		return Unknown, a.Reason.Code
	case nil:
		return NoAnswer, ""
	}
	panic(a)
}

func (j *Job) message(service string) caller.Job {
	m := caller.Job{Service: service, Repeatable: j.Repeatable, Timeout: j.Timeout}
	for i, run := range j.RunTimes {
		payload, err := json.Marshal(map[string]int64{"run_ms": run.Milliseconds()})
		if err != nil {
			panic(err)
		}
		m.Tasks = append(m.Tasks, caller.Task{Payload: payload, Declared: j.Declared[i]})
	}
	return m
}
