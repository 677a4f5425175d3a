// Package gateway implements the HTTP API for callers and the status, health and
// metrics endpoints for operators.
package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/intake"
	"marigoldfront.dev/entry/home"
	"marigoldfront.dev/entry/metrics"
	"marigoldfront.dev/entry/routing"
	infra "marigoldfront.dev/infra/intake"
	"marigoldfront.dev/infra/tracing"
	"marigoldfront.dev/wire"
)

const (
	idleTimeout = 2 * time.Minute
	// maxSubmissions bounds the submissions in flight: those that are being
	// received and those that wait for their answer.
	maxSubmissions = 8192
	// maxReceivingBytes bounds the total size of the large bodies that are received and
	// decoded concurrently.
	maxReceivingBytes = 128 << 20
	// submissionCopies is the number of times that a body is in memory until its job is
	// answered: as it was received, decoded, and as messages to targets and peers.
	submissionCopies = 4
	// maxReceiveWait bounds how long a submission waits until its body may be
	// read.
	maxReceiveWait = 5 * time.Second
)

// Config holds the dependencies of a Gateway.
type Config struct {
	Log     *zap.Logger
	Metrics *metrics.Metrics
	Tracer  *tracing.Tracer
	Router  *routing.Router
	// Directory returns the configuration in force, nil if there is none.
	Directory func() *directory.Directory
	// Draining returns whether the instance is draining.
	Draining func() bool
	// Status returns the value that GET /v1/status encodes as JSON.
	Status func() any
	// Guard bounds the connections and requests. Without it, nothing does.
	Guard *infra.Guard
}

// Gateway is the HTTP server of an entry instance.
type Gateway struct {
	cfg    Config
	server *http.Server
	// submissions holds one token for each submission in flight.
	submissions chan struct{}
	// receivingBytes counts the bytes of the large bodies that are being received.
	receivingBytes *semaphore.Weighted
	stopped        chan struct{}
	inFlight       atomic.Int64
	// lastActivity is the time at which a caller request last started or ended,
	// in Unix nanoseconds.
	lastActivity atomic.Int64
}

// New returns a Gateway; Serve starts it.
func New(cfg Config) *Gateway {
	g := &Gateway{
		cfg:            cfg,
		submissions:    make(chan struct{}, maxSubmissions),
		receivingBytes: semaphore.NewWeighted(maxReceivingBytes),
		stopped:        make(chan struct{}),
	}
	g.server = &http.Server{
		Handler:           g.handler(),
		ReadHeaderTimeout: infra.HeaderTime,
		IdleTimeout:       idleTimeout,
		ErrorLog:          zap.NewStdLog(cfg.Log),
	}
	if cfg.Guard != nil {
		cfg.Guard.Protect(g.server)
	}
	return g
}

func (g *Gateway) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/sessions", g.trackInFlight(g.openSession))
	mux.HandleFunc("PUT /v1/sessions/{session}/jobs/{seq}", g.trackInFlight(g.submit))
	mux.HandleFunc("GET /v1/sessions/{session}/jobs/{seq}", g.trackInFlight(g.collect))
	mux.HandleFunc("DELETE /v1/sessions/{session}/jobs/{seq}", g.trackInFlight(g.cancel))
	mux.HandleFunc("POST /v1/sessions/{session}/acknowledge", g.trackInFlight(g.acknowledge))
	mux.HandleFunc("DELETE /v1/sessions/{session}", g.trackInFlight(g.closeSession))
	mux.HandleFunc("GET /v1/status", g.status)
	mux.HandleFunc("GET /healthz", g.health)
	mux.HandleFunc("GET /metrics", g.metrics)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		g.writeRejection(w, home.Reject(http.StatusNotFound, "path", "there is nothing at this path and method"))
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.cfg.Draining() {
			// Makes the client close the connection, so that its next request goes
			// to another instance.
			w.Header().Set("Connection", "close")
		}
		mux.ServeHTTP(w, r)
	})
}

