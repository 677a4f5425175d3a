// Package port holds what an instance needs of a platform: a store with
// revisions and leases, targets that run tasks under a lease, and the formats
// in which the platform keeps the configuration and the list of targets.
package port

import (
	"context"
	"errors"
	"time"

	"marigoldfront.dev/core/catalog"
	"marigoldfront.dev/core/scheduler"
)

// Errors of a Store.
var (
	// ErrCompacted says that the history from a revision on is gone.
	ErrCompacted = errors.New("the store no longer has the history")
	// ErrLeaseNotFound says that a lease does not exist.
	ErrLeaseNotFound = errors.New("the lease has ended")
)

// Item is a key of the store. A deleted one has no value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// Put is a change of one key. Lease is 0 for a key that stays.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Precondition is a condition: the key has the revision; 0 means that it does not
// exist.
type Precondition struct {
	Key      string
	Revision int64
}

// Transaction is applied as a whole if all conditions hold.
type Transaction struct {
	Preconditions []Precondition
	Puts          []Put
	Deletes       []string
}

// Store is the platform's key-value store. Calls without an answer may have
// had their effect.
type Store interface {
	// Read returns all keys with the prefix and the revision of the store from
	// before the first of them was read.
	Read(ctx context.Context, prefix string) ([]Item, int64, error)
	// Watch waits for changes after a revision, and returns them with the
	// revision to go on from.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error)
	// Commit returns the revision of the change, or false and the conflicting
	// items as they are.
	Commit(ctx context.Context, c Transaction) (revision int64, ok bool, conflicts []Item, err error)
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	KeepAlive(ctx context.Context, lease int64) error
	Revoke(ctx context.Context, lease int64) error
}

// Formats decodes what the platform keeps in the store.
type Formats interface {
	// ConfigurationKey is the key of the configuration.
	ConfigurationKey() string
	// Configuration decodes it.
	Configuration(value []byte) (*catalog.Catalog, error)
	// TargetPrefix begins the keys of the targets.
	TargetPrefix() string
	// Target decodes one target. It has no fencing token.
	Target(key string, value []byte) (scheduler.Target, error)
}

// Targets sends orders to targets. A call returns by the end of ctx.
type Targets interface {
	Start(ctx context.Context, o scheduler.Start) scheduler.StartReturned
	Stop(ctx context.Context, o scheduler.Stop) scheduler.StopReturned
	Poll(ctx context.Context, o scheduler.Poll) scheduler.PollReturned
}

// Frontend answers what callers ask, in whatever protocol the platform gives them.
type Frontend interface {
	// FindQueue returns the queue of a request and the rest of its path. Configured
	// is unset as long as the instance has no configuration.
	FindQueue(host, path string) (q catalog.Queue, rest string, found, configured bool)
	// Submit returns the answer to a job, at the latest shortly after its
	// deadline. When ctx ends the job is withdrawn.
	Submit(ctx context.Context, j scheduler.Job) scheduler.Outcome
	// Cancel ends a job that this instance has accepted, and says whether it
	// knew it.
	Cancel(id string) bool
	// WaitingJobs is the number of jobs of the queue without a started task.
	WaitingJobs(queue string) int
	// Draining says that connections are to be closed after their answer.
	Draining() bool
}
