package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"marigoldfront.dev/core/answer"
)

// Session is an open session. It is safe for concurrent use; submissions get
// increasing sequence numbers.
type Session struct {
	client *Client
	token  string
	window *window
	base   atomic.Int64
}

func newSession(c *Client, token string, next, size uint64, base int) *Session {
	if size == 0 {
		size = defaultWindow
	}
	s := &Session{client: c, token: token, window: newWindow(next, size)}
	s.base.Store(int64(base))
	return s
}

// Token returns the session token, with which Attach continues the session.
func (s *Session) Token() string { return s.token }

// Submit submits a job under the next sequence number and waits for its
// answer. While the connection is cut it repeats the same id at any instance,
// until 6 s past the job's timeout. It waits for a free number while 1,024
// jobs are open.
//
// A *Rejected says that the message started nothing, a *NoAnswer that the job
// may have run; with a *NoAnswer and with an unknown answer of code
// home_unreachable the number stays open, and Collect can ask for the answer
// later. The Reply carries the sequence number in every case.
func (s *Session) Submit(ctx context.Context, j Job) (Reply, error) {
	seq, below, err := s.window.take(ctx)
	if err != nil {
		return Reply{}, fmt.Errorf("all %d sequence numbers of the session are in use: %w", s.window.size, err)
	}
	body, err := encodeJob(j, below)
	if err != nil {
		s.window.settle(seq)
		return Reply{Seq: seq}, err
	}
	ctx, cancel := context.WithTimeout(ctx, j.Timeout+replyGrace)
	defer cancel()
	rep, err := s.jobRequest(ctx, seq, request{name: "submit", method: http.MethodPut, path: s.jobPath(seq), body: body, wait: j.Timeout})
	if err != nil {
		return rep, err
	}
	if done, ok := rep.Answer.(answer.Complete); ok && len(done.Results) != len(j.Tasks) {
		return Reply{Seq: seq}, fmt.Errorf("answer to job %d has %d results for %d tasks", seq, len(done.Results), len(j.Tasks))
	}
	return rep, nil
}

// Collect asks for the answer of an earlier submission and waits for it up to
// wait, in whole milliseconds. The Reply has no answer if the job still runs.
func (s *Session) Collect(ctx context.Context, seq uint64, wait time.Duration) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+s.client.cfg.RequestTimeout)
	defer cancel()
	path := fmt.Sprintf("%s?wait_ms=%d", s.jobPath(seq), wait.Milliseconds())
	return s.jobRequest(ctx, seq, request{name: "collect", method: http.MethodGet, path: path, wait: wait})
}

// Cancel ends a job that has no answer yet, and returns its final answer.
func (s *Session) Cancel(ctx context.Context, seq uint64) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, s.client.cfg.RequestTimeout)
	defer cancel()
	return s.jobRequest(ctx, seq, request{name: "cancel", method: http.MethodDelete, path: s.jobPath(seq)})
}

// Acknowledge lets the home forget all answers below a sequence number. It is
// rarely needed, because each submission acknowledges the answers before it.
func (s *Session) Acknowledge(ctx context.Context, below uint64) error {
	s.window.settleBelow(below)
	body, err := json.Marshal(acknowledgeMessage{AcknowledgedBelow: below})
	if err != nil {
		return err
	}
	return s.simple(ctx, request{name: "acknowledge", method: http.MethodPost, path: s.path() + "/acknowledge", body: body})
}

// Close closes the session. Ids of a closed session are answered unknown.
func (s *Session) Close(ctx context.Context) error {
	return s.simple(ctx, request{name: "close", method: http.MethodDelete, path: s.path()})
}

func (s *Session) simple(ctx context.Context, req request) error {
	ctx, cancel := context.WithTimeout(ctx, s.client.cfg.RequestTimeout)
	defer cancel()
	req.done = func(r reply) bool { return r.status == http.StatusNoContent || r.status == http.StatusOK }
	_, _, err := s.client.send(ctx, int(s.base.Load()), req)
	return err
}

func (s *Session) jobRequest(ctx context.Context, seq uint64, req request) (Reply, error) {
	req.done = func(r reply) bool { return r.status == http.StatusOK || r.status == http.StatusAccepted }
	raw, base, err := s.client.send(ctx, int(s.base.Load()), req)
	s.base.Store(int64(base))
	rep := Reply{Seq: seq}
	var rejected *Rejected
	if errors.As(err, &rejected) && req.method == http.MethodPut {
		s.window.settle(seq)
	}
	if err != nil || raw.status == http.StatusAccepted {
		return rep, err
	}
	return s.finish(rep, raw)
}

func (s *Session) finish(rep Reply, raw reply) (Reply, error) {
	var m answerMessage
	if err := json.Unmarshal(raw.body, &m); err != nil {
		return rep, fmt.Errorf("reply to job %d: %w", rep.Seq, err)
	}
	a, err := decodeAnswer(m)
	if err != nil {
		return rep, fmt.Errorf("reply to job %d: %w", rep.Seq, err)
	}
	if !retryable(raw) {
		s.window.settle(rep.Seq)
	}
	rep.Answer, rep.TraceID = a, m.TraceID
	return rep, nil
}

func (s *Session) path() string { return "/v1/sessions/" + s.token }

func (s *Session) jobPath(seq uint64) string { return fmt.Sprintf("%s/jobs/%d", s.path(), seq) }

// SessionLost reports whether an answer shows that the session's home is gone,
// so that further jobs need a new session.
func SessionLost(a answer.Answer) bool {
	u, ok := a.(answer.Unknown)
	if !ok {
		return false
	}
	switch u.Reason.Code {
	case answer.CodeHomeUnreachable, answer.CodeHomeReplaced, answer.CodeSessionUnknown:
		return true
	}
	return false
}
