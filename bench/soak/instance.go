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

// entry is one entry instance over its restarts.
type entry struct {
	// draining is set from the beginning of a planned stop to the next start.
	draining atomic.Bool
	c        *cluster
	spec     fleet.EntrySpec
	busy     sync.Mutex // held by what stops, pauses or starts it
	// p is the newest process.
	p atomic.Pointer[fleet.Entry]
}

// start starts the instance and lists it as live.
func (e *entry) start() error {
	p, err := e.c.fleet.StartEntry(e.spec)
	if err != nil {
		return err
	}
	e.p.Store(p)
	return e.learnIncarnation()
}

func (e *entry) learnIncarnation() error {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	var s struct {
		Incarnation string `json:"incarnation"`
	}
	_, err := newAPI("").call(ctx, http.MethodGet, e.url()+"/v1/status", nil, &s)
	e.c.home(s.Incarnation, e.spec.Name)
	return err
}

// url returns the base URL of the newest process.
func (e *entry) url() string { return e.p.Load().URL() }

// target is one stand-in target over its restarts.
type target struct {
	c    *cluster
	spec fleet.TargetSpec
	busy sync.Mutex
	// p is the newest process.
	p atomic.Pointer[fleet.Target]
}

// start starts the target and lists it as live.
func (t *target) start() error {
	p, err := t.c.fleet.StartTarget(t.spec)
	if err != nil {
		return err
	}
	t.p.Store(p)
	return nil
}
