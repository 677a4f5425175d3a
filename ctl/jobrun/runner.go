// Package jobrun submits many jobs in parallel and reports their answers.
package jobrun

import (
	"context"
	"errors"
	"sync"

	"marigoldfront.dev/caller"
	"marigoldfront.dev/core/answer"
)

// Runner submits jobs in parallel, each once. When the home instance of the
// session no longer answers, it opens a new session for the jobs that it has
// not submitted yet. A job without an answer may have run, so it is not
// submitted again but reported with its error.
type Runner struct {
	Client   *caller.Client
	Parallel int
	// OnResult is called once for each job. Calls do not overlap.
	OnResult func(Result)

	mu       sync.Mutex
	session  *caller.Session
	reportMu sync.Mutex
}

// Result is the outcome of one job.
type Result struct {
	// Index is the position of the job in the slice given to Run.
	Index int
	// Session is the token of the session that the job was submitted in.
	Session string
	Reply   caller.Reply
	// Err is set if the job has no answer.
	Err error
}

// New returns a runner that submits its first jobs in the open session s. A
// value of parallel below 1 counts as 1.
func New(c *caller.Client, s *caller.Session, parallel int, onResult func(Result)) *Runner {
	return &Runner{Client: c, Parallel: max(1, parallel), OnResult: onResult, session: s}
}

// Run submits the jobs and returns when OnResult was called for each of them.
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
	s := r.currentSession()
	rep, err := s.Submit(ctx, j)
	if sessionLost(rep, err) {
		r.replaceSession(ctx, s)
	}
	r.reportMu.Lock()
	defer r.reportMu.Unlock()
	r.OnResult(Result{Index: i, Session: s.Token(), Reply: rep, Err: err})
}

// sessionLost reports whether further jobs need a new session.
func sessionLost(rep caller.Reply, err error) bool {
	var noAnswer *caller.NoAnswer
	return errors.As(err, &noAnswer) || caller.SessionLost(rep.Answer)
}

func (r *Runner) currentSession() *caller.Session {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.session
}

// replaceSession opens a new session in place of old, unless another goroutine
// has already done so. If that fails, the old session stays, and the next job
// that fails with it tries again.
func (r *Runner) replaceSession(ctx context.Context, old *caller.Session) {
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
func (r *Runner) Close(ctx context.Context) error { return r.currentSession().Close(ctx) }

// Counts holds the number of jobs by the state of their answer.
type Counts struct {
	Jobs     int `json:"jobs"`
	Complete int `json:"complete"`
	Failed   int `json:"failed"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// NoAnswer counts the jobs without an answer. They may have run.
	NoAnswer int `json:"no_answer"`
	Rejected int `json:"rejected"`
}

// Add counts one result. It is not safe for concurrent use.
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
