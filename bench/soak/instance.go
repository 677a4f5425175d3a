package soak

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"marigoldfront.dev/bench/fleet"
)

const controlTimeout = 5 * time.Second

// entry is one entry instance. It is kept across restarts of the process.
type entry struct {
	// draining is set from the beginning of a planned stop until the restart.
	draining    atomic.Bool
	cluster     *cluster
	spec        fleet.EntrySpec
	lifecycleMu sync.Mutex // held by the fault that stops, pauses or starts the process
	// process is the current process.
	process atomic.Pointer[fleet.Entry]
}

// start starts the instance, adds it to the instance list as live, and records
// its incarnation.
func (e *entry) start() error {
	p, err := e.cluster.fleet.StartEntry(e.spec)
	if err != nil {
		return err
	}
	e.process.Store(p)
	return e.recordIncarnation()
}

func (e *entry) recordIncarnation() error {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	var s struct {
		Incarnation string `json:"incarnation"`
	}
	_, err := newAPI("").call(ctx, http.MethodGet, e.url()+"/v1/status", nil, &s)
	e.cluster.recordIncarnation(s.Incarnation, e.spec.Name)
	return err
}

// url returns the base URL of the current process.
func (e *entry) url() string { return e.process.Load().URL() }

// target is one stand-in target. It is kept across restarts of the process.
type target struct {
	cluster     *cluster
	spec        fleet.TargetSpec
	lifecycleMu sync.Mutex
	// process is the current process.
	process atomic.Pointer[fleet.Target]
}

// start starts the target and adds it to the instance list as live.
func (t *target) start() error {
	p, err := t.cluster.fleet.StartTarget(t.spec)
	if err != nil {
		return err
	}
	t.process.Store(p)
	return nil
}