// trackInFlight wraps a handler to count the caller requests in flight and to
// record the time of the last activity.
func (g *Gateway) trackInFlight(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		g.inFlight.Add(1)
		g.lastActivity.Store(time.Now().UnixNano())
		defer func() {
			g.lastActivity.Store(time.Now().UnixNano())
			g.inFlight.Add(-1)
		}()
		h(w, r)
	}
}

// InFlight returns the number of caller requests in flight.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// IdleDuration returns the time since the last caller request ended, 0 while one
// is in flight.
func (g *Gateway) IdleDuration() time.Duration {
	if g.InFlight() > 0 {
		return 0
	}
	return time.Since(time.Unix(0, g.lastActivity.Load()))
}

// Serve accepts connections on the listener until Close is called.
func (g *Gateway) Serve(l net.Listener) error {
	defer close(g.stopped)
	if err := g.server.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// Close stops the server and waits for the requests in flight. If ctx ends first,
// it closes their connections and returns the error of ctx.
func (g *Gateway) Close(ctx context.Context) error {
	err := g.server.Shutdown(ctx)
	if err != nil {
		_ = g.server.Close()
	}
	<-g.stopped
	return err
}

// serve sends a request through the router and writes the reply. The name of the
// operation is used for metrics and the span.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, name string, req *wire.ForwardRequest) {
	g.cfg.Metrics.CountRequest(name)
	ctx := tracing.Extract(r.Context(), r.Header.Get(tracing.Header))
	ctx, span := g.cfg.Tracer.Start(ctx, name)
	defer span.End()
	ctx = tracing.EnsureTraceID(ctx)
	g.writeReply(ctx, w, g.cfg.Router.Serve(ctx, req))
}

func (g *Gateway) openSession(w http.ResponseWriter, r *http.Request) {
	body, rejection := readBody(w, r, maxSmallBodyBytes)
	if rejection != nil {
		g.writeRejection(w, rejection)
		return
	}
	var m struct {
		Caller string `json:"caller"`
	}
	if findings := decode(body, &m); len(findings) > 0 {
		g.writeRejection(w, home.RejectAll(http.StatusBadRequest, findings))
		return
	}
	if rejection := g.authenticate(r, m.Caller); rejection != nil {
		g.writeRejection(w, rejection)
		return
	}
	g.serve(w, r, "open", &wire.ForwardRequest{Operation: wire.Operation_OPERATION_OPEN_SESSION, Caller: m.Caller})
}

func (g *Gateway) submit(w http.ResponseWriter, r *http.Request) {
	select {
	case g.submissions <- struct{}{}:
		defer func() { <-g.submissions }()
	default:
		g.writeRejection(w, home.Reject(http.StatusServiceUnavailable, "instance", "too many submissions wait here"))
		return
	}
	received := time.Now()
	req, rejection := g.readSubmission(w, r)
	if rejection != nil {
		g.writeRejection(w, rejection)
		return
	}
	g.serve(w, r, "submit", req)
	g.cfg.Metrics.RequestSeconds.RecordDuration(time.Since(received))
}

func (g *Gateway) readSubmission(w http.ResponseWriter, r *http.Request) (*wire.ForwardRequest, *wire.ForwardReply) {
	seq, rejection := parseSequence(r)
	if rejection != nil {
		return nil, rejection
	}
	// The session token is checked before the body is read, so that clients
	// without a valid token cannot send large bodies.
	if rejection := g.cfg.Router.CheckSession(r.PathValue("session")); rejection != nil {
		return nil, rejection
	}
	size := int64(maxBodyBytes)
	if r.ContentLength >= 0 {
		size = min(size, r.ContentLength)
	}
	if !g.acquireBody(r.Context(), size) {
		return nil, home.Reject(http.StatusServiceUnavailable, "instance", "too many submissions are received here")
	}
	if size > intake.SmallRequest {
		defer g.receivingBytes.Release(size)
	}
	body, rejection := readBody(w, r, maxBodyBytes)
	if rejection != nil {
		return nil, rejection
	}
	var refused *infra.RefusedError
	if errors.As(infra.Hold(r.Context(), submissionCopies*int64(len(body))), &refused) {
		return nil, refuse(w, refused)
	}
	j, findings := decodeJob(body)
	if len(findings) > 0 {
		return nil, home.RejectAll(http.StatusBadRequest, findings)
	}
	return &wire.ForwardRequest{
		Operation: wire.Operation_OPERATION_SUBMIT, Session: r.PathValue("session"), Seq: seq,
		Submission: j.toMessage(), AcknowledgedBelow: j.AcknowledgedBelow,
	}, nil
}

