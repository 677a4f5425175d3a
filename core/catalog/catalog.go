// Package catalog holds the configuration of the queues and services that are
// served by pools of leased targets, and finds the queue of a request.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// MaxTimeout is the longest time that instances keep a job.
const MaxTimeout = 10 * time.Minute

// Catalog is one complete version of the configuration. It is immutable after
// New, so that goroutines can share it.
type Catalog struct {
	// Version increases with every change, not necessarily by 1.
	Version int64
	// Services holds the names of all services, sorted.
	Services []string
	// byHost holds the queues of each host, longest prefix first.
	byHost map[string][]Queue
}

// Queue accepts the jobs of requests whose host is Host and whose path starts
// with Prefix.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority is the priority of the queue under overload; 0 is the highest.
	// Together with the demand of the queue it decides which jobs are turned away.
	Priority int
	// MaxAttempts is the number of failed attempts of a task after which its
	// job fails.
	MaxAttempts int
	// Timeout limits the duration of a job whose caller does not say how long it
	// waits; 0 means no limit.
	Timeout time.Duration
	// Stretch and Slack define the latency objective of a job: the length of
	// its critical path times Stretch, plus Slack.
	Stretch float64
	Slack   time.Duration
}

// New returns a catalog of the queues and services. It copies both slices.
func New(version int64, queues []Queue, services []string) *Catalog {
	c := &Catalog{Version: version, Services: slices.Clone(services), byHost: map[string][]Queue{}}
	slices.Sort(c.Services)
	for _, q := range queues {
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
	}
	for _, qs := range c.byHost {
		slices.SortStableFunc(qs, func(a, b Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Find returns the queue of the host with the longest prefix that matches the
// path, and the part of the path after the prefix. ok is false if no queue
// matches.
func (c *Catalog) Find(host, path string) (q Queue, rest string, ok bool) {
	for _, q := range c.byHost[host] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
		}
	}
	return Queue{}, "", false
}

// QueueCount returns the number of queues of all hosts.
func (c *Catalog) QueueCount() int {
	n := 0
	for _, qs := range c.byHost {
		n += len(qs)
	}
	return n
}
