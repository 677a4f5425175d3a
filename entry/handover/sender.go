// Package handover moves the sessions of a draining instance to one named
// successor, and the answers that become final afterwards.
package handover

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/twitchtv/twirp"
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
	// aloneLimit bounds the wait for a first successor.
	aloneLimit = 10 * time.Second
	// deadAfter is how long a successor may refuse connections before its
	// sessions count as ended.
	deadAfter = 30 * time.Second
)

var (
	errNone   = errors.New("no successor is known")
	errGiveUp = errors.New("the successor has ended, or none is left")
)

// Config holds the dependencies of a Sender.
type Config struct {
	Log     *zap.Logger
	Metrics *metrics.Metrics
	Peers   *peers.Registry
}

// Sender sends records and answers to the successor. Once a message may have
// reached a successor it retries towards this one only, because a second one
// could give a session two homes.
type Sender struct {
	cfg  Config
	self membership.Identity

	// address and name are those of the successor. They are set before
	// accepted is closed and do not change afterwards.
	address     string
	name        string
	incarnation uint64

	mu      sync.Mutex
	records []dispatch.SessionRecord
	answers []dispatch.FinalAnswer
	sending bool
	wake    chan struct{}
	// accepted is closed when the successor holds all records.
	accepted chan struct{}
	// none is closed where there is no successor.
	none chan struct{}
}

// New returns a Sender that has nothing to move.
func New(cfg Config) *Sender {
	m := &Sender{
		cfg:      cfg,
		wake:     make(chan struct{}, 1),
		accepted: make(chan struct{}),
		none:     make(chan struct{}),
	}
	cfg.Peers.WithRoster(func(r *membership.Roster) { m.self = r.Self() })
	return m
}

// AddRecords takes session records for the successor. It does not block.
func (m *Sender) AddRecords(records []dispatch.SessionRecord) {
	m.mu.Lock()
	m.records = append(m.records, records...)
	m.mu.Unlock()
}

// AddAnswers takes answers for the successor. It does not block.
func (m *Sender) AddAnswers(answers []dispatch.FinalAnswer) {
	m.mu.Lock()
	m.answers = append(m.answers, answers...)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Successor implements routing.Mover.
func (m *Sender) Successor(ctx context.Context) (string, bool) {
	select {
	case <-m.accepted:
		return m.address, true
	case <-m.none:
		return "", false
	case <-ctx.Done():
		return "", false
	}
}

// SetNoSuccessor records that the sessions end with this instance.
func (m *Sender) SetNoSuccessor() { close(m.none) }

// Run moves everything to a successor until ctx ends. All records must have
// been taken before.
func (m *Sender) Run(ctx context.Context) {
	if !m.moveRecords(ctx) {
		return
	}
	m.cfg.Peers.WithRoster(func(r *membership.Roster) { r.RecordOwnHandover(time.Now(), m.address) })
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

// AllDelivered reports whether all answers taken so far are delivered.
func (m *Sender) AllDelivered() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.answers) == 0 && !m.sending
}

// moveRecords hands all records over. It returns false where ctx has ended or
// no successor is left.
func (m *Sender) moveRecords(ctx context.Context) bool {
	m.mu.Lock()
	all := convert.ToSessionRecords(m.records)
	m.records = nil
	m.mu.Unlock()
	parts := chunks(all)
	if len(parts) == 0 {
		// The successor is told of the incarnation all the same.
		parts = [][]*wire.SessionRecord{nil}
	}
	if !m.first(ctx, parts[0]) {
		return false
	}
	for _, part := range parts[1:] {
		if !m.retry(ctx, func(ctx context.Context) error { return m.sendRest(ctx, part) }) {
			return false
		}
	}
	m.cfg.Log.Info("The sessions are handed over.", zap.Int("sessions", len(all)), zap.String("successor", m.address))
	return true
}

