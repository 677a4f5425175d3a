// Package tracing writes OpenTelemetry spans, one for each hop of a request. The
// W3C traceparent header joins the hops to one trace. If tracing is off, its
// only cost is a comparison.
package tracing

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Header is the name of the W3C trace context header.
const Header = "traceparent"

// Tracer starts spans. A nil *Tracer is valid and records no spans.
type Tracer struct {
	tracer   trace.Tracer
	provider *sdktrace.TracerProvider
	file     io.Closer
}

// New returns a Tracer whose spans have the service name name. The destination
// is "stdout", the path of a file to append to, or "off" or empty, for which New
// returns nil.
func New(destination, name string) (*Tracer, error) {
	var w io.Writer = os.Stdout
	var file io.Closer
	switch destination {
	case "", "off":
		return nil, nil
	case "stdout":
	default:
		f, err := os.OpenFile(destination, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, fmt.Errorf("tracing: %w", err)
		}
		w, file = f, f
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, fmt.Errorf("tracing: %w", err)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", name))),
	)
	return &Tracer{tracer: provider.Tracer("marigoldfront"), provider: provider, file: file}, nil
}

// Enabled reports whether spans are recorded. It allows callers to skip the
// creation of attributes.
func (t *Tracer) Enabled() bool { return t != nil }

// Start starts a span as a child of the span in ctx. It returns a context with
// the new span.
func (t *Tracer) Start(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	if t == nil {
		return ctx, noop.Span{}
	}
	return t.tracer.Start(ctx, name, trace.WithAttributes(attrs...))
}

// Close writes the buffered spans and closes the file, if there is one.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	err := t.provider.Shutdown(ctx)
	if t.file != nil {
		if e := t.file.Close(); err == nil {
			err = e
		}
	}
	return err
}

// Inject returns the traceparent of the span in ctx, or "" if there is none.
func Inject(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[Header]
}

// Extract returns ctx with the remote span that traceparent identifies. It
// returns ctx unchanged if traceparent is empty or malformed.
func Extract(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{Header: traceparent})
}

// TraceID returns the trace ID in ctx as 32 hex digits, or "" if there is none.
func TraceID(ctx context.Context) string {
	sc := trace.SpanContextFromContext(ctx)
	if !sc.HasTraceID() {
		return ""
	}
	return sc.TraceID().String()
}

// EnsureTraceID returns ctx if it has a trace ID, and otherwise ctx with a
// random trace ID.
func EnsureTraceID(ctx context.Context) context.Context {
	if TraceID(ctx) != "" {
		return ctx
	}
	var traceID trace.TraceID
	binary.LittleEndian.PutUint64(traceID[:], rand.Uint64()|1)
	binary.LittleEndian.PutUint64(traceID[8:], rand.Uint64())
	return withRemoteSpan(ctx, traceID)
}

// WithTraceID returns ctx with a remote parent span of the trace with the given
// ID. It is meant for work for which only the trace ID of the originating
// request is available. It returns ctx unchanged if id is not a valid trace ID.
func WithTraceID(ctx context.Context, id string) context.Context {
	traceID, err := trace.TraceIDFromHex(id)
	if err != nil {
		return ctx
	}
	return withRemoteSpan(ctx, traceID)
}

func withRemoteSpan(ctx context.Context, traceID trace.TraceID) context.Context {
	sc := trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: traceID,
		// The ID of the parent span is not available. The first bytes of the
		// trace ID replace it, so that all hops of a trace have the same parent.
		SpanID:     trace.SpanID(traceID[:8]),
		TraceFlags: trace.FlagsSampled,
		Remote:     true,
	})
	return trace.ContextWithRemoteSpanContext(ctx, sc)
}
