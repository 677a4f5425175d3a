package soak

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	workers = 48
	// thinkTime is the mean pause of a worker between two jobs. The pauses are
	// distributed exponentially.
	thinkTime = 150 * time.Millisecond
	retryWait = 100 * time.Millisecond
	// answerGrace is added to the timeout of a job, so that its answer can
	// arrive. It also limits the opening of a session.
	answerGrace = 3 * time.Second
	// maxCollectAttempts and collectWait limit the final requests for an answer.
	maxCollectAttempts = 5
	collectWait        = 2 * time.Second

	// The shares of jobs, 0 to 1, that are submitted several times at once,
	// submitted again after their answer, cancelled, given a failing task, too
	// large for every target, and repeatable.
	duplicateShare  = 0.3
	lateCopyShare   = 0.1
	cancelShare     = 0.05
	failingShare    = 0.03
	oversizedShare  = 0.02
	repeatableShare = 0.5
	// newSessionShare is the share of jobs after which a worker opens a new
	// session at a random instance.
	newSessionShare = 0.02
)

const maxJobTimeout = 5 * time.Second

var jobTimeouts = []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second, maxJobTimeout}

// load submits jobs and records their answers.
type load struct {
	cluster *cluster
	api     *api
	stops   *plannedStops
	lastID  atomic.Int64

	mu      sync.Mutex
	records []*jobRecord
}

func (l *load) run(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for w := range uint64(workers) {
		wg.Go(func() { l.runWorker(ctx, rand.New(rand.NewPCG(seed, w+1))) })
	}
	wg.Wait()
}

func (l *load) randomEntry(rng *rand.Rand) *entry {
	return l.cluster.entries[rng.IntN(len(l.cluster.entries))]
}

func (l *load) runWorker(ctx context.Context, rng *rand.Rand) {
	session, seq := "", uint64(0)
	for ctx.Err() == nil {
		if session == "" {
			session, seq = l.openSession(ctx, rng), 0
			continue
		}
		seq++
		r := l.runJob(rng, session, seq)
		if r.bestState() != stateComplete && rng.IntN(4) == 0 || rng.Float64() < newSessionShare {
			session = ""
		}
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(thinkTime)))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (l *load) openSession(ctx context.Context, rng *rand.Rand) string {
	session, err := l.tryOpenSession(ctx, rng)
	if err != nil {
		sleep(ctx, retryWait)
	}
	return session
}

func (l *load) tryOpenSession(ctx context.Context, rng *rand.Rand) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, answerGrace)
	defer cancel()
	return l.api.openSession(ctx, l.randomEntry(rng).url(), callerName)
}

// drawJob generates a random job and its record. It runs before the goroutines
// of the job start, because rng is not safe for concurrent use.
func (l *load) drawJob(rng *rand.Rand, session string, seq uint64) (*jobRecord, jobRequest) {
	r := &jobRecord{ID: int(l.lastID.Add(1)), Session: session, Seq: seq, Repeatable: rng.Float64() < repeatableShare,
		Tasks: 1 + rng.IntN(4)}
	if rng.IntN(20) == 0 {
		r.Tasks = 40
	}
	req := jobRequest{Service: "billed", Repeatable: r.Repeatable, TimeoutMS: jobTimeouts[rng.IntN(len(jobTimeouts))].Milliseconds(),
		MemoryMB: 10}
	if r.Repeatable {
		req.Service = "quick"
	}
	if rng.Float64() < oversizedShare {
		req.MemoryMB = 10 * targetMemoryMB
	}
	if rng.IntN(2) == 0 {
		req.AcknowledgedBelow = seq
	}
	for i := range r.Tasks {
		p := taskPayload{RunMS: 5 + int64(rng.ExpFloat64()*30), Result: taskMark(r.ID, i), Mark: taskMark(r.ID, i)}
		if i == 0 && rng.Float64() < failingShare {
			p.Fail, r.HasFailingTask = true, true
		}
		req.Tasks = append(req.Tasks, taskRequest{Payload: mustMarshal(p), DeclaredMS: 30})
	}
	r.body = req
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
	return r, req
}

