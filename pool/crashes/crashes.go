// Package crashes shares the crashes of targets among the instances, through the
// store. A job may be sent again to another instance, or run at another owner, while
// the owner that saw targets crash under it has ended.
package crashes

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"go.uber.org/zap"

	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/pool/port"
)

// Prefix is the prefix of the keys with reports.
const Prefix = "marigoldfront/crashes/"

const (
	// retention is how long a report stays in the store. Callers send a job again
	// within seconds.
	retention = 2 * time.Minute
	// leaseUse is how long new reports are written under the same lease.
	leaseUse = 30 * time.Second
	// gatherTime is the wait for further crashes that have the same cause.
	gatherTime = 10 * time.Millisecond
	// reportInterval is the least time between two reports.
	reportInterval = 500 * time.Millisecond
	// callTimeout bounds a call to the store.
	callTimeout = 800 * time.Millisecond
	// queueSize bounds the crashes that wait for a report, for example while the
	// store is down. Further ones are not reported.
	queueSize = 1024
	// maxReported bounds the crashes in one report.
	maxReported = 256
)

// errRefused is returned if the store refuses a transaction without preconditions.
var errRefused = errors.New("the store has refused the report")

// report is the value of a key.
type report struct {
	// Reporter is the incarnation of the instance that has found the crashes.
	Reporter uint64  `json:"reporter,string"`
	Crashes  []crash `json:"crashes"`
}

type crash struct {
	Target      string `json:"target"`
	Incarnation int64  `json:"incarnation"`
	State       string `json:"state"`
	Tasks       []task `json:"tasks"`
}

type task struct {
	Job   string `json:"job"`
	Step  int    `json:"step"`
	Index int    `json:"index"`
}

// Reporter writes the crashes that this instance finds to the store, and passes on
// those of other instances. Its methods may be called from several goroutines.
type Reporter struct {
	log         *zap.Logger
	store       port.Store
	name        string
	incarnation uint64
	clock       func() time.Time
	post        func(scheduler.Event)
	queue       chan scheduler.Crash
	ctx         context.Context
	cancel      context.CancelFunc
	done        chan struct{}

	// Only the goroutine of Run uses the fields below. lease was granted at
	// grantedAt. written counts the reports.
	lease     int64
	grantedAt time.Time
	written   int
}

// New returns a Reporter of the instance with the name and incarnation; Run starts
// it. The crashes that other instances have found are passed to post.
func New(log *zap.Logger, store port.Store, name string, incarnation uint64, clock func() time.Time, post func(scheduler.Event)) *Reporter {
	ctx, cancel := context.WithCancel(context.Background())
	return &Reporter{
		log: log, store: store, name: name, incarnation: incarnation, clock: clock, post: post,
		queue: make(chan scheduler.Crash, queueSize), ctx: ctx, cancel: cancel, done: make(chan struct{}),
	}
}

// Report queues a crash for the other instances. It does not block.
func (r *Reporter) Report(c scheduler.Crash) {
	select {
	case r.queue <- c:
	default:
		r.log.Warn("A crash is not reported to other instances, too many wait.", zap.String("target", c.Target))
	}
}

// Run writes reports until Close.
func (r *Reporter) Run() {
	defer close(r.done)
	var pending []scheduler.Crash
	for {
		if len(pending) == 0 {
			select {
			case c := <-r.queue:
				pending = append(pending, c)
			case <-r.ctx.Done():
				return
			}
			r.pause(gatherTime)
		}
		pending = r.gather(pending)
		if err := r.write(pending); err != nil {
			r.log.Info("A report of crashes was not written.", zap.Int("crashes", len(pending)), zap.Error(err))
		} else {
			pending = nil
		}
		if !r.pause(reportInterval) {
			return
		}
	}
}

// gather appends the queued crashes, up to maxReported in all.
func (r *Reporter) gather(pending []scheduler.Crash) []scheduler.Crash {
	for len(pending) < maxReported {
		select {
		case c := <-r.queue:
			pending = append(pending, c)
		default:
			return pending
		}
	}
	return pending
}

// pause waits for d. It returns false after Close.
func (r *Reporter) pause(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.ctx.Done():
		return false
	}
}

// write writes a report. Each attempt has a key of its own, because an attempt
// without an answer may still be carried out later.
func (r *Reporter) write(crashes []scheduler.Crash) error {
	ctx, cancel := context.WithTimeout(r.ctx, callTimeout)
	defer cancel()
	if r.lease == 0 || r.clock().Sub(r.grantedAt) > leaseUse {
		lease, err := r.store.Grant(ctx, retention)
		if err != nil {
			return err
		}
		r.lease, r.grantedAt = lease, r.clock()
	}
	r.written++
	key := fmt.Sprintf("%s%s/%016x/%d", Prefix, r.name, r.incarnation, r.written)
	_, ok, _, err := r.store.Commit(ctx, port.Transaction{Puts: []port.Put{{Key: key, Value: r.encode(crashes), Lease: r.lease}}})
	switch {
	case errors.Is(err, port.ErrLeaseNotFound):
		r.lease = 0
		return err
	case err == nil && !ok:
		return errRefused
	}
	return err
}

func (r *Reporter) encode(crashes []scheduler.Crash) []byte {
	out := report{Reporter: r.incarnation}
	for _, c := range crashes {
		e := crash{Target: c.Target, Incarnation: c.Incarnation, State: c.State.String()}
		for _, t := range c.Tasks {
			e.Tasks = append(e.Tasks, task(t))
		}
		out.Crashes = append(out.Crashes, e)
	}
	b, err := json.Marshal(out)
	if err != nil {
		panic(err)
	}
	return b
}

var states = map[string]scheduler.CrashState{
	scheduler.CrashPossible.String():  scheduler.CrashPossible,
	scheduler.CrashSuspected.String(): scheduler.CrashSuspected,
	scheduler.CrashConfirmed.String(): scheduler.CrashConfirmed,
	scheduler.CrashRefuted.String():   scheduler.CrashRefuted,
}

// Apply passes on the crashes of a report from the store, unless it is one of this
// instance. A report that cannot be decoded is ignored. Reports must be applied in
// the order of their revisions.
func (r *Reporter) Apply(it port.Item) {
	if it.Deleted {
		return
	}
	var in report
	if err := json.Unmarshal(it.Value, &in); err != nil {
		r.log.Warn("A report of crashes cannot be decoded.", zap.String("key", strconv.Quote(it.Key)), zap.Error(err))
		return
	}
	if in.Reporter == r.incarnation {
		return
	}
	for _, e := range in.Crashes {
		state, ok := states[e.State]
		if !ok {
			continue
		}
		c := scheduler.Crash{Target: e.Target, Incarnation: e.Incarnation, State: state}
		for _, t := range e.Tasks {
			c.Tasks = append(c.Tasks, scheduler.TaskID(t))
		}
		r.post(scheduler.CrashReported{Crash: c})
	}
}

// Close stops Run and waits for its end.
func (r *Reporter) Close() {
	r.cancel()
	<-r.done
}
