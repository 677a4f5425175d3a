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

// request is one message to the entry instances. It is sent again in the same
// form until done accepts a reply.
type request struct {
	name   string
	method string
	path   string
	body   []byte
	token  bool
	// wait is how long the instance may hold the request.
	wait time.Duration
	done func(reply) bool
}

type reply struct {
	status int
	body   []byte
}

// send tries the instances in turn, from base on, until one gives a usable
// reply. It returns the base that gave it.
func (c *Client) send(ctx context.Context, base int, req request) (reply, int, error) {
	ctx, span := c.cfg.Tracer.Start(ctx, "caller."+req.name, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	last, backoff := errNoReply, firstBackoff
	var kept *reply
	sends, unreachable := 0, 0
	for sends < maxAttempts && unreachable < max(2, len(c.cfg.Bases)) && ctx.Err() == nil {
		sends++
		rep, err := c.try(ctx, base, req)
		switch {
		case err == nil && req.done(rep) && !retryable(rep):
			return rep, base, nil
		case err == nil && !retryable(rep):
			return reply{}, base, decodeRejection(rep.status, rep.body)
		case err == nil && rep.status == http.StatusOK:
			// The home may be reachable from another instance. If it is not,
			// this answer stands.
			kept, unreachable = &rep, unreachable+1
		case err == nil:
			last = decodeRejection(rep.status, rep.body)
		default:
			last = err
		}
		base = (base + 1) % len(c.cfg.Bases)
		sleep(ctx, rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
	if kept != nil {
		return *kept, base, nil
	}
	return reply{}, base, &NoAnswer{Sends: sends, Last: last}
}

func (c *Client) try(ctx context.Context, base int, req request) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, req.wait+replyGrace)
	defer cancel()
	url := strings.TrimSuffix(c.cfg.Bases[base], "/") + req.path
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
	if req.token {
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