// runJob submits one job and waits for the answers to all its copies. Some jobs
// are submitted several times at once, cancelled, or submitted again at the end.
func (l *load) runJob(rng *rand.Rand, session string, seq uint64) *jobRecord {
	r, req := l.drawJob(rng, session, seq)
	limit := time.Duration(req.TimeoutMS)*time.Millisecond + answerGrace
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	copies := 1
	if rng.Float64() < duplicateShare {
		copies += 1 + rng.IntN(3)
	}
	var wg sync.WaitGroup
	for i := range copies {
		copyRNG := rand.New(rand.NewPCG(rng.Uint64(), uint64(i)))
		delay := time.Duration(i) * time.Duration(rng.Int64N(int64(200*time.Millisecond)))
		wg.Go(func() {
			sleep(ctx, delay)
			l.submit(ctx, copyRNG, r, req)
		})
	}
	if rng.Float64() < cancelShare {
		e, delay := l.randomEntry(rng), time.Duration(rng.Int64N(int64(100*time.Millisecond)))
		wg.Go(func() {
			sleep(ctx, delay)
			l.recordOutcome(r, e, func() (jobAnswer, error) { return l.api.cancelJob(ctx, e.url(), session, seq) })
		})
	}
	wg.Wait()
	if rng.Float64() < lateCopyShare {
		l.submit(ctx, rng, r, req)
	}
	return r
}

// submit sends one copy of a job to random instances until one of them answers
// or ctx ends.
func (l *load) submit(ctx context.Context, rng *rand.Rand, r *jobRecord, req jobRequest) {
	for ctx.Err() == nil {
		e := l.randomEntry(rng)
		if l.recordOutcome(r, e, func() (jobAnswer, error) { return l.api.submitJob(ctx, e.url(), r.Session, r.Seq, req) }) {
			return
		}
		sleep(ctx, retryWait)
	}
}

// recordOutcome sends one request to e and records its answer, rejection or
// error. It returns false if the request should be repeated.
func (l *load) recordOutcome(r *jobRecord, e *entry, request func() (jobAnswer, error)) bool {
	startedAt := time.Now()
	answer, err := request()
	if err != nil {
		r.setLastError(e.spec.Name, err)
	}
	var rejected *rejectedError
	interrupted := err != nil && !errors.As(err, &rejected) && !errors.Is(err, context.DeadlineExceeded)
	if elapsed := time.Since(startedAt); interrupted && elapsed > minInFlightTime && e.draining.Load() {
		l.stops.addInterruption(e.spec.Name, err, elapsed)
	}
	if errors.As(err, &rejected) {
		if rejected.status >= http.StatusInternalServerError || rejected.status == http.StatusTooManyRequests {
			return false
		}
		r.addRejection(e.spec.Name + ": " + err.Error())
		return true
	}
	if err != nil {
		return false
	}
	answer.Instance = e.spec.Name
	r.addAnswer(answer)
	return true
}

// resolveUnanswered requests the answers of all jobs that have no answer or only
// answers of state unknown. It runs after all faults are cleared.
func (l *load) resolveUnanswered(seed uint64) {
	var wg sync.WaitGroup
	unresolved := make(chan *jobRecord)
	for w := range uint64(workers) {
		rng := rand.New(rand.NewPCG(seed, 1000+w))
		wg.Go(func() {
			for r := range unresolved {
				l.resolve(rng, r)
			}
		})
	}
	for _, r := range l.records {
		if s := r.bestState(); s == "" || s == stateUnknown {
			unresolved <- r
		}
	}
	close(unresolved)
	wg.Wait()
}

// resolve submits a job without any answer again under its own session and
// sequence number, because no request for it may have arrived. For other jobs
// it requests the recorded answer.
func (l *load) resolve(rng *rand.Rand, r *jobRecord) {
	for range maxCollectAttempts {
		e := l.randomEntry(rng)
		ctx, cancel := context.WithTimeout(context.Background(), maxJobTimeout+answerGrace)
		done := false
		if r.bestState() == "" {
			done = l.recordOutcome(r, e, func() (jobAnswer, error) { return l.api.submitJob(ctx, e.url(), r.Session, r.Seq, r.body) })
		} else {
			done = l.collect(ctx, e, r)
		}
		cancel()
		if done {
			return
		}
		time.Sleep(retryWait)
	}
}

// collect requests the recorded answer of a job. It returns false if the request
// fails or the job is still running.
func (l *load) collect(ctx context.Context, e *entry, r *jobRecord) bool {
	answer, final, err := l.api.collectAnswer(ctx, e.url(), r.Session, r.Seq, collectWait)
	if err != nil || !final {
		return false
	}
	answer.Instance = e.spec.Name
	r.addAnswer(answer)
	return true
}
