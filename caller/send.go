package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// request is a request to the entry instances. It is sent unchanged to one
// instance after the other until one of them accepts or rejects it.
type request struct {
	name   string
	method string
	path   string
	body   []byte
	// authorize adds the caller's token to the request.
	authorize bool
	// hold is the maximum time for which the instance may delay its reply.
	hold time.Duration
	// accept reports whether a reply has a status that means success.
	accept func(reply) bool
}

type reply struct {
	status int
	body   []byte
}

// send sends req to the instances in turn, starting with the base URL at
// baseIndex, until one of them gives an accepted reply. It returns the reply and
// the index of the base URL that the next request should start with. The error
// is *Rejected or *NoAnswer.
func (c *Client) send(ctx context.Context, baseIndex int, req request) (reply, int, error) {
	ctx, span := c.cfg.Tracer.Start(ctx, "caller."+req.name, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	last, backoff := errNotSent, firstBackoff
	var homeUnreachable *reply
	sends, unreachableCount := 0, 0
	for sends < maxAttempts && unreachableCount < max(2, len(c.cfg.Bases)) && ctx.Err() == nil {
		sends++
		rep, err := c.sendOnce(ctx, baseIndex, req)
		switch {
		case err == nil && req.accept(rep) && !retryable(rep):
			return rep, baseIndex, nil
		case err == nil && !retryable(rep):
			return reply{}, baseIndex, decodeRejection(rep.status, rep.body)
		case err == nil && rep.status == http.StatusOK:
			// The home instance may be reachable from another instance. If it
			// is not, this answer is returned.
			homeUnreachable, unreachableCount = &rep, unreachableCount+1
		case err == nil:
			last = decodeRejection(rep.status, rep.body)
		default:
			last = err
		}
		baseIndex = (baseIndex + 1) % len(c.cfg.Bases)
		sleep(ctx, rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
	if homeUnreachable != nil {
		return *homeUnreachable, baseIndex, nil
	}
	return reply{}, baseIndex, &NoAnswer{Sends: sends, Last: last}
}

func (c *Client) sendOnce(ctx context.Context, baseIndex int, req request) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, req.hold+replyGrace)
	defer cancel()
	url := strings.TrimSuffix(c.cfg.Bases[baseIndex], "/") + req.path
	r, err := http.NewRequestWithContext(ctx, req.method, url, bytes.NewReader(req.body))
	if err != nil {
		return reply{}, err
	}
	c.setHeaders(ctx, r, req)
	w, err := c.cfg.HTTP.Do(r)
	if err != nil {
		return reply{}, err
	}
	defer w.Body.Close()
	body, err := io.ReadAll(io.LimitReader(w.Body, maxAnswerBytes))
	if err != nil {
		return reply{}, fmt.Errorf("read reply: %w", err)
	}
	return reply{status: w.StatusCode, body: body}, nil
}

func (c *Client) setHeaders(ctx context.Context, r *http.Request, req request) {
	if len(req.body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	if req.authorize {
		r.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(r.Header))
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
