package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// benchmarkJobs is the number of jobs in flight: callers that wait for tens of seconds
// leave that many at an owner.
const benchmarkJobs = 2000

// newBusyScheduler returns a Scheduler with benchmarkJobs jobs, of which those that the
// targets have room for are started.
func newBusyScheduler(tb testing.TB, targets int) (*Scheduler, time.Time) {
	tb.Helper()
	now := time.Unix(1000, 0)
	s := New(Config{Lease: testLease, MaxClockDrift: testClockDrift, RemoteRackFactor: 2})
	s.policy.MinExpectedValue, s.policy.LateFactor = -1e6, 1e6
	var all []Target
	for i := range targets {
		all = append(all, testTarget(fmt.Sprintf("t%03d", i)))
	}
	s.Handle(now, TargetsChanged{Targets: all})
	for _, t := range all {
		s.Handle(now, PollReturned{Target: t.ID, Sent: now, Answered: true, Incarnation: 1, ClockMS: 1000})
	}
	for i := range benchmarkJobs {
		now = now.Add(time.Millisecond / 10)
		j := testJob(fmt.Sprintf("j%05d", i), 1)
		j.Steps[0].Estimate = time.Duration(1+i%40) * 100 * time.Millisecond
		j.Steps[0].CPU, j.Steps[0].MemoryMB = 3000, 1
		j.Stretch, j.Arrived, j.Deadline = 1000, now, now.Add(10*time.Minute)
		for _, a := range s.Handle(now, Submit{Request: RequestID(i + 1), Job: j}) {
			if a, ok := a.(Start); ok {
				s.Handle(now, StartReturned{Run: a.Run, Target: a.Target, Result: StartAccepted, ClockMS: 1000})
			}
		}
	}
	if len(s.jobs) != benchmarkJobs {
		tb.Fatalf("%d jobs are in flight, want %d", len(s.jobs), benchmarkJobs)
	}
	return s, now
}

// BenchmarkTickWithManyJobs measures a call of Handle without a change, and of NextWake,
// while many jobs are in flight.
func BenchmarkTickWithManyJobs(b *testing.B) {
	for name, targets := range map[string]int{"queued": 16, "running": 100} {
		b.Run(name, func(b *testing.B) {
			s, now := newBusyScheduler(b, targets)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				s.Handle(now, Tick{})
				s.NextWake()
			}
		})
	}
}
