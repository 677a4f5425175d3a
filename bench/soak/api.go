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

// api calls the HTTP API for callers directly. The caller library cannot be used
// here, because it does not expose what this run tests: the submission of the
// same job to several instances.
type api struct {
	hc    *http.Client
	token string
}

func newAPI(token string) *api {
	return &api{hc: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}}, token: token}
}

type jobRequest struct {
	Service           string        `json:"service"`
	Repeatable        bool          `json:"repeatable"`
	TimeoutMS         int64         `json:"timeout_ms"`
	AcknowledgedBelow uint64        `json:"acknowledged_below"`
	MemoryMB          int64         `json:"memory_mb"`
	Tasks             []taskRequest `json:"tasks"`
}

type taskRequest struct {
	Payload    []byte `json:"payload"`
	DeclaredMS int64  `json:"declared_ms,omitempty"`
}

// taskPayload is the payload of a task as the stand-in target decodes it.
type taskPayload struct {
	RunMS  int64  `json:"run_ms"`
	Fail   bool   `json:"fail,omitempty"`
	Result string `json:"result"`
	Mark   string `json:"mark"`
}

// rejectedError reports an HTTP status of 300 or above.
type rejectedError struct {
	status int
	body   string
}

func (e *rejectedError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.body) }

func (a *api) openSession(ctx context.Context, base, caller string) (string, error) {
	var reply struct {
		Session string `json:"session"`
	}
	_, err := a.call(ctx, http.MethodPost, base+"/v1/sessions", map[string]string{"caller": caller}, &reply)
	return reply.Session, err
}

func jobURL(base, session string, seq uint64) string {
	return fmt.Sprintf("%s/v1/sessions/%s/jobs/%d", base, url.PathEscape(session), seq)
}

func (a *api) submitJob(ctx context.Context, base, session string, seq uint64, req jobRequest) (jobAnswer, error) {
	var answer jobAnswer
	_, err := a.call(ctx, http.MethodPut, jobURL(base, session, seq), req, &answer)
	return answer, err
}

func (a *api) cancelJob(ctx context.Context, base, session string, seq uint64) (jobAnswer, error) {
	var answer jobAnswer
	_, err := a.call(ctx, http.MethodDelete, jobURL(base, session, seq), nil, &answer)
	return answer, err
}

// collectAnswer requests the answer of a submitted job and waits for it up to
// wait. It returns false if the job is still running.
func (a *api) collectAnswer(ctx context.Context, base, session string, seq uint64, wait time.Duration) (jobAnswer, bool, error) {
	var answer jobAnswer
	u := fmt.Sprintf("%s?wait_ms=%d", jobURL(base, session, seq), wait.Milliseconds())
	status, err := a.call(ctx, http.MethodGet, u, nil, &answer)
	return answer, status == http.StatusOK, err
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
