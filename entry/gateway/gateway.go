// Package gateway serves the callers' HTTP interface and the operators' pages.
package gateway

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/entry/home"
	"marigoldfront.dev/entry/metrics"
	"marigoldfront.dev/entry/routing"
	"marigoldfront.dev/infra/tracing"
	"marigoldfront.dev/wire"
)

const (
	headerTime     = 10 * time.Second
	idleTime       = 2 * time.Minute
	maxHeaderBytes = 16 << 10
	// maxSubmissions bounds the submissions that are received or wait for
	// their answer.
	maxSubmissions = 8192
	// maxReceiving bounds the bodies that are received and decoded at once.
	maxReceiving = 128 << 20
	// receiveWait bounds the wait of a submission until its body is read.
	receiveWait = 5 * time.Second
)

// Config holds the dependencies of a Gateway.
type Config struct {
	Log     *zap.Logger
	Metrics *metrics.Metrics
	Tracer  *tracing.Tracer
	Router  *routing.Router
	// Directory returns the configuration in force, nil if there is none.
	Directory func() *directory.Directory
	Draining  func() bool
	// Status returns the content of the status page.
	Status func() any
}

// Gateway is the HTTP server of an entry instance.
type Gateway struct {
	cfg    Config
	server *http.Server
	// submissions holds one token for each submission.
	submissions chan struct{}
	// receiving holds the sizes of the bodies that are read.
	receiving *semaphore.Weighted
	done      chan struct{}
	inFlight  atomic.Int64
	// lastUnix is the time of the last start or end of a caller's request, in
	// Unix nanoseconds.
	lastUnix atomic.Int64
}

// New returns a Gateway; Serve starts it.
func New(cfg Config) *Gateway {
	g := &Gateway{
		cfg:         cfg,
		submissions: make(chan struct{}, maxSubmissions),
		receiving:   semaphore.NewWeighted(maxReceiving),
		done:        make(chan struct{}),
	}
	g.server = &http.Server{
		Handler:           g.handler(),
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(cfg.Log),
	}
	return g
}

func (g *Gateway) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/sessions", g.tracked(g.open))
	mux.HandleFunc("PUT /v1/sessions/{session}/jobs/{seq}", g.tracked(g.submit))
	mux.HandleFunc("GET /v1/sessions/{session}/jobs/{seq}", g.tracked(g.collect))
	mux.HandleFunc("DELETE /v1/sessions/{session}/jobs/{seq}", g.tracked(g.cancel))
	mux.HandleFunc("POST /v1/sessions/{session}/acknowledge", g.tracked(g.acknowledge))
	mux.HandleFunc("DELETE /v1/sessions/{session}", g.tracked(g.closeSession))
	mux.HandleFunc("GET /v1/status", g.status)
	mux.HandleFunc("GET /healthz", g.health)
	mux.HandleFunc("GET /metrics", g.metrics)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		g.reject(w, home.Reject(http.StatusNotFound, "path", "there is nothing at this path and method"))
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The deadline of the last reply on this connection ends here.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		if g.cfg.Draining() {
			// The client opens its next connection elsewhere.
			w.Header().Set("Connection", "close")
		}
		mux.ServeHTTP(w, r)
	})
}

// tracked counts the caller requests in flight.
func (g *Gateway) tracked(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		g.inFlight.Add(1)
		g.lastUnix.Store(time.Now().UnixNano())
		defer func() {
			g.lastUnix.Store(time.Now().UnixNano())
			g.inFlight.Add(-1)
		}()
		h(w, r)
	}
}

// InFlight returns the number of caller requests in flight.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// IdleDuration returns the time since the last caller request, 0 while one is in
// flight.
func (g *Gateway) IdleDuration() time.Duration {
	if g.InFlight() > 0 {
		return 0
	}
	return time.Since(time.Unix(0, g.lastUnix.Load()))
}

// Serve serves the listener until Close.
func (g *Gateway) Serve(l net.Listener) error {
	defer close(g.done)
	if err := g.server.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// Close waits for the requests in flight until ctx ends; then it cuts them.
func (g *Gateway) Close(ctx context.Context) error {
	err := g.server.Shutdown(ctx)
	if err != nil {
		_ = g.server.Close()
	}
	<-g.done
	return err
}

// serve routes a request and writes the reply.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, name string, req *wire.ForwardRequest) {
	g.cfg.Metrics.CountRequest(name)
	ctx := tracing.Extract(r.Context(), r.Header.Get(tracing.Header))
	ctx, span := g.cfg.Tracer.Start(ctx, name)
	defer span.End()
	ctx = tracing.EnsureTraceID(ctx)
	g.write(w, g.cfg.Router.Serve(ctx, req), tracing.TraceID(ctx))
}

