// Package notices sends short notices to all other instances, through the store: the
// crashes of targets, and the cancellations of jobs that another instance has
// received. A job may be sent again to another instance, or run at another owner,
// while the owner that saw targets crash under it has ended.
package notices

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

// Prefix is the prefix of the keys with notices.
const Prefix = "marigoldfront/notices/"

const (
	// retention is how long notices stay in the store. Callers send a job again within
	// seconds.
	retention = 2 * time.Minute
	// leaseUse is how long notices are written under the same lease.
	leaseUse = 30 * time.Second
	// gatherTime is the wait for further notices that have the same cause.
	gatherTime = 10 * time.Millisecond
	// writeInterval is the least time between two writes.
	writeInterval = 200 * time.Millisecond
	// callTimeout bounds a call to the store.
	callTimeout = 800 * time.Millisecond
	// queueSize bounds the notices that wait for a write, for example while the store
	// is down. Further ones are dropped.
	queueSize = 1024
	// maxWritten bounds the notices in one value.
	maxWritten = 256
)

// batch is the value of a key.
type batch struct {
	// Sender is the incarnation of the instance that sends the notices.
	Sender  uint64   `json:"sender,string"`
	Notices []notice `json:"notices"`
}

// notice holds one of its fields.
type notice struct {
	Crash *crash `json:"crash,omitempty"`
	// Cancel is the ID of a job.
	Cancel string `json:"cancel,omitempty"`
	// written, if not nil, is closed once the notice is in the store.
	written chan struct{}
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

// Broadcaster writes the notices of this instance to the store, and passes on those of
// other instances. Its methods may be called from several goroutines.
type Broadcaster struct {
	log         *zap.Logger
	store       port.Store
	name        string
	incarnation uint64
	clock       func() time.Time
	post        func(scheduler.Event)
	cancelJob   func(job string)
	queue       chan notice
	ctx         context.Context
	cancel      context.CancelFunc
	done        chan struct{}

	// Only the goroutine of Run uses the fields below. lease was granted at
	// grantedAt. written counts the writes.
	lease     int64
	grantedAt time.Time
	written   int
}

// New returns a Broadcaster of the instance with the name and incarnation; Run starts it.
// The crashes that other instances have found are passed to post, and the jobs that
// they cancel to cancelJob.
func New(log *zap.Logger, store port.Store, name string, incarnation uint64, clock func() time.Time,
	post func(scheduler.Event), cancelJob func(job string)) *Broadcaster {
	ctx, cancel := context.WithCancel(context.Background())
	return &Broadcaster{
		log: log, store: store, name: name, incarnation: incarnation, clock: clock, post: post, cancelJob: cancelJob,
		queue: make(chan notice, queueSize), ctx: ctx, cancel: cancel, done: make(chan struct{}),
	}
}

// ReportCrash queues a crash for the other instances. It does not block.
func (b *Broadcaster) ReportCrash(c scheduler.Crash) {
	out := &crash{Target: c.Target, Incarnation: c.Incarnation, State: c.State.String()}
	for _, t := range c.Tasks {
		out.Tasks = append(out.Tasks, task(t))
	}
	b.send(notice{Crash: out})
}

// CancelJob queues the cancellation of a job that another instance may have received.
// It does not block. The channel is closed once the cancellation is in the store.
func (b *Broadcaster) CancelJob(job string) <-chan struct{} {
	written := make(chan struct{})
	b.send(notice{Cancel: job, written: written})
	return written
}

func (b *Broadcaster) send(n notice) {
	select {
	case b.queue <- n:
	default:
		b.log.Warn("A notice is dropped, too many wait.")
	}
}

// Run writes notices until Close.
func (b *Broadcaster) Run() {
	defer close(b.done)
	var pending []notice
	for {
		if len(pending) == 0 {
			select {
			case n := <-b.queue:
				pending = append(pending, n)
			case <-b.ctx.Done():
				return
			}
			b.pause(gatherTime)
		}
		pending = b.gather(pending)
		if err := b.write(pending); err != nil {
			b.log.Info("Notices were not written.", zap.Int("notices", len(pending)), zap.Error(err))
		} else {
			b.confirm(pending)
			pending = nil
		}
		if !b.pause(writeInterval) {
			return
		}
	}
}

// gather appends the queued notices, up to maxWritten in all.
func (b *Broadcaster) gather(pending []notice) []notice {
	for len(pending) < maxWritten {
		select {
		case n := <-b.queue:
			pending = append(pending, n)
		default:
			return pending
		}
	}
	return pending
}

// pause waits for d. It returns false after Close.
func (b *Broadcaster) pause(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-b.ctx.Done():
		return false
	}
}

