package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"marigoldfront.dev/caller"
	"marigoldfront.dev/core/answer"
)

// Caller is a caller that submits jobs, with its token and the service that it
// uses.
type Caller struct {
	Name    string
	Token   string
	Service string
}

// State is the kind of answer that the caller of a job received.
type State string

// The states of a job. NoAnswer includes rejected requests.
const (
	Complete State = "complete"
	Failed   State = "failed"
	NotRun   State = "not_run"
	Unknown  State = "unknown"
	NoAnswer State = "no_answer"
)

// Outcome is the outcome of a planned job.
type Outcome struct {
	Job *Job
	// Latency is the time from the submission to the reply or error.
	Latency time.Duration
	State   State
	// Code is the reason of an answer other than complete.
	Code answer.Code
	Err  error
}

// Generator submits planned jobs. It distributes them over the entry instances
// round-robin, like a load balancer.
type Generator struct {
	callers []Caller
	// sessions holds one session per caller and instance.
	sessions [][]*clientSession
}

// clientSession is the session of one caller at one instance. It is reopened
// when it is lost.
type clientSession struct {
	client  *caller.Client
	mu      sync.Mutex
	session *caller.Session
}

// New opens a session for each caller at each base URL. The other base URLs are
// the fallbacks of the session.
func New(ctx context.Context, callers []Caller, baseURLs []string) (*Generator, error) {
	g := &Generator{callers: callers}
	for _, c := range callers {
		var sessions []*clientSession
		for i := range baseURLs {
			rotated := append(append([]string{}, baseURLs[i:]...), baseURLs[:i]...)
			client, err := caller.New(caller.Config{Caller: c.Name, Token: c.Token, Bases: rotated})
			if err != nil {
				return nil, err
			}
			s, err := client.Open(ctx)
			if err != nil {
				return nil, err
			}
			sessions = append(sessions, &clientSession{client: client, session: s})
		}
		g.sessions = append(g.sessions, sessions)
	}
	return g, nil
}

// Run submits the jobs, which must be sorted by time, and returns their
// outcomes in the same order once all are known. When ctx is done, the
// remaining jobs are not submitted.
func (g *Generator) Run(ctx context.Context, jobs []Job) []Outcome {
	outcomes := make([]Outcome, len(jobs))
	var wg sync.WaitGroup
	begin := time.Now()
	for i := range jobs {
		j := &jobs[i]
		time.Sleep(time.Until(begin.Add(j.SubmitAt)))
		if ctx.Err() != nil {
			outcomes[i] = Outcome{Job: j, State: NoAnswer, Err: ctx.Err()}
			continue
		}
		sessions := g.sessions[j.Caller]
		wg.Go(func() { outcomes[i] = sessions[i%len(sessions)].submit(ctx, g.callers[j.Caller].Service, j) })
	}
	wg.Wait()
	return outcomes
}

func (c *clientSession) submit(ctx context.Context, service string, j *Job) Outcome {
	c.mu.Lock()
	s := c.session
	c.mu.Unlock()
	begin := time.Now()
	reply, err := s.Submit(ctx, j.callerJob(service))
	o := Outcome{Job: j, Latency: time.Since(begin), Err: err}
	o.State, o.Code = stateOf(reply.Answer)
	var none *caller.NoAnswer
	if caller.SessionLost(reply.Answer) || errors.As(err, &none) {
		c.reopen(ctx, s)
	}
	return o
}

// reopen replaces the session old by a new one, unless that has already been
// done. If no session can be opened, old stays in use and the next job without
// an answer tries again.
func (c *clientSession) reopen(ctx context.Context, old *caller.Session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session != old {
		return
	}
	if s, err := c.client.Open(ctx); err == nil {
		c.session = s
	}
}

func stateOf(a answer.Answer) (State, answer.Code) {
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
	panic(fmt.Sprintf("load: unexpected answer %#v", a))
}

// callerJob returns the job as it is submitted. The payload of each task names
// its run time.
func (j *Job) callerJob(service string) caller.Job {
	out := caller.Job{Service: service, Repeatable: j.Repeatable, Timeout: j.Timeout}
	for i, run := range j.RunTimes {
		payload, err := json.Marshal(map[string]int64{"run_ms": run.Milliseconds()})
		if err != nil {
			panic(err)
		}
		out.Tasks = append(out.Tasks, caller.Task{Payload: payload, Declared: j.Declared[i]})
	}
	return out
}
