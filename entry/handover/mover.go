// Package handover moves the sessions of a draining instance to one named
// successor, and the answers that become final afterwards.
package handover

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"marigoldfront.dev/core/dispatch"
	"marigoldfront.dev/core/membership"
	"marigoldfront.dev/entry/convert"
	"marigoldfront.dev/entry/metrics"
	"marigoldfront.dev/entry/peers"
	"marigoldfront.dev/wire"
)

const (
	// chunkBytes is the size at which a message is sent.
	chunkBytes  = 4 << 20
	callTimeout = 5 * time.Second
	retryAfter  = 200 * time.Millisecond
)

// Config holds the dependencies of a Mover.
type Config struct {
	Log     *zap.Logger
	Metrics *metrics.Metrics
	Peers   *peers.Peers
}

// Mover sends records and answers to the successor. It retries towards this
// one successor only, because a second one could give a session two homes.
type Mover struct {
	cfg  Config
	self membership.Identity

	mu      sync.Mutex
	address string
	records []dispatch.SessionRecord
	answers []dispatch.FinalAnswer
	sending bool
	wake    chan struct{}
	// accepted is closed when the successor holds all records.
	accepted chan struct{}
	// none is closed where there is no successor.
	none chan struct{}
}

// New returns a Mover that has nothing to move.
func New(cfg Config) *Mover {
	m := &Mover{
		cfg:      cfg,
		wake:     make(chan struct{}, 1),
		accepted: make(chan struct{}),
		none:     make(chan struct{}),
	}
	cfg.Peers.With(func(r *membership.Roster) { m.self = r.Self() })
	return m
}

// HandOver takes session records for the successor. It does not block.
func (m *Mover) HandOver(records []dispatch.SessionRecord) {
	m.mu.Lock()
	m.records = append(m.records, records...)
	m.mu.Unlock()
}

// Deliver takes answers for the successor. It does not block.
func (m *Mover) Deliver(answers []dispatch.FinalAnswer) {
	m.mu.Lock()
	m.answers = append(m.answers, answers...)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Successor implements routing.Mover.
func (m *Mover) Successor(ctx context.Context) (string, bool) {
	select {
	case <-m.accepted:
		return m.address, true
	case <-m.none:
		return "", false
	case <-ctx.Done():
		return "", false
	}
}

// NoSuccessor says that the sessions end with this instance.
func (m *Mover) NoSuccessor() { close(m.none) }

// Run moves everything to the successor at address until ctx ends. All
// records must have been taken before.
func (m *Mover) Run(ctx context.Context, address string) {
	m.address = address
	if !m.moveRecords(ctx) {
		return
	}
	m.cfg.Peers.With(func(r *membership.Roster) { r.MoveSelf(time.Now(), address) })
	close(m.accepted)
	for {
		for m.deliver(ctx) {
		}
		select {
		case <-m.wake:
		case <-ctx.Done():
			return
		}
	}
}

// Idle says whether all answers taken so far are delivered.
func (m *Mover) Idle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.answers) == 0 && !m.sending
}

func (m *Mover) moveRecords(ctx context.Context) bool {
	m.mu.Lock()
	all := convert.ToRecords(m.records)
	m.records = nil
	m.mu.Unlock()
	client := m.cfg.Peers.Client(m.address)
	for _, chunk := range chunks(all) {
		req := &wire.HandoverRequest{Incarnation: m.self.Incarnation, From: m.self.Name, Sessions: chunk}
		ok := m.retry(ctx, "The hand-over failed and is repeated.", func(ctx context.Context) error {
			_, err := client.Handover(ctx, req)
			return err
		})
		if !ok {
			return false
		}
		m.cfg.Metrics.HandedOver.Inc(int64(len(chunk)))
	}
	m.cfg.Log.Info("The sessions are handed over.", zap.Int("sessions", len(all)), zap.String("successor", m.address))
	return true
}

// deliver sends the answers taken so far and reports whether there were any.
func (m *Mover) deliver(ctx context.Context) bool {
	m.mu.Lock()
	answers := m.answers
	m.answers, m.sending = nil, len(answers) > 0
	m.mu.Unlock()
	if len(answers) == 0 {
		return false
	}
	client := m.cfg.Peers.Client(m.address)
	for _, chunk := range chunks(convert.ToDelivered(answers)) {
		m.retry(ctx, "The delivery of answers failed and is repeated.", func(ctx context.Context) error {
			_, err := client.Deliver(ctx, &wire.DeliverRequest{Answers: chunk})
			return err
		})
	}
	m.mu.Lock()
	m.sending = false
	m.mu.Unlock()
	return ctx.Err() == nil
}

// retry calls fn until it succeeds or ctx ends.
func (m *Mover) retry(ctx context.Context, message string, fn func(context.Context) error) bool {
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := fn(callCtx)
		cancel()
		if err == nil {
			return true
		}
		m.cfg.Log.Warn(message, zap.Error(err))
		select {
		case <-time.After(retryAfter):
		case <-ctx.Done():
			return false
		}
	}
}

// chunks divides messages into groups of bounded size.
func chunks[M proto.Message](all []M) [][]M {
	var out [][]M
	from, size := 0, 0
	for i, m := range all {
		n := proto.Size(m)
		if i > from && size+n > chunkBytes {
			out = append(out, all[from:i])
			from, size = i, 0
		}
		size += n
	}
	if from < len(all) {
		out = append(out, all[from:])
	}
	return out
}
