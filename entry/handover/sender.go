// Package handover transfers the sessions of a draining instance to a single
// successor, and then the answers of their jobs that become final later.
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
	// chunkBytes bounds the size of a message, unless a single record or answer
	// is larger.
	chunkBytes    = 4 << 20
	callTimeout   = 5 * time.Second
	retryInterval = 200 * time.Millisecond
	// successorTimeout bounds the search for a successor.
	successorTimeout = 10 * time.Second
	// unreachableTimeout is how long a successor may refuse connections before it
	// is assumed to have terminated, and the sessions with it.
	unreachableTimeout = 30 * time.Second
)

var (
	errNoSuccessor = errors.New("no successor is available")
	errGiveUp      = errors.New("the successor has terminated, or there is none")
)

// Config holds the dependencies of a Sender.
type Config struct {
	Log     *zap.Logger
	Metrics *metrics.Metrics
	Peers   *peers.Registry
}

// Sender sends session records and answers to the successor. Once a message may
// have reached a successor, the Sender retries only with this successor, because
// sending the records to a second one could give a session two home instances.
// Its exported methods are safe for concurrent use.
type Sender struct {
	cfg  Config
	self membership.Identity

	// The fields below describe the successor. They are set before accepted is
	// closed and do not change afterwards.
	successorAddress     string
	successorName        string
	successorIncarnation uint64

	// mu guards records, answers and sending.
	mu      sync.Mutex
	records []dispatch.SessionRecord
	answers []dispatch.FinalAnswer
	sending bool
	// answersAdded holds a token if answers were added since Run last checked.
	answersAdded chan struct{}
	// accepted is closed when the transfer of the records is complete.
	accepted chan struct{}
	// noSuccessor is closed if there is no successor.
	noSuccessor chan struct{}
}

// New returns a Sender without records and answers; Run starts it.
func New(cfg Config) *Sender {
	s := &Sender{
		cfg:          cfg,
		answersAdded: make(chan struct{}, 1),
		accepted:     make(chan struct{}),
		noSuccessor:  make(chan struct{}),
	}
	cfg.Peers.WithRoster(func(r *membership.Roster) { s.self = r.Self() })
	return s
}

// AddRecords adds session records to send. It must be called before Run and does
// not block.
func (s *Sender) AddRecords(records []dispatch.SessionRecord) {
	s.mu.Lock()
	s.records = append(s.records, records...)
	s.mu.Unlock()
}

// AddAnswers adds answers to send after the records. It does not block.
func (s *Sender) AddAnswers(answers []dispatch.FinalAnswer) {
	s.mu.Lock()
	s.answers = append(s.answers, answers...)
	s.mu.Unlock()
	select {
	case s.answersAdded <- struct{}{}:
	default:
	}
}

// Successor waits until the transfer of the records is complete and returns the
// successor's address. It returns false if there is no successor or ctx ends
// first. It implements routing.SuccessorFinder.
func (s *Sender) Successor(ctx context.Context) (string, bool) {
	select {
	case <-s.accepted:
		return s.successorAddress, true
	case <-s.noSuccessor:
		return "", false
	case <-ctx.Done():
		return "", false
	}
}

// SetNoSuccessor records that there is no successor, so that the sessions end with
// this instance. It must be called at most once, and instead of Run.
func (s *Sender) SetNoSuccessor() { close(s.noSuccessor) }

// Run sends the records and then the answers to a successor. It returns when ctx
// ends or there is no successor. All records must be added before.
func (s *Sender) Run(ctx context.Context) {
	if !s.sendRecords(ctx) {
		return
	}
	s.cfg.Peers.WithRoster(func(r *membership.Roster) { r.RecordOwnHandover(time.Now(), s.successorAddress) })
	close(s.accepted)
	for {
		for s.sendAnswers(ctx) {
		}
		select {
		case <-s.answersAdded:
		case <-ctx.Done():
			return
		}
	}
}

// AllDelivered reports whether the sending of all answers added so far has
// finished.
func (s *Sender) AllDelivered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.answers) == 0 && !s.sending
}

// sendRecords sends all records. It returns false if ctx has ended or there is
// no successor.
func (s *Sender) sendRecords(ctx context.Context) bool {
	s.mu.Lock()
	all := convert.ToSessionRecords(s.records)
	s.records = nil
	s.mu.Unlock()
	parts := splitBySize(all)
	if len(parts) == 0 {
		// An empty message still informs the successor of the incarnation whose
		// sessions it takes over.
		parts = [][]*wire.SessionRecord{nil}
	}
	if !s.sendFirst(ctx, parts[0]) {
		return false
	}
	for _, part := range parts[1:] {
		if !s.retry(ctx, func(ctx context.Context) error { return s.sendRest(ctx, part) }) {
			return false
		}
	}
	s.cfg.Log.Info("The sessions are handed over.", zap.Int("sessions", len(all)), zap.String("successor", s.successorAddress))
	return true
}

