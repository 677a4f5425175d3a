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

// Session is an open session. It is safe for concurrent use. Submissions have
// increasing sequence numbers.
type Session struct {
	client *Client
	token  string
	window *window
	// baseIndex is the index of the base URL to which the next request is sent
	// first.
	baseIndex atomic.Int64
}

func newSession(c *Client, token string, next, size uint64, baseIndex int) *Session {
	if size == 0 {
		size = defaultWindowSize
	}
	s := &Session{client: c, token: token, window: newWindow(next, size)}
	s.baseIndex.Store(int64(baseIndex))
	return s
}

// Token returns the session token. Client.Attach uses it to continue the
// session.
func (s *Session) Token() string { return s.token }

// Submit submits a job under the next sequence number and waits for its
// answer. If the connection is lost, it repeats the request with the same
// sequence number at any instance, until 6 s after the job's timeout. It first
// waits for a free sequence number while the window of unanswered jobs
// (normally 1,024) is full.
//
// A *Rejected error means that the request started no task, and a *NoAnswer
// error that the job may have run. After a *NoAnswer error or an unknown answer
// with the code home_unreachable, the sequence number stays unanswered, and
// Collect can request the answer later. If a sequence number was assigned, the
// Reply holds it even if Submit returns an error.
func (s *Session) Submit(ctx context.Context, j Job) (Reply, error) {
	seq, below, err := s.window.reserve(ctx)
	if err != nil {
		return Reply{}, fmt.Errorf("all %d sequence numbers of the session are in use: %w", s.window.size, err)
	}
	body, err := encodeJob(j, below)
	if err != nil {
		s.window.markAnswered(seq)
		return Reply{Seq: seq}, err
	}
	ctx, cancel := context.WithTimeout(ctx, j.Timeout+replyGrace)
	defer cancel()
	rep, err := s.jobRequest(ctx, seq, request{name: "submit", method: http.MethodPut, path: s.jobPath(seq), body: body, hold: j.Timeout})
	if err != nil {
		return rep, err
	}
	if done, ok := rep.Answer.(answer.Complete); ok && len(done.Results) != len(j.Tasks) {
		return Reply{Seq: seq}, fmt.Errorf("answer to job %d has %d results for %d tasks", seq, len(done.Results), len(j.Tasks))
	}
	return rep, nil
}

// Collect requests the answer to an earlier submission. It waits for the answer
// for up to wait, which is sent in whole milliseconds. If the job is still
// running after that, Reply.Answer is nil.
func (s *Session) Collect(ctx context.Context, seq uint64, wait time.Duration) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+s.client.cfg.RequestTimeout)
	defer cancel()
	path := fmt.Sprintf("%s?wait_ms=%d", s.jobPath(seq), wait.Milliseconds())
	return s.jobRequest(ctx, seq, request{name: "collect", method: http.MethodGet, path: path, hold: wait})
}

// Cancel cancels a job that has no answer yet, and returns its final answer.
func (s *Session) Cancel(ctx context.Context, seq uint64) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, s.client.cfg.RequestTimeout)
	defer cancel()
	return s.jobRequest(ctx, seq, request{name: "cancel", method: http.MethodDelete, path: s.jobPath(seq)})
}

// Acknowledge allows the home instance to discard all answers with sequence
// numbers less than below. It is rarely needed, because each submission
// acknowledges the answers up to the first unanswered job.
func (s *Session) Acknowledge(ctx context.Context, below uint64) error {
	s.window.markAnsweredBelow(below)
	body, err := json.Marshal(acknowledgeMessage{AcknowledgedBelow: below})
	if err != nil {
		return err
	}
	return s.sendControl(ctx, request{name: "acknowledge", method: http.MethodPost, path: s.path() + "/acknowledge", body: body})
}

// Close closes the session. After that, requests for its jobs get an unknown
// answer.
func (s *Session) Close(ctx context.Context) error {
	return s.sendControl(ctx, request{name: "close", method: http.MethodDelete, path: s.path()})
}

// sendControl sends a request whose reply has no content of interest.
func (s *Session) sendControl(ctx context.Context, req request) error {
	ctx, cancel := context.WithTimeout(ctx, s.client.cfg.RequestTimeout)
	defer cancel()
	req.accept = func(r reply) bool { return r.status == http.StatusNoContent || r.status == http.StatusOK }
	_, _, err := s.client.send(ctx, int(s.baseIndex.Load()), req)
	return err
}

func (s *Session) jobRequest(ctx context.Context, seq uint64, req request) (Reply, error) {
	req.accept = func(r reply) bool { return r.status == http.StatusOK || r.status == http.StatusAccepted }
	raw, baseIndex, err := s.client.send(ctx, int(s.baseIndex.Load()), req)
	s.baseIndex.Store(int64(baseIndex))
	rep := Reply{Seq: seq}
	var rejected *Rejected
	if errors.As(err, &rejected) && req.method == http.MethodPut {
		s.window.markAnswered(seq)
	}
	if err != nil || raw.status == http.StatusAccepted {
		return rep, err
	}
	return s.decodeReply(rep, raw)
}

func (s *Session) decodeReply(rep Reply, raw reply) (Reply, error) {
	var m answerMessage
	if err := json.Unmarshal(raw.body, &m); err != nil {
		return rep, fmt.Errorf("reply to job %d: %w", rep.Seq, err)
	}
	a, err := decodeAnswer(m)
	if err != nil {
		return rep, fmt.Errorf("reply to job %d: %w", rep.Seq, err)
	}
	if !retryable(raw) {
		s.window.markAnswered(rep.Seq)
	}
	rep.Answer, rep.TraceID = a, m.TraceID
	return rep, nil
}

func (s *Session) path() string { return "/v1/sessions/" + s.token }

func (s *Session) jobPath(seq uint64) string { return fmt.Sprintf("%s/jobs/%d", s.path(), seq) }

// SessionLost reports whether a shows that the session or its home instance is
// unreachable or no longer exists. Further jobs then need a new session.
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
