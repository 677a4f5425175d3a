package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

const maxAnswerBytes = 64 << 20

// api calls the caller API directly. The caller library hides what this run
// tests: the same submission at several instances.
type api struct {
	hc    *http.Client
	token string
}

func newAPI(token string) *api {
	return &api{hc: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}}, token: token}
}

type jobBody struct {
	Service           string     `json:"service"`
	Repeatable        bool       `json:"repeatable"`
	TimeoutMS         int64      `json:"timeout_ms"`
	AcknowledgedBelow uint64     `json:"acknowledged_below"`
	MemoryMB          int64      `json:"memory_mb"`
	Tasks             []taskBody `json:"tasks"`
}

type taskBody struct {
	Payload    []byte `json:"payload"`
	DeclaredMS int64  `json:"declared_ms,omitempty"`
}

// payload is what the stand-in target reads.
type payload struct {
	RunMS  int64  `json:"run_ms"`
	Fail   bool   `json:"fail,omitempty"`
	Result string `json:"result"`
	Mark   string `json:"mark"`
}

// rejectedError is an HTTP status other than that of an answer.
type rejectedError struct {
	status int
	body   string
}

func (e *rejectedError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.body) }

func (a *api) open(ctx context.Context, base, caller string) (string, error) {
	var reply struct {
		Session string `json:"session"`
	}
	_, err := a.call(ctx, http.MethodPost, base+"/v1/sessions", map[string]string{"caller": caller}, &reply)
	return reply.Session, err
}

func jobURL(base, session string, seq uint64) string {
	return fmt.Sprintf("%s/v1/sessions/%s/jobs/%d", base, url.PathEscape(session), seq)
}

func (a *api) put(ctx context.Context, base, session string, seq uint64, b jobBody) (observed, error) {
	var o observed
	_, err := a.call(ctx, http.MethodPut, jobURL(base, session, seq), b, &o)
	return o, err
}

func (a *api) cancel(ctx context.Context, base, session string, seq uint64) (observed, error) {
	var o observed
	_, err := a.call(ctx, http.MethodDelete, jobURL(base, session, seq), nil, &o)
	return o, err
}

// collect returns false while the job runs.
func (a *api) collect(ctx context.Context, base, session string, seq uint64, wait time.Duration) (observed, bool, error) {
	var o observed
	u := fmt.Sprintf("%s?wait_ms=%d", jobURL(base, session, seq), wait.Milliseconds())
	status, err := a.call(ctx, http.MethodGet, u, nil, &o)
	return o, status == http.StatusOK, err
}

func (a *api) call(ctx context.Context, method, u string, in, out any) (int, error) {
	var body io.Reader = http.NoBody
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return 0, err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, u, body)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+a.token)
	resp, err := a.hc.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return 0, err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return resp.StatusCode, &rejectedError{resp.StatusCode, string(b[:min(len(b), 300)])}
	}
	return resp.StatusCode, json.Unmarshal(b, out)
}