// sendFirst selects the successor and sends it the first part of the records. It
// selects another one only if the previous one has certainly accepted nothing.
func (s *Sender) sendFirst(ctx context.Context, part []*wire.SessionRecord) bool {
	pinned, deadline := false, time.Now().Add(successorTimeout)
	return s.retry(ctx, func(ctx context.Context) error {
		if !pinned {
			s.cfg.Peers.WithRoster(func(r *membership.Roster) {
				p, ok := r.Successor(time.Now())
				s.successorAddress, s.successorName = p.Address, p.Name
				if !ok {
					s.successorAddress = ""
				}
			})
		}
		if s.successorAddress == "" {
			if time.Now().After(deadline) {
				close(s.noSuccessor)
				return errGiveUp
			}
			return errNoSuccessor
		}
		err := s.send(ctx, part)
		refused := errors.Is(err, syscall.ECONNREFUSED)
		if refused {
			s.cfg.Peers.WithRoster(func(r *membership.Roster) { r.RecordFailure(time.Now(), s.successorName, true) })
		}
		switch {
		case isDraining(err):
			// A draining peer that holds none of the sessions accepts no records
			// any more, so an earlier message without a reply had no effect either.
			pinned = false
		case err != nil && !refused:
			pinned = true
		}
		return err
	})
}

// isDraining reports whether an error is the reply of a successor that is
// draining itself and holds none of the sent sessions. Such a successor does not
// accept them later either.
func isDraining(err error) bool {
	var twerr twirp.Error
	return errors.As(err, &twerr) && twerr.Code() == twirp.FailedPrecondition
}

// sendRest sends a later part of the records. If the successor has begun to drain,
// the sessions of the part end: they cannot go to another instance, because the
// successor already holds the earlier parts.
func (s *Sender) sendRest(ctx context.Context, part []*wire.SessionRecord) error {
	err := s.send(ctx, part)
	if isDraining(err) {
		s.cfg.Log.Warn("Sessions end because the successor is draining.", zap.Int("sessions", len(part)),
			zap.String("successor", s.successorAddress))
		return nil
	}
	return err
}

// send sends one part of the records and stores the successor's incarnation.
func (s *Sender) send(ctx context.Context, part []*wire.SessionRecord) error {
	req := &wire.HandoverRequest{Incarnation: s.self.Incarnation, From: s.self.Name, Sessions: part}
	reply, err := s.cfg.Peers.Client(s.successorAddress).Handover(ctx, req)
	if err == nil {
		s.successorIncarnation = reply.GetIncarnation()
		s.cfg.Metrics.HandedOverSessions.Inc(int64(len(part)))
	}
	return err
}

// sendAnswers sends the answers added so far. It returns false if there were none
// or ctx has ended.
func (s *Sender) sendAnswers(ctx context.Context) bool {
	s.mu.Lock()
	answers := s.answers
	s.answers, s.sending = nil, len(answers) > 0
	s.mu.Unlock()
	if len(answers) == 0 {
		return false
	}
	for _, chunk := range splitBySize(convert.ToDeliveredAnswers(answers)) {
		s.sendAnswerChunk(ctx, chunk)
	}
	s.mu.Lock()
	s.sending = false
	s.mu.Unlock()
	return ctx.Err() == nil
}

// sendAnswerChunk sends one message with answers. It gives up if the successor
// has terminated, because the sessions have then ended as well.
func (s *Sender) sendAnswerChunk(ctx context.Context, chunk []*wire.DeliveredAnswer) {
	client := s.cfg.Peers.Client(s.successorAddress)
	var refusedSince time.Time
	s.retry(ctx, func(ctx context.Context) error {
		_, err := client.Deliver(ctx, &wire.DeliverRequest{Answers: chunk, Incarnation: s.successorIncarnation})
		var twerr twirp.Error
		terminated := errors.As(err, &twerr) && twerr.Code() == twirp.NotFound
		switch {
		case !errors.Is(err, syscall.ECONNREFUSED):
			refusedSince = time.Time{}
		case refusedSince.IsZero():
			refusedSince = time.Now()
		case time.Since(refusedSince) > unreachableTimeout:
			terminated = true
		}
		if terminated {
			return errors.Join(errGiveUp, err)
		}
		return err
	})
}

// retry calls fn until it succeeds, it returns errGiveUp or ctx ends. It returns
// whether fn has succeeded.
func (s *Sender) retry(ctx context.Context, fn func(context.Context) error) bool {
	for attempt := 1; ; attempt++ {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := fn(callCtx)
		cancel()
		if err == nil {
			return true
		}
		// Only attempts 1, 2, 4, 8, ... are logged, because a successor can be
		// unreachable for minutes.
		if attempt&(attempt-1) == 0 {
			s.cfg.Log.Warn("Sending a message to the successor failed.", zap.String("successor", s.successorName), zap.Int("try", attempt), zap.Error(err))
		}
		if errors.Is(err, errGiveUp) {
			return false
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return false
		}
	}
}

// splitBySize splits messages into groups of at most chunkBytes. A larger message
// forms a group of its own.
func splitBySize[M proto.Message](all []M) [][]M {
	var out [][]M
	start, size := 0, 0
	for i, m := range all {
		n := proto.Size(m)
		if i > start && size+n > chunkBytes {
			out = append(out, all[start:i])
			start, size = i, 0
		}
		size += n
	}
	if start < len(all) {
		out = append(out, all[start:])
	}
	return out
}
