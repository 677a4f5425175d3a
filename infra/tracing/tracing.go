// Package tracing writes OpenTelemetry spans, one for each hop of a request.
// Hops are joined by the W3C traceparent header. Tracing that is off costs
// nothing beyond a comparison.
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

// Tracer starts spans. A nil Tracer is off.
type Tracer struct {
	tracer   trace.Tracer
	provider *sdktrace.TracerProvider
	file     io.Closer
}

// New returns a Tracer for the part of the system called name. The
// destination is "off" or empty, "stdout", or the path of a file to append to.
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

// Enabled says whether spans are recorded. Callers check it before they build
// attributes.
func (t *Tracer) Enabled() bool { return t != nil }

// Start starts a span as a child of the one in ctx.
func (t *Tracer) Start(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	if t == nil {
		return ctx, noop.Span{}
	}
	return t.tracer.Start(ctx, name, trace.WithAttributes(attrs...))
}

// Close writes the spans that are still buffered.
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

// Extract returns ctx with the remote span that traceparent names. A missing
// or malformed traceparent leaves ctx as it is.
func Extract(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{Header: traceparent})
}

// TraceID returns the trace id in ctx as 32 hex digits, or "" if there is none.
func TraceID(ctx context.Context) string {
	sc := trace.SpanContextFromContext(ctx)
	if !sc.HasTraceID() {
		return ""
	}
	return sc.TraceID().String()
}

// EnsureTraceID returns ctx with a trace id, which is random unless ctx has one.
func EnsureTraceID(ctx context.Context) context.Context {
	if TraceID(ctx) != "" {
		return ctx
	}
	var traceID trace.TraceID
	binary.LittleEndian.PutUint64(traceID[:], rand.Uint64()|1)
	binary.LittleEndian.PutUint64(traceID[8:], rand.Uint64())
	return remote(ctx, traceID)
}

// WithTraceID returns ctx with a remote span of the given trace, for work that
// knows only the trace id of its cause.
func WithTraceID(ctx context.Context, id string) context.Context {
	traceID, err := trace.TraceIDFromHex(id)
	if err != nil {
		return ctx
	}
	return remote(ctx, traceID)
}

func remote(ctx context.Context, traceID trace.TraceID) context.Context {
	sc := trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: traceID,
		// The span id of the cause is not known; the first bytes of the trace
		// id give all hops of a trace the same parent.
		SpanID:     trace.SpanID(traceID[:8]),
		TraceFlags: trace.FlagsSampled,
		Remote:     true,
	})
	return trace.ContextWithRemoteSpanContext(ctx, sc)
}