func (g *Gateway) open(w http.ResponseWriter, r *http.Request) {
	body, bad := readBody(w, r, maxSmallBytes)
	if bad != nil {
		g.reject(w, bad)
		return
	}
	var m struct {
		Caller string `json:"caller"`
	}
	if found := decode(body, &m); len(found) > 0 {
		g.reject(w, home.RejectAll(http.StatusBadRequest, found))
		return
	}
	if bad := g.authenticate(r, m.Caller); bad != nil {
		g.reject(w, bad)
		return
	}
	g.serve(w, r, "open", &wire.ForwardRequest{Operation: wire.Operation_OPERATION_OPEN_SESSION, Caller: m.Caller})
}

func (g *Gateway) submit(w http.ResponseWriter, r *http.Request) {
	select {
	case g.submissions <- struct{}{}:
		defer func() { <-g.submissions }()
	default:
		g.reject(w, home.Reject(http.StatusServiceUnavailable, "instance", "too many submissions wait here"))
		return
	}
	received := time.Now()
	req, bad := g.readSubmission(w, r)
	if bad != nil {
		g.reject(w, bad)
		return
	}
	g.serve(w, r, "submit", req)
	g.cfg.Metrics.RequestSeconds.RecordDuration(time.Since(received))
}

func (g *Gateway) readSubmission(w http.ResponseWriter, r *http.Request) (*wire.ForwardRequest, *wire.ForwardReply) {
	seq, bad := sequence(r)
	if bad != nil {
		return nil, bad
	}
	// The token is checked first, so that strangers cannot make the instance
	// receive large bodies.
	if bad := g.cfg.Router.CheckSession(r.PathValue("session")); bad != nil {
		return nil, bad
	}
	size := int64(maxBodyBytes)
	if r.ContentLength >= 0 {
		size = min(size, r.ContentLength)
	}
	if !g.acquire(r.Context(), size) {
		return nil, home.Reject(http.StatusServiceUnavailable, "instance", "too many submissions are received here")
	}
	defer g.receiving.Release(size)
	body, bad := readBody(w, r, maxBodyBytes)
	if bad != nil {
		return nil, bad
	}
	j, found := decodeJob(body)
	if len(found) > 0 {
		return nil, home.RejectAll(http.StatusBadRequest, found)
	}
	return &wire.ForwardRequest{
		Operation: wire.Operation_OPERATION_SUBMIT, Session: r.PathValue("session"), Seq: seq,
		Submission: j.message(), AcknowledgedBelow: j.AcknowledgedBelow,
	}, nil
}

// acquire waits for room for a body. On a busy instance bodies are read slowly,
// and a repeated submission must not be refused for that.
func (g *Gateway) acquire(ctx context.Context, size int64) bool {
	ctx, cancel := context.WithTimeout(ctx, receiveWait)
	defer cancel()
	return g.receiving.Acquire(ctx, size) == nil
}

func (g *Gateway) collect(w http.ResponseWriter, r *http.Request) {
	seq, bad := sequence(r)
	var wait int64
	if bad == nil {
		wait, bad = waitOf(r)
	}
	if bad != nil {
		g.reject(w, bad)
		return
	}
	g.serve(w, r, "collect", &wire.ForwardRequest{
		Operation: wire.Operation_OPERATION_COLLECT, Session: r.PathValue("session"), Seq: seq, WaitMs: wait,
	})
}

func (g *Gateway) cancel(w http.ResponseWriter, r *http.Request) {
	seq, bad := sequence(r)
	if bad != nil {
		g.reject(w, bad)
		return
	}
	g.serve(w, r, "cancel", &wire.ForwardRequest{
		Operation: wire.Operation_OPERATION_CANCEL, Session: r.PathValue("session"), Seq: seq,
	})
}

func (g *Gateway) acknowledge(w http.ResponseWriter, r *http.Request) {
	body, bad := readBody(w, r, maxSmallBytes)
	if bad != nil {
		g.reject(w, bad)
		return
	}
	var m struct {
		AcknowledgedBelow uint64 `json:"acknowledged_below"`
	}
	if found := decode(body, &m); len(found) > 0 {
		g.reject(w, home.RejectAll(http.StatusBadRequest, found))
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
	send(w, http.StatusOK, append(body, '\n'))
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
