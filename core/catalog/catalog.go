// Package catalog holds the configuration of an entry instance whose queues
// are served by pools of leased targets.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Catalog is one whole configuration. It is not changed after New.
type Catalog struct {
	// Version rises with every change, in uneven steps.
	Version  int64
	Services []string
	byHost   map[string][]Queue
}

// Queue takes the jobs whose request has its host and begins with its prefix.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority orders queues under overload; 0 comes first.
	Priority int
	// MaxAttempts is how often a task may fail before its job fails.
	MaxAttempts int
	// Timeout bounds the time of a job; 0 means no bound.
	Timeout time.Duration
	// Stretch and Slack give the latency objective of a job: its longest chain
	// of work times Stretch, and Slack more.
	Stretch float64
	Slack   time.Duration
}

// New returns a catalog of the queues and services.
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

// Find returns the queue of the host with the longest prefix of path, and the
// rest of the path.
func (c *Catalog) Find(host, path string) (q Queue, rest string, ok bool) {
	for _, q := range c.byHost[host] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest, true
		}
	}
	return Queue{}, "", false
}

// QueueCount is the number of queues.
func (c *Catalog) QueueCount() int {
	n := 0
	for _, qs := range c.byHost {
		n += len(qs)
	}
	return n
}
