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
	// thinkTime is the mean pause of a worker between two jobs.
	thinkTime = 150 * time.Millisecond
	retryWait = 100 * time.Millisecond
	// grace is added to a job's timeout for its answer to arrive.
	grace = 3 * time.Second
	// collectTries and collectWait bound the last look for an answer.
	collectTries = 5
	collectWait  = 2 * time.Second

	duplicateShare = 0.3
	lateShare      = 0.1
	cancelShare    = 0.05
	failShare      = 0.03
	neverFitsShare = 0.02
	repeatShare    = 0.5
	// renewShare is the share of jobs after which a worker opens a session at
	// another instance.
	renewShare = 0.02
)

const longestTimeout = 5 * time.Second

var timeouts = []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second, longestTimeout}

// load submits jobs and records the answers.
type load struct {
	c     *cluster
	api   *api
	stops *stops
	next  atomic.Int64

	mu      sync.Mutex
	records []*record
}

func (l *load) run(ctx context.Context, seed uint64) {
	var wg sync.WaitGroup
	for w := range uint64(workers) {
		wg.Go(func() { l.worker(ctx, rand.New(rand.NewPCG(seed, w+1))) })
	}
	wg.Wait()
}

func (l *load) entry(rng *rand.Rand) *entry { return l.c.entries[rng.IntN(len(l.c.entries))] }

func (l *load) worker(ctx context.Context, rng *rand.Rand) {
	session, seq := "", uint64(0)
	for ctx.Err() == nil {
		if session == "" {
			session, seq = l.open(ctx, rng), 0
			continue
		}
		seq++
		r := l.job(rng, session, seq)
		if r.outcome() != stateComplete && rng.IntN(4) == 0 || rng.Float64() < renewShare {
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

func (l *load) open(ctx context.Context, rng *rand.Rand) string {
	session, err := l.tryOpen(ctx, rng)
	if err != nil {
		sleep(ctx, retryWait)
	}
	return session
}

func (l *load) tryOpen(ctx context.Context, rng *rand.Rand) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	return l.api.open(ctx, l.entry(rng).url(), callerName)
}

// plan draws a job. It runs before the job's goroutines start, because a
// generator is not safe for concurrent use.
func (l *load) plan(rng *rand.Rand, session string, seq uint64) (*record, jobBody) {
	r := &record{ID: int(l.next.Add(1)), Session: session, Seq: seq, Repeatable: rng.Float64() < repeatShare,
		Tasks: 1 + rng.IntN(4)}
	if rng.IntN(20) == 0 {
		r.Tasks = 40
	}
	b := jobBody{Service: "billed", Repeatable: r.Repeatable, TimeoutMS: timeouts[rng.IntN(len(timeouts))].Milliseconds(),
		MemoryMB: 10}
	if r.Repeatable {
		b.Service = "quick"
	}
	if rng.Float64() < neverFitsShare {
		b.MemoryMB = 10 * targetMemoryMB
	}
	if rng.IntN(2) == 0 {
		b.AcknowledgedBelow = seq
	}
	for i := range r.Tasks {
		p := payload{RunMS: 5 + int64(rng.ExpFloat64()*30), Result: mark(r.ID, i), Mark: mark(r.ID, i)}
		if i == 0 && rng.Float64() < failShare {
			p.Fail, r.Fails = true, true
		}
		b.Tasks = append(b.Tasks, taskBody{Payload: encode(p), DeclaredMS: 30})
	}
	r.body = b
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
	return r, b
}

// job submits one job, some of them several times at once, and waits for the
// answers to all copies.
func (l *load) job(rng *rand.Rand, session string, seq uint64) *record {
	r, b := l.plan(rng, session, seq)
	limit := time.Duration(b.TimeoutMS)*time.Millisecond + grace
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	copies := 1
	if rng.Float64() < duplicateShare {
		copies += 1 + rng.IntN(3)
	}
	var wg sync.WaitGroup
	for i := range copies {
		own := rand.New(rand.NewPCG(rng.Uint64(), uint64(i)))
		delay := time.Duration(i) * time.Duration(rng.Int64N(int64(200*time.Millisecond)))
		wg.Go(func() {
			sleep(ctx, delay)
			l.submit(ctx, own, r, b)
		})
	}
	if rng.Float64() < cancelShare {
		e, delay := l.entry(rng), time.Duration(rng.Int64N(int64(100*time.Millisecond)))
		wg.Go(func() {
			sleep(ctx, delay)
			l.take(r, e, func() (observed, error) { return l.api.cancel(ctx, e.url(), session, seq) })
		})
	}
	wg.Wait()
	if rng.Float64() < lateShare {
		l.submit(ctx, rng, r, b)
	}
	return r
}

// submit repeats one copy at random instances until one answers.
func (l *load) submit(ctx context.Context, rng *rand.Rand, r *record, b jobBody) {
	for ctx.Err() == nil {
		e := l.entry(rng)
		if l.take(r, e, func() (observed, error) { return l.api.put(ctx, e.url(), r.Session, r.Seq, b) }) {
			return
		}
		sleep(ctx, retryWait)
	}
}

// take records the outcome of one request. It returns false where the request
// should be repeated.
func (l *load) take(r *record, e *entry, request func() (observed, error)) bool {
	began := time.Now()
	o, err := request()
	if err != nil {
		r.noAnswer(e.spec.Name, err)
	}
	var rejected *rejectedError
	cut := err != nil && !errors.As(err, &rejected) && !errors.Is(err, context.DeadlineExceeded)
	if after := time.Since(began); cut && after > inFlightAfter && e.draining.Load() {
		l.stops.interrupt(e.spec.Name, err, after)
	}
	if errors.As(err, &rejected) {
		if rejected.status >= http.StatusInternalServerError || rejected.status == http.StatusTooManyRequests {
			return false
		}
		r.reject(e.spec.Name + ": " + err.Error())
		return true
	}
	if err != nil {
		return false
	}
	o.Instance = e.spec.Name
	r.add(o)
	return true
}

// settle asks once more for the jobs that have no answer that says what
// happened. It runs when all failures are undone.
func (l *load) settle(seed uint64) {
	var wg sync.WaitGroup
	todo := make(chan *record)
	for w := range uint64(workers) {
		rng := rand.New(rand.NewPCG(seed, 1000+w))
		wg.Go(func() {
			for r := range todo {
				l.ask(rng, r)
			}
		})
	}
	for _, r := range l.records {
		if s := r.outcome(); s == "" || s == stateUnknown {
			todo <- r
		}
	}
	close(todo)
	wg.Wait()
}

// ask submits a job without any answer again under its own id, because its
// request may never have arrived, and asks for the answer of the others.
func (l *load) ask(rng *rand.Rand, r *record) {
	for range collectTries {
		e := l.entry(rng)
		ctx, cancel := context.WithTimeout(context.Background(), longestTimeout+grace)
		done := false
		if r.outcome() == "" {
			done = l.take(r, e, func() (observed, error) { return l.api.put(ctx, e.url(), r.Session, r.Seq, r.body) })
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

func (l *load) collect(ctx context.Context, e *entry, r *record) bool {
	o, final, err := l.api.collect(ctx, e.url(), r.Session, r.Seq, collectWait)
	if err != nil || !final {
		return false
	}
	o.Instance = e.spec.Name
	r.add(o)
	return true
}