// acquireBody reserves size bytes of receivingBytes for a large body. It returns
// false if they do not become available within maxReceiveWait. It waits because
// bodies are read slowly on a busy instance, and a retried submission should not
// be rejected for that reason. Meanwhile, bodies that do not arrive give way.
func (g *Gateway) acquireBody(ctx context.Context, size int64) bool {
	if size <= intake.SmallRequest || g.receivingBytes.TryAcquire(size) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, maxReceiveWait)
	defer cancel()
	if g.cfg.Guard != nil {
		go g.cfg.Guard.EvictStalled(ctx.Done(), intake.Memory)
	}
	return g.receivingBytes.Acquire(ctx, size) == nil
}

func (g *Gateway) collect(w http.ResponseWriter, r *http.Request) {
	seq, rejection := parseSequence(r)
	var wait int64
	if rejection == nil {
		wait, rejection = parseWait(r)
	}
	if rejection != nil {
		g.writeRejection(w, rejection)
		return
	}
	g.serve(w, r, "collect", &wire.ForwardRequest{
		Operation: wire.Operation_OPERATION_COLLECT, Session: r.PathValue("session"), Seq: seq, WaitMs: wait,
	})
}

func (g *Gateway) cancel(w http.ResponseWriter, r *http.Request) {
	seq, rejection := parseSequence(r)
	if rejection != nil {
		g.writeRejection(w, rejection)
		return
	}
	g.serve(w, r, "cancel", &wire.ForwardRequest{
		Operation: wire.Operation_OPERATION_CANCEL, Session: r.PathValue("session"), Seq: seq,
	})
}

func (g *Gateway) acknowledge(w http.ResponseWriter, r *http.Request) {
	body, rejection := readBody(w, r, maxSmallBodyBytes)
	if rejection != nil {
		g.writeRejection(w, rejection)
		return
	}
	var m struct {
		AcknowledgedBelow uint64 `json:"acknowledged_below"`
	}
	if findings := decode(body, &m); len(findings) > 0 {
		g.writeRejection(w, home.RejectAll(http.StatusBadRequest, findings))
		return
	}
	g.serve(w, r, "acknowledge", &wire.ForwardRequest{
		Operation: wire.Operation_OPERATION_ACKNOWLEDGE, Session: r.PathValue("session"),
		AcknowledgedBelow: m.AcknowledgedBelow,
	})
}

func (g *Gateway) closeSession(w http.ResponseWriter, r *http.Request) {
	g.serve(w, r, "close", &wire.ForwardRequest{
		Operation: wire.Operation_OPERATION_CLOSE_SESSION, Session: r.PathValue("session"),
	})
}

func (g *Gateway) status(w http.ResponseWriter, _ *http.Request) {
	body, err := json.MarshalIndent(g.cfg.Status(), "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	sendBody(w, http.StatusOK, append(body, '\n'))
}

func (g *Gateway) health(w http.ResponseWriter, _ *http.Request) {
	switch {
	case g.cfg.Draining():
		http.Error(w, "draining", http.StatusServiceUnavailable)
	case g.cfg.Directory() == nil:
		http.Error(w, "no configuration", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ok\n"))
	}
}

func (g *Gateway) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = g.cfg.Metrics.Registry.WriteTo(w)
}
