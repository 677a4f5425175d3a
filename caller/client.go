package caller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync/atomic"

	"marigoldfront.dev/core/answer"
)

// Client opens sessions of one caller. It is safe for concurrent use.
type Client struct {
	cfg  Config
	next atomic.Uint64
}

// New returns a client. The error lists all invalid fields of cfg.
func New(cfg Config) (*Client, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	return &Client{cfg: cfg.withDefaults()}, nil
}

// Open opens a session at one of the instances. Each call starts with the next
// base URL. It returns a *Rejected error if the token is wrong and a *NoAnswer
// error if no instance can open a session.
func (c *Client) Open(ctx context.Context) (*Session, error) {
	body, err := json.Marshal(openMessage{Caller: c.cfg.Caller})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.RequestTimeout)
	defer cancel()
	first := int(c.next.Add(1)-1) % len(c.cfg.Bases)
	rep, base, err := c.send(ctx, first, request{
		name: "open", method: http.MethodPost, path: "/v1/sessions", body: body, authorize: true,
		accept: func(r reply) bool { return r.status == http.StatusCreated },
	})
	if err != nil {
		return nil, err
	}
	var m sessionMessage
	if err := json.Unmarshal(rep.body, &m); err != nil {
		return nil, err
	}
	return newSession(c, m.Session, 1, m.Window, base), nil
}

// Attach returns a session that was opened before, for example by another
// process. next is the first sequence number to assign; it and all higher
// numbers must be unused. Attach sends no request.
func (c *Client) Attach(token string, next uint64) *Session {
	return newSession(c, token, max(next, 1), defaultWindowSize, 0)
}

// retryable reports whether the request should be repeated at another instance:
// the instance failed, cannot open sessions now, or could not reach the home
// instance of the session.
func retryable(r reply) bool {
	if r.status >= http.StatusInternalServerError {
		return true
	}
	var m answerMessage
	if r.status != http.StatusOK || json.Unmarshal(r.body, &m) != nil {
		return false
	}
	return m.State == "unknown" && m.Code == answer.CodeHomeUnreachable
}

var errNotSent = errors.New("no request was sent before the deadline")