// errRefused is returned if the store refuses a transaction without preconditions.
var errRefused = errors.New("the store has refused the notices")

// write writes notices. Each attempt has a key of its own, because an attempt without
// an answer may still be carried out later.
func (b *Broadcaster) write(all []notice) error {
	ctx, cancel := context.WithTimeout(b.ctx, callTimeout)
	defer cancel()
	if b.lease == 0 || b.clock().Sub(b.grantedAt) > leaseUse {
		lease, err := b.store.Grant(ctx, retention)
		if err != nil {
			return err
		}
		b.lease, b.grantedAt = lease, b.clock()
	}
	value, err := json.Marshal(batch{Sender: b.incarnation, Notices: all})
	if err != nil {
		panic(err)
	}
	b.written++
	key := fmt.Sprintf("%s%s/%016x/%d", Prefix, b.name, b.incarnation, b.written)
	_, ok, _, err := b.store.Commit(ctx, port.Transaction{Puts: []port.Put{{Key: key, Value: value, Lease: b.lease}}})
	switch {
	case errors.Is(err, port.ErrLeaseNotFound):
		b.lease = 0
		return err
	case err == nil && !ok:
		return errRefused
	}
	return err
}

var states = map[string]scheduler.CrashState{
	scheduler.CrashSuspected.String():  scheduler.CrashSuspected,
	scheduler.CrashUnresolved.String(): scheduler.CrashUnresolved,
	scheduler.CrashPossible.String():   scheduler.CrashPossible,
	scheduler.CrashConfirmed.String():  scheduler.CrashConfirmed,
	scheduler.CrashRefuted.String():    scheduler.CrashRefuted,
}

// Apply passes on the notices of another instance from the store. A value that cannot
// be decoded is ignored. Notices must be applied in the order of their revisions.
func (b *Broadcaster) Apply(it port.Item) {
	if it.Deleted {
		return
	}
	var in batch
	if err := json.Unmarshal(it.Value, &in); err != nil {
		b.log.Warn("Notices cannot be decoded.", zap.String("key", strconv.Quote(it.Key)), zap.Error(err))
		return
	}
	if in.Sender == b.incarnation {
		return
	}
	for _, n := range in.Notices {
		if n.Crash != nil {
			if c, ok := n.Crash.decode(); ok {
				b.post(scheduler.CrashReported{Crash: c})
			}
		}
		if n.Cancel != "" {
			b.cancelJob(n.Cancel)
		}
	}
}

// confirm reports that the notices are in the store.
func (b *Broadcaster) confirm(all []notice) {
	for _, n := range all {
		if n.written != nil {
			close(n.written)
		}
		if n.Crash == nil {
			continue
		}
		if c, ok := n.Crash.decode(); ok {
			b.post(scheduler.CrashRecorded{Crash: c})
		}
	}
}

// decode returns the crash, and false if its state is unknown.
func (c *crash) decode() (scheduler.Crash, bool) {
	state, ok := states[c.State]
	out := scheduler.Crash{Target: c.Target, Incarnation: c.Incarnation, State: state}
	for _, t := range c.Tasks {
		out.Tasks = append(out.Tasks, scheduler.TaskID(t))
	}
	return out, ok
}

// Close stops Run and waits for its end.
func (b *Broadcaster) Close() {
	b.cancel()
	<-b.done
}
