// Package jobrun submits many jobs and reports their answers.
package jobrun

import (
	"context"
	"errors"
	"sync"

	"marigoldfront.dev/caller"
	"marigoldfront.dev/core/answer"
)

// Runner submits jobs in parallel, each once. When a session's home is gone,
// it opens a new session for the jobs that it has not submitted yet; a job
// without an answer is reported as it is.
type Runner struct {
	Client   *caller.Client
	Parallel int
	// OnResult is called once for each job, by one goroutine at a time.
	OnResult func(Result)

	mu      sync.Mutex
	session *caller.Session
	report  sync.Mutex
}

// Result is the outcome of one job.
type Result struct {
	// Index is the position of the job.
	Index   int
	Session string
	Reply   caller.Reply
	// Err is set instead of the answer where there is none.
	Err error
}

// New returns a runner that starts with an open session.
func New(c *caller.Client, s *caller.Session, parallel int, onResult func(Result)) *Runner {
	return &Runner{Client: c, Parallel: max(1, parallel), OnResult: onResult, session: s}
}

// Run submits the jobs and returns when each has its result.
func (r *Runner) Run(ctx context.Context, jobs []caller.Job) {
	next := make(chan int)
	var wg sync.WaitGroup
	for range min(r.Parallel, len(jobs)) {
		wg.Go(func() {
			for i := range next {
				r.submit(ctx, i, jobs[i])
			}
		})
	}
	for i := range jobs {
		next <- i
	}
	close(next)
	wg.Wait()
}

func (r *Runner) submit(ctx context.Context, i int, j caller.Job) {
	s := r.current()
	rep, err := s.Submit(ctx, j)
	if lost(rep, err) {
		r.replace(ctx, s)
	}
	r.report.Lock()
	defer r.report.Unlock()
	r.OnResult(Result{Index: i, Session: s.Token(), Reply: rep, Err: err})
}

func lost(rep caller.Reply, err error) bool {
	var none *caller.NoAnswer
	return errors.As(err, &none) || caller.SessionLost(rep.Answer)
}

func (r *Runner) current() *caller.Session {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.session
}

// replace opens a new session instead of old. Where that fails, the old one
// stays and the next job tries again.
func (r *Runner) replace(ctx context.Context, old *caller.Session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.session != old {
		return
	}
	if s, err := r.Client.Open(ctx); err == nil {
		r.session = s
	}
}

// Close closes the runner's current session.
func (r *Runner) Close(ctx context.Context) error { return r.current().Close(ctx) }

// Counts sums up answers by state.
type Counts struct {
	Jobs     int `json:"jobs"`
	Complete int `json:"complete"`
	Failed   int `json:"failed"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// NoAnswer counts jobs without any answer, which may have run.
	NoAnswer int `json:"no_answer"`
	Rejected int `json:"rejected"`
}

// Add counts one result.
func (c *Counts) Add(r Result) {
	c.Jobs++
	var rejected *caller.Rejected
	switch a := r.Reply.Answer.(type) {
	case answer.Complete:
		c.Complete++
	case answer.Failed:
		c.Failed++
	case answer.NotRun:
		c.NotRun++
	case answer.Unknown:
		c.Unknown++
	case nil:
		if errors.As(r.Err, &rejected) {
			c.Rejected++
			return
		}
		c.NoAnswer++
	default:
		panic(a)
	}
}
