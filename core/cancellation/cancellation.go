// Package cancellation remembers which jobs were cancelled, for requests that arrive
// after the cancellation. The package has no I/O, clocks or goroutines.
package cancellation

import (
	"maps"
	"slices"
	"time"
)

const (
	// retention is how long a cancellation is remembered. Callers send a job again
	// within seconds, and requests may be held for as long in the network or by a
	// paused instance.
	retention = 2 * time.Minute
	// maxJobs bounds the memory of a Log to about 10 MB. The oldest entries are
	// dropped first.
	maxJobs = 50_000
)

// Log holds the IDs of cancelled jobs. It is not safe for concurrent use.
type Log struct {
	last    map[string]time.Time
	entries []entry // in the order of their times
}

type entry struct {
	job string
	at  time.Time
}

// New returns an empty Log.
func New() *Log { return &Log{last: map[string]time.Time{}} }

// Add records that a job was cancelled.
func (l *Log) Add(now time.Time, job string) {
	l.last[job] = now
	l.entries = append(l.entries, entry{job, now})
	l.expire(now)
}

// Has reports whether a job was cancelled within the retention.
func (l *Log) Has(now time.Time, job string) bool {
	l.expire(now)
	_, ok := l.last[job]
	return ok
}

// Jobs returns the IDs of the jobs, in no particular order.
func (l *Log) Jobs(now time.Time) []string {
	l.expire(now)
	return slices.Collect(maps.Keys(l.last))
}

// Len returns the number of jobs.
func (l *Log) Len() int { return len(l.last) }

func (l *Log) expire(now time.Time) {
	for len(l.entries) > 0 && (len(l.entries) > maxJobs || now.Sub(l.entries[0].at) >= retention) {
		first := l.entries[0]
		l.entries = l.entries[1:]
		if l.last[first.job].Equal(first.at) {
			delete(l.last, first.job)
		}
	}
}