// first chooses the successor and sends it the first part. A successor that
// certainly took nothing is replaced by another one.
func (m *Sender) first(ctx context.Context, part []*wire.SessionRecord) bool {
	chosen, alone := false, time.Now().Add(aloneLimit)
	return m.retry(ctx, func(ctx context.Context) error {
		if !chosen {
			m.cfg.Peers.WithRoster(func(r *membership.Roster) {
				p, ok := r.Successor(time.Now())
				m.address, m.name = p.Address, p.Name
				if !ok {
					m.address = ""
				}
			})
		}
		if m.address == "" {
			if time.Now().After(alone) {
				close(m.none)
				return errGiveUp
			}
			return errNone
		}
		err := m.send(ctx, part)
		refused := errors.Is(err, syscall.ECONNREFUSED)
		if refused {
			m.cfg.Peers.WithRoster(func(r *membership.Roster) { r.RecordFailure(time.Now(), m.name, true) })
		}
		switch {
		case drains(err):
			// It holds none of the sessions and takes nothing any more, so that
			// an earlier message without a reply had no effect either.
			chosen = false
		case err != nil && !refused:
			chosen = true
		}
		return err
	})
}

// drains says whether a successor has certainly taken nothing, and never will,
// because it drains itself.
func drains(err error) bool {
	var twerr twirp.Error
	return errors.As(err, &twerr) && twerr.Code() == twirp.FailedPrecondition
}

// sendRest sends a later part. A successor that drains meanwhile ends the
// sessions of the part, since the others have moved there already.
func (m *Sender) sendRest(ctx context.Context, part []*wire.SessionRecord) error {
	err := m.send(ctx, part)
	if drains(err) {
		m.cfg.Log.Warn("Sessions end because the successor drains.", zap.Int("sessions", len(part)),
			zap.String("successor", m.address))
		return nil
	}
	return err
}

func (m *Sender) send(ctx context.Context, part []*wire.SessionRecord) error {
	req := &wire.HandoverRequest{Incarnation: m.self.Incarnation, From: m.self.Name, Sessions: part}
	reply, err := m.cfg.Peers.Client(m.address).Handover(ctx, req)
	if err == nil {
		m.incarnation = reply.GetIncarnation()
		m.cfg.Metrics.HandedOverSessions.Inc(int64(len(part)))
	}
	return err
}

// deliver sends the answers taken so far and reports whether there were any.
func (m *Sender) deliver(ctx context.Context) bool {
	m.mu.Lock()
	answers := m.answers
	m.answers, m.sending = nil, len(answers) > 0
	m.mu.Unlock()
	if len(answers) == 0 {
		return false
	}
	for _, chunk := range chunks(convert.ToDeliveredAnswers(answers)) {
		m.deliverChunk(ctx, chunk)
	}
	m.mu.Lock()
	m.sending = false
	m.mu.Unlock()
	return ctx.Err() == nil
}

// deliverChunk gives up where the successor has ended, because the sessions
// ended with it.
func (m *Sender) deliverChunk(ctx context.Context, chunk []*wire.DeliveredAnswer) {
	client := m.cfg.Peers.Client(m.address)
	var refusedSince time.Time
	m.retry(ctx, func(ctx context.Context) error {
		_, err := client.Deliver(ctx, &wire.DeliverRequest{Answers: chunk, Incarnation: m.incarnation})
		var twerr twirp.Error
		ended := errors.As(err, &twerr) && twerr.Code() == twirp.NotFound
		switch {
		case !errors.Is(err, syscall.ECONNREFUSED):
			refusedSince = time.Time{}
		case refusedSince.IsZero():
			refusedSince = time.Now()
		case time.Since(refusedSince) > deadAfter:
			ended = true
		}
		if ended {
			return errors.Join(errGiveUp, err)
		}
		return err
	})
}

// retry calls fn until it succeeds, gives up or ctx ends.
func (m *Sender) retry(ctx context.Context, fn func(context.Context) error) bool {
	for try := 1; ; try++ {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := fn(callCtx)
		cancel()
		if err == nil {
			return true
		}
		// Only every doubling is logged: a successor may be away for minutes.
		if try&(try-1) == 0 {
			m.cfg.Log.Warn("A message to the successor failed.", zap.String("successor", m.name), zap.Int("try", try), zap.Error(err))
		}
		if errors.Is(err, errGiveUp) {
			return false
		}
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
