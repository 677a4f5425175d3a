// Package port defines the interfaces between an instance and the platform it
// runs on, in the sense of ports and adapters: a store with revisions and leases,
// targets that run tasks under a lease, the formats of the configuration and of
// the list of targets, and the frontend for the platform's client protocol.
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
	// ErrCompacted is returned by Watch if the store no longer has the changes
	// after the revision. The caller has to read all keys again.
	ErrCompacted = errors.New("the store no longer has the history")
	// ErrLeaseNotFound is returned if a lease has expired, was revoked or never
	// existed.
	ErrLeaseNotFound = errors.New("the lease does not exist")
)

// Item is a key of the store with its value and the revision of its last change.
// A deleted key has no value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// Put writes one key. The key is deleted when the lease ends; Lease is 0 for a key
// without a lease.
type Put struct {
	Key   string
	Value []byte
	Lease int64
}

// Precondition requires that a key has the revision. The revision 0 requires that
// the key does not exist.
type Precondition struct {
	Key      string
	Revision int64
}

// Transaction is a set of writes that are applied atomically, and only if all
// preconditions hold.
type Transaction struct {
	Preconditions []Precondition
	Puts          []Put
	Deletes       []string
}

// Store is the platform's key-value store. A call that returns an error may
// nevertheless have taken effect.
type Store interface {
	// Read returns all keys with the prefix, and a revision of the store from
	// before the first of them was read. A Watch after that revision misses no
	// change.
	Read(ctx context.Context, prefix string) ([]Item, int64, error)
	// Watch returns the changes after a revision, and the revision from which to
	// continue. Without changes, it returns none after the wait.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error)
	// Commit applies a transaction and returns its revision. If a precondition
	// does not hold, it returns false and the current state of the conflicting
	// keys.
	Commit(ctx context.Context, tx Transaction) (revision int64, ok bool, conflicts []Item, err error)
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
	// KeepAlive renews a lease. It returns ErrLeaseNotFound if the lease does not
	// exist.
	KeepAlive(ctx context.Context, lease int64) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease int64) error
}

// Formats decodes the platform's data in the store.
type Formats interface {
	// OperatorPrefix returns the common prefix of the keys that operators write.
	OperatorPrefix() string
	// ConfigurationKey returns the key of the configuration.
	ConfigurationKey() string
	// EvacuatedZone returns the availability zone that is evacuated while the key
	// exists, whatever its value is. It returns false for other keys.
	EvacuatedZone(key string) (zone string, ok bool)
	// Configuration decodes the configuration.
	Configuration(value []byte) (*catalog.Catalog, error)
	// TargetPrefix returns the prefix of the keys of the targets.
	TargetPrefix() string
	// Target decodes the entry of a target. The result has no fencing token.
	Target(key string, value []byte) (scheduler.Target, error)
}

// Targets sends requests to targets. Each call returns at the latest when ctx
// ends, and reports a missing reply in its result.
type Targets interface {
	Start(ctx context.Context, a scheduler.Start) scheduler.StartReturned
	Stop(ctx context.Context, a scheduler.Stop) scheduler.StopReturned
	Poll(ctx context.Context, a scheduler.Poll) scheduler.PollReturned
	// OnConnectionLost sets the function that is called with the address of a target
	// that has closed or reset a connection.
	OnConnectionLost(fn func(address string))
}

// CancelResult is the result of a cancellation.
type CancelResult int

// The results of a cancellation.
const (
	// CancelledHere means that the job was in flight at this instance.
	CancelledHere CancelResult = iota
	// CancelledElsewhere means that the job was not, and that all other instances learn
	// of the cancellation.
	CancelledElsewhere
	// CancelFailed means that another instance may still start the job.
	CancelFailed
)

// Frontend processes the requests of callers. It does not depend on the protocol
// in which the platform receives them.
type Frontend interface {
	// FindQueue returns the queue for the host and path of a request, and the
	// rest of the path. The result configured is false while the instance has no
	// configuration.
	FindQueue(host, path string) (q catalog.Queue, rest string, found, configured bool)
	// Submit runs a job and returns its outcome, at the latest shortly after the
	// job's deadline. When ctx ends, the call returns, and the job is withdrawn
	// if no other call waits for it.
	Submit(ctx context.Context, j scheduler.Job) scheduler.Outcome
	// Cancel cancels a job. It returns once no instance starts the job from then on,
	// apart from the time that it takes to pass on the cancellation.
	Cancel(ctx context.Context, id string) CancelResult
	// MayHaveRun reports whether the job is in flight at this instance, or an earlier
	// submission of it is known to have run, or may have. A refusal must then not say
	// that the job was not accepted.
	MayHaveRun(id string) bool
	// WaitingJobs returns the number of jobs of the queue without a started task.
	WaitingJobs(queue string) int
	// Draining reports whether the instance shuts down. Connections must then be
	// closed after their response.
	Draining() bool
}
